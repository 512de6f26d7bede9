#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python, so there is nothing to
# compile; this checks that they can be loaded and that the daemon was built.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.path.insert(0, "review/standins-2"); import world'
test -x target/parsleyyardd
