#include "Command/value_files.h"

#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

namespace hemlockwick {

namespace {

auto WriteFile(const std::filesystem::path& path, const std::string& body)
    -> Result<void> {
  auto error = std::error_code();
  std::filesystem::create_directories(path.parent_path(), error);
  auto partial = path;
  partial += ".partial";
  {
    auto out = std::ofstream(partial, std::ios::binary);
    out << body;
    out.flush();
    if (!out) {
      return Fail(ErrorCode::kInternal, "cannot write " + path.string(),
                  "check the folder and its permissions");
    }
  }
  std::filesystem::rename(partial, path, error);
  if (error) {
    return Fail(ErrorCode::kInternal,
                "cannot write " + path.string() + ": " + error.message(),
                "check the folder and its permissions");
  }
  return {};
}

// Returns the folder that contains the values, given the path of its index
// file.
auto FolderOfIndex(std::filesystem::path path) -> std::filesystem::path {
  const auto key = std::filesystem::path(kIndexKey);
  for (auto part = key.begin(); part != key.end(); ++part) {
    path = path.parent_path();
  }
  return path;
}

}  // namespace

auto ReadTextFile(const std::filesystem::path& path) -> Result<std::string> {
  auto in = std::ifstream(path, std::ios::binary);
  auto error = std::error_code();
  if (!in || std::filesystem::is_directory(path, error)) {
    return Fail(ErrorCode::kNotFound, "cannot read " + path.string(),
                "check the path");
  }
  return std::string(std::istreambuf_iterator<char>(in),
                     std::istreambuf_iterator<char>());
}

auto WriteValues(const std::filesystem::path& folder,
                 const std::vector<PublishedValue>& values) -> Result<void> {
  for (const auto& value : values) {
    BOOST_LEAF_CHECK(WriteFile(folder / value.key, value.body));
  }
  return {};
}

auto ReadValues(const std::filesystem::path& path)
    -> Result<std::shared_ptr<const FleetConfig>> {
  auto error = std::error_code();
  const auto folder = std::filesystem::is_directory(path, error)
                          ? path
                          : FolderOfIndex(std::filesystem::absolute(path));
  BOOST_LEAF_AUTO(body, ReadTextFile(folder / kIndexKey));
  BOOST_LEAF_AUTO(index, DecodeIndex(body));
  auto shards = std::vector<std::shared_ptr<const ConfigShard>>();
  for (const auto& ref : index.shards) {
    BOOST_LEAF_AUTO(shard_body, ReadTextFile(folder / ref.key));
    BOOST_LEAF_AUTO(shard, DecodeShard(shard_body));
    shards.push_back(std::move(shard));
  }
  return AssembleFleetConfig(index, shards);
}

}  // namespace hemlockwick
