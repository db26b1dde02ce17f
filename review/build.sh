#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of all cases. They need nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -Xlint:all -Werror -d build rig/*.java
