#!/bin/sh
# Builds what the cases start beside the scheduler. The stand-ins are Python scripts that use the standard
# library only, so there is nothing to compile: this checks that they can be read by the Python found here.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys, glob, tomllib
for path in ["standins.py"] + sorted(glob.glob("*/case.py")):
    with open(path) as file:
        compile(file.read(), path, "exec")
'
