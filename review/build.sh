#!/bin/sh
# Checks that every stand-in can be compiled; they need nothing beside the deploy file's build.
cd "$(dirname "$0")" || exit 1
exec ../.venv/bin/python -m compileall -q standins [0-9]
