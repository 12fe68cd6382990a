#!/bin/sh
# Builds what the scripts of review/11 to review/15 start besides the nodes. The stand-ins are
# Python programs, the project's own included: nothing is compiled, but their modules are loaded
# once with the libraries of a node, which the build of the deploy file has put into target/.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. exec python3 -c '
import sys
sys.path.insert(0, "review/tools-3")
import stage
import basilwinch.platform.program
print("stand-ins can be loaded")
'
