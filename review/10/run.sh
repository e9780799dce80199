#!/bin/sh
# Runs the case after the deploy file's build: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH=review/standins-2 PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/10/case.py
