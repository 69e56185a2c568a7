#!/bin/sh
# After the build of the deploy file: the stand-ins are Python files of this folder; nothing else is needed.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review
