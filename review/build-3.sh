#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of this review start. They are Python files
# that need nothing but the standard library, so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins-3/rig3.py
