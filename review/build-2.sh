#!/bin/sh
# Builds what the cases 6 to 10 need beside the deploy file's build: their stand-ins, which use the standard library alone.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
for file in review/standins-2/standins.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py \
    review/10/case.py; do
    .venv/bin/python -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file" || exit 1
done
