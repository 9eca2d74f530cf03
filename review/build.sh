#!/bin/sh
# Builds what the scripts of this folder start: all stand-ins are Python files, so byte code is all there is to build.
cd "$(dirname "$0")/.." && python3 -m compileall -q review pepperrun
