#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. They are Python and need nothing
# beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review tests/standins
PYTHONPATH=target/deps:. python3 -c "import tests.standins.site"
