# Locates the Debian packages listed in Utilities/install_packages.sh.
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(spdlog REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(cxxopts REQUIRED)
find_package(benchmark REQUIRED)
pkg_check_modules(ULFIUS REQUIRED IMPORTED_TARGET libulfius)
pkg_check_modules(MICROHTTPD REQUIRED IMPORTED_TARGET libmicrohttpd)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(CRITERION REQUIRED IMPORTED_TARGET criterion)
pkg_check_modules(GNUTLS REQUIRED IMPORTED_TARGET gnutls)
pkg_check_modules(JSONCPP REQUIRED IMPORTED_TARGET jsoncpp)

# Headers unpacked by Utilities/install_packages.sh.
if(DEFINED ENV{HEMLOCKWICK_DEPS})
  set(hemlockwick_deps_default $ENV{HEMLOCKWICK_DEPS})
else()
  set(hemlockwick_deps_default $ENV{HOME}/.cache/hemlockwick/deps)
endif()
set(HEMLOCKWICK_DEPS ${hemlockwick_deps_default} CACHE PATH
    "Prefix that holds the unpacked jsonrpccpp and prometheus headers")
foreach(header jsonrpccpp/client.h prometheus/registry.h)
  if(NOT EXISTS ${HEMLOCKWICK_DEPS}/usr/include/${header})
    message(FATAL_ERROR "${header} not found below ${HEMLOCKWICK_DEPS}; "
                        "run Utilities/install_packages.sh")
  endif()
endforeach()

add_library(hemlockwick_deps_headers INTERFACE)
target_include_directories(hemlockwick_deps_headers SYSTEM INTERFACE
                           ${HEMLOCKWICK_DEPS}/usr/include)

# Runtime libraries without a development link are named by their soname.
add_library(jsonrpccpp INTERFACE)
target_link_libraries(jsonrpccpp INTERFACE
  hemlockwick_deps_headers PkgConfig::JSONCPP
  -l:libjsonrpccpp-common.so.0 -l:libjsonrpccpp-client.so.0
  -l:libjsonrpccpp-server.so.0)
add_library(prometheus_core INTERFACE)
target_link_libraries(prometheus_core INTERFACE
  hemlockwick_deps_headers -l:libprometheus-cpp-core.so.1.0)
