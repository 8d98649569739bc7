#!/bin/sh
# Runs the scenario of a case: run_case.sh FOLDER. Exits with 1 if the rule was
# broken, 0 if it held and 2 if the case couldn't run.
folder=$1
cd "$(dirname "$0")/../.." || exit 2
if [ ! -d target/deps ] || [ ! -d target/review ]; then
    echo 'run the build of deploy/system.toml and review/build.sh first' >&2
    exit 2
fi
PYTHONPATH=review/standins:target/deps:target/review
PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH PYTHONDONTWRITEBYTECODE
exec python3 "review/$folder/scenario.py" "review/$folder/record.txt"
