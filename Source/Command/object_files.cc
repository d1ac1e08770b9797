#include "Command/object_files.h"

#include <algorithm>
#include <set>
#include <span>
#include <system_error>
#include <thread>
#include <utility>

#include "Command/value_files.h"

namespace hemlockwick {

namespace {

namespace fs = std::filesystem;

// Minimum number of files per thread; with fewer, starting a thread does not
// pay off.
constexpr std::size_t kMinFilesPerThread = 16;

auto IsObjectFile(const fs::directory_entry& entry) -> bool {
  const auto extension = entry.path().extension();
  return entry.is_regular_file() &&
         (extension == ".yaml" || extension == ".yml");
}

auto ListInput(const std::string& input) -> Result<std::vector<fs::path>> {
  auto error = std::error_code();
  if (!fs::exists(input, error)) {
    return Fail(ErrorCode::kNotFound, "'" + input + "' does not exist",
                "check the path");
  }
  if (!fs::is_directory(input, error)) {
    return std::vector<fs::path>{input};
  }
  auto files = std::vector<fs::path>();
  for (const auto& entry : fs::recursive_directory_iterator(input)) {
    if (IsObjectFile(entry)) {
      files.push_back(entry.path());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

auto ThreadCount(std::size_t files) -> std::size_t {
  const auto processors =
      std::max<std::size_t>(1, std::thread::hardware_concurrency());
  const auto worthwhile = std::max<std::size_t>(1, files / kMinFilesPerThread);
  return std::min({kMaxReaderThreads, processors, worthwhile});
}

}  // namespace

auto LoadObjectFiles(const std::vector<std::string>& inputs)
    -> Result<std::vector<ObjectFile>> {
  auto files = std::vector<ObjectFile>();
  auto seen = std::set<fs::path>();
  for (const auto& input : inputs) {
    BOOST_LEAF_AUTO(paths, ListInput(input));
    for (const auto& path : paths) {
      if (!seen.insert(fs::weakly_canonical(path)).second) {
        continue;
      }
      BOOST_LEAF_AUTO(text, ReadTextFile(path));
      files.push_back(ObjectFile{path.string(), std::move(text)});
    }
  }
  if (files.empty()) {
    return Fail(ErrorCode::kNotFound, "no *.yaml file found", "check the path");
  }
  return files;
}

auto ParseObjectFiles(const std::vector<ObjectFile>& files) -> ObjectReader {
  const auto count = ThreadCount(files.size());
  auto readers = std::vector<ObjectReader>(count);
  const auto parse = [&](std::size_t part) {
    const auto begin = files.size() * part / count;
    const auto end = files.size() * (part + 1) / count;
    for (const auto& file : std::span(files).subspan(begin, end - begin)) {
      readers[part].Read(file.text, file.name);
    }
  };
  {
    auto threads = std::vector<std::jthread>();
    for (std::size_t part = 1; part < count; ++part) {
      threads.emplace_back(parse, part);
    }
    parse(0);
  }
  auto merged = std::move(readers.front());
  for (std::size_t part = 1; part < count; ++part) {
    merged.Append(std::move(readers[part]));
  }
  return merged;
}

}  // namespace hemlockwick
