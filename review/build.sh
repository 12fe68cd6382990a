#!/bin/sh
# Nothing of the review is compiled: its stand-ins, and the project's own, are Python programs that use
# the libraries of a node. This checks that the build of the deploy file has put these in place, and
# that all of them can be read.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/tools" python3 - <<'PROGRAM'
import ast
import pathlib

import basilwinch.platform.program
import basilwinch.platform.tests.standin
import rig
import servers

for path in sorted(pathlib.Path("review").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
print("stand-ins can be started")
PROGRAM
