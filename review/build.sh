#!/usr/bin/env bash
# Builds what the cases start: the list service's requirements, which the deploy file's build leaves out, and the stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import pysyncobj, structlog' 2>/dev/null || .venv/bin/pip -q install -r requirements.txt ||
    echo "the list service's requirements are missing: case 2 can't run" >&2
.venv/bin/python -m compileall -q review/support review/[0-9]*
