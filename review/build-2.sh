#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 8. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in paused_restart withdrawn_version split_route; do
    rustc --edition 2024 -O -o "target/review-2/$case" "review/$case.rs"
done
