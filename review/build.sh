#!/bin/sh
# The stand-ins of the cases are Python programs and need no build; this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is required"'
for file in standins/*.py [1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
