#!/usr/bin/env bash
# Runs the scenario $2 of the case in folder $1. Exit code: 1 if the rule was broken, 0 if it held, 2 if
# the case could not run.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
if [ ! -f target/wardmux.jar ] || [ ! -f "review/build/$2.class" ]; then
  echo "build first: the command of deploy/service.toml, then review/build.sh" >&2
  exit 2
fi
timeout -k 2 117 java -Xmx512m -cp review/build "$2" "$folder/record.txt"
case $? in
  0) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
