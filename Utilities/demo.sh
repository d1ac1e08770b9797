#!/usr/bin/env bash
# Installs packages, builds, and runs seven instances on stand-ins for the
# platform, the fabric, callers and endpoints. Ends by itself with a summary;
# exit code 1 when a flow broke or a request was lost or doubled.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs="${HEMLOCKWICK_JOBS:-$(nproc)}"

Utilities/install_packages.sh
cmake -S . -B build -G Ninja >build.log 2>&1 || { cat build.log; exit 2; }
cmake --build build -j "$jobs" --target hemlockwick hemlockwick-demo
exec build/Utilities/StandIn/hemlockwick-demo \
  --program build/Source/Command/hemlockwick
