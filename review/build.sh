#!/bin/sh
# The stand-ins are Python and need only the standard library; this checks that they can be imported.
cd "$(dirname "$0")/.." && PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path.insert(0, "review/common")
import estate
'
