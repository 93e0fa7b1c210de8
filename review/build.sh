#!/bin/sh
# Builds what the scripts of the cases start: stand-ins in Python, which only have to
# compile. They use the libraries that the build of deploy/system.toml installs.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/gevent || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
for file in review/standins/*.py review/[1-5]/*.py; do
    PYTHONPATH=target/deps python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
