#!/bin/sh
# Shows the whole path with real processes; see bench/demo.py.
set -eu

cd "$(dirname "$0")/.."
exec python3 bench/demo.py
