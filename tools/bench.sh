#!/bin/sh
# Measures fleets of real processes; see bench/bench.py.
set -eu

cd "$(dirname "$0")/.."
exec python3 bench/bench.py "$@"
