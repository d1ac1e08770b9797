# Locates the Debian packages listed in Utilities/install_packages.sh.
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(spdlog REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(cxxopts REQUIRED)
# Its regular expressions are compiled at every start, also by commands that
# parse no option, and take longer than all else before main.
target_compile_definitions(cxxopts::cxxopts INTERFACE CXXOPTS_NO_REGEX)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
if(NOT HEMLOCKWICK_EDGE_ONLY)
  find_package(benchmark REQUIRED)
  pkg_check_modules(ULFIUS REQUIRED IMPORTED_TARGET libulfius)
  pkg_check_modules(MICROHTTPD REQUIRED IMPORTED_TARGET libmicrohttpd)
  pkg_check_modules(CRITERION REQUIRED IMPORTED_TARGET criterion)
  pkg_check_modules(GNUTLS REQUIRED IMPORTED_TARGET gnutls)
  pkg_check_modules(JSONCPP REQUIRED IMPORTED_TARGET jsoncpp)
endif()

# Headers that Utilities/install_packages.sh may have unpacked.
if(DEFINED ENV{HEMLOCKWICK_DEPS})
  set(hemlockwick_deps_default $ENV{HEMLOCKWICK_DEPS})
else()
  set(hemlockwick_deps_default $ENV{HOME}/.cache/hemlockwick/deps)
endif()
set(HEMLOCKWICK_DEPS ${hemlockwick_deps_default} CACHE PATH
    "Prefix that holds the unpacked jsonrpccpp and prometheus headers")
# hemlockwick_find_headers(VARIABLE HEADER) looks in the prefix and in the
# system's folders.
function(hemlockwick_find_headers variable header)
  find_path(${variable} ${header} HINTS ${HEMLOCKWICK_DEPS}/usr/include)
  if(NOT ${variable})
    message(FATAL_ERROR "${header} not found, nor below ${HEMLOCKWICK_DEPS}; "
                        "run Utilities/install_packages.sh")
  endif()
endfunction()

hemlockwick_find_headers(PROMETHEUS_INCLUDE_DIR prometheus/registry.h)
add_library(prometheus_core INTERFACE)
target_include_directories(prometheus_core SYSTEM INTERFACE
                           ${PROMETHEUS_INCLUDE_DIR})
target_link_libraries(prometheus_core INTERFACE
  -l:libprometheus-cpp-core.so.1.0)
if(HEMLOCKWICK_EDGE_ONLY)
  return()
endif()

hemlockwick_find_headers(JSONRPCCPP_INCLUDE_DIR jsonrpccpp/client.h)
# Runtime libraries without a development link are named by their soname.
add_library(jsonrpccpp INTERFACE)
target_include_directories(jsonrpccpp SYSTEM INTERFACE
                           ${JSONRPCCPP_INCLUDE_DIR})
target_link_libraries(jsonrpccpp INTERFACE
  PkgConfig::JSONCPP
  -l:libjsonrpccpp-common.so.0 -l:libjsonrpccpp-client.so.0
  -l:libjsonrpccpp-server.so.0)
