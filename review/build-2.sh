#!/usr/bin/env bash
# Builds the stand-ins and the scripted cases of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/standin-2/*.java $(find review/6 review/7 review/8 review/9 review/10 -name '*.java' 2>/dev/null)
