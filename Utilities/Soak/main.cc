#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>

#include "Core/error.h"
#include "Soak/run.h"

namespace {

using hemlockwick::Error;
using hemlockwick::Result;
using hemlockwick::TryOr;
using hemlockwick::soak::SoakRun;
using hemlockwick::soak::SoakSettings;

auto ParseArguments(int argc, char** argv) -> cxxopts::ParseResult {
  auto options = cxxopts::Options(
      "hemlockwick-soak",
      "Runs edge processes under random faults and checks their promises");
  options.add_options()                                                     //
      ("program", "The hemlockwick binary", cxxopts::value<std::string>())  //
      ("folder", "Folder for settings and logs",
       cxxopts::value<std::string>()->default_value("soak-out"))  //
      ("seed", "First seed",
       cxxopts::value<std::uint64_t>()->default_value("1"))  //
      ("seeds", "Number of seeds",
       cxxopts::value<std::uint64_t>()->default_value("1"))  //
      ("seconds", "Length of the faults of each run",
       cxxopts::value<int>()->default_value("20"))  //
      ("network", "Second byte of the loopback addresses",
       cxxopts::value<int>()->default_value("20"))  //
      ("instances", "Edge processes",
       cxxopts::value<std::size_t>()->default_value("7"))  //
      ("endpoints", "Endpoints",
       cxxopts::value<std::size_t>()->default_value("10"))  //
      ("callers", "Callers",
       cxxopts::value<std::size_t>()->default_value("24"))  //
      ("planned", "Only planned work")                      //
      ("only", "The only fault beside planned work: restore or kill-many",
       cxxopts::value<std::string>()->default_value(""))  //
      ("help", "Show this help");
  auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0 || parsed.count("program") == 0) {
    std::cout << options.help();
  }
  return parsed;
}

auto RunSeed(const cxxopts::ParseResult& parsed, std::uint64_t seed) -> bool {
  auto settings = SoakSettings();
  settings.program = parsed["program"].as<std::string>();
  settings.folder = std::filesystem::absolute(
      std::filesystem::path(parsed["folder"].as<std::string>()) /
      std::to_string(seed));
  settings.seed = seed;
  settings.network = static_cast<std::uint8_t>(parsed["network"].as<int>());
  settings.length = std::chrono::seconds(parsed["seconds"].as<int>());
  settings.instances = parsed["instances"].as<std::size_t>();
  settings.endpoints = parsed["endpoints"].as<std::size_t>();
  settings.callers = parsed["callers"].as<std::size_t>();
  settings.planned_only = parsed.count("planned") > 0;
  settings.only = parsed["only"].as<std::string>();
  std::filesystem::remove_all(settings.folder);
  std::filesystem::create_directories(settings.folder);
  return TryOr([&] { return SoakRun(settings).Run(); },
               [](const Error& error) {
                 std::cerr << "hemlockwick-soak: " << error.message << "; "
                           << error.remedy << "\n";
                 return false;
               });
}

}  // namespace

auto main(int argc, char** argv) -> int {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const auto parsed = ParseArguments(argc, argv);
    if (parsed.count("program") == 0) {
      return parsed.count("help") > 0 ? 0 : 2;
    }
    const auto fault = parsed["only"].as<std::string>();
    if (!fault.empty() && fault != "restore" && fault != "kill-many") {
      std::cerr << "hemlockwick-soak: no fault is named " << fault
                << "; use restore or kill-many\n";
      return 2;
    }
    const auto first = parsed["seed"].as<std::uint64_t>();
    const auto count = parsed["seeds"].as<std::uint64_t>();
    auto failed = 0;
    for (auto seed = first; seed < first + count; ++seed) {
      failed += RunSeed(parsed, seed) ? 0 : 1;
    }
    std::cout << count - static_cast<std::uint64_t>(failed) << " passed, "
              << failed << " failed\n";
    return failed == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "hemlockwick-soak: " << error.what() << "\n";
    return 2;
  }
}
