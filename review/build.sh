#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/target.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
javac -nowarn -d target standin/*.java
