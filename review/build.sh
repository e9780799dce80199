#!/bin/sh
# Builds the cases' stand-ins: they are Python files that need nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review
