#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start. They need the standard library only.
cd "$(dirname "$0")/.." || exit 1
set -e
python3 -m py_compile review/tools-2/*.py
for file in review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py; do
    if [ -f "$file" ]; then python3 -m py_compile "$file"; fi
done
