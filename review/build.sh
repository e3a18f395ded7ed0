#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can be imported. They are Python
# modules of this repository and need only the packages in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 -S -c 'from review import harness'
echo "stand-ins are ready"
