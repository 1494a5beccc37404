#!/usr/bin/env bash
# Exits 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the same without the disruption.
exec timeout 110 python3 -B "$(dirname "$0")/case.py"
