#!/usr/bin/env bash
# Installs every Debian package that the build, the tests and the tools need.
# Two development packages conflict with libulfius-dev through libcurl, so
# their headers are unpacked into a prefix outside the source tree.
set -euo pipefail

prefix="${HEMLOCKWICK_DEPS:-${HOME:-/root}/.cache/hemlockwick/deps}"
packages=(
  build-essential cmake ninja-build ccache clang clang-format clang-tidy
  libclang-rt-14-dev libulfius-dev libjsonrpccpp-client0
  libjsonrpccpp-server0 libjsonrpccpp-common0 libprometheus-cpp-core1.0
  libjsoncpp-dev libyaml-cpp-dev libcxxopts-dev libspdlog-dev
  libboost1.81-dev libcriterion-dev libxxhash-dev nlohmann-json3-dev
  libbenchmark-dev libgnutls28-dev spin
)

missing() {
  local package
  for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
      grep -q 'install ok installed' || return 0
  done
  [ ! -f "$prefix/usr/include/jsonrpccpp/client.h" ] ||
    [ ! -d "$prefix/usr/include/prometheus" ]
}

if ! missing; then
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q --no-install-recommends "${packages[@]}"
mkdir -p "$prefix"
download="$(mktemp -d)"
trap 'rm -rf "$download"' EXIT
(
  cd "$download"
  apt-get download -q libjsonrpccpp-dev prometheus-cpp-dev
  for archive in ./*.deb; do
    dpkg -x "$archive" "$prefix"
  done
)
