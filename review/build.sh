#!/bin/sh
# Builds the stand-ins of the scripts. They are plain Python that needs the
# standard library alone, so building them means compiling them once.
set -e
cd "$(dirname "$0")"
python3 -m py_compile standins/*.py
