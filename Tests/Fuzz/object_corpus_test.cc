// Runs the fuzzing corpus of the object reader, and random mutations of it from
// a fixed seed. Guards against crashes and against accepted objects whose
// published values an instance would refuse.
#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "Core/random.h"
#include "Fuzz/object_input.h"

namespace hemlockwick {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kMutationsPerInput = 400;

auto ReadCorpus() -> std::vector<std::string> {
  auto paths = std::vector<std::filesystem::path>();
  for (const auto& entry :
       std::filesystem::directory_iterator(HEMLOCKWICK_OBJECT_CORPUS)) {
    paths.push_back(entry.path());
  }
  std::sort(paths.begin(), paths.end());
  auto inputs = std::vector<std::string>();
  for (const auto& path : paths) {
    auto in = std::ifstream(path, std::ios::binary);
    inputs.emplace_back(std::istreambuf_iterator<char>(in),
                        std::istreambuf_iterator<char>());
  }
  return inputs;
}

// Inserts a random character, removes or repeats a part of the input, or
// inserts a part of another one.
auto Mutate(std::string text, const std::vector<std::string>& corpus,
            Random& random) -> std::string {
  const auto& other = corpus[random.Below(corpus.size())];
  const auto at = random.Below(text.size() + 1);
  const auto length = random.Below(40);
  switch (random.Below(4)) {
    case 0:
      text.insert(at, 1, static_cast<char>(random.Below(256)));
      break;
    case 1:
      text.erase(at, length);
      break;
    case 2:
      text.insert(at, text.substr(at, length));
      break;
    default:
      text.insert(at, other.substr(random.Below(other.size() + 1), length));
  }
  return text;
}

Test(object_corpus, accepts_and_refuses) {
  auto accepted = 0;
  for (const auto& input : ReadCorpus()) {
    const auto result = RunObjectInput(input);
    cr_assert(result != ObjectInputResult::kInconsistent);
    accepted += result == ObjectInputResult::kAccepted ? 1 : 0;
  }
  cr_assert(accepted == 2);
}

Test(object_corpus, accepted_mutations_are_always_consistent) {
  const auto corpus = ReadCorpus();
  auto random = Random(kSeed);
  auto accepted = 0;
  for (const auto& input : corpus) {
    for (auto at = 0; at < kMutationsPerInput; ++at) {
      auto mutated = input;
      for (auto more = random.Below(4); more < 4; ++more) {
        mutated = Mutate(std::move(mutated), corpus, random);
      }
      const auto result = RunObjectInput(mutated);
      cr_assert(result != ObjectInputResult::kInconsistent, "%s",
                mutated.c_str());
      accepted += result == ObjectInputResult::kAccepted ? 1 : 0;
    }
  }
  cr_assert(accepted > 0);
}

}  // namespace
}  // namespace hemlockwick
