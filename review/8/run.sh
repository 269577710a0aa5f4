#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the planned shutdown of the server.
exec python3 "$(dirname "$0")/case.py"
