#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain Python and need no package.
cd "$(dirname "$0")" && python3 -m py_compile standins-2/rig2.py
