#!/bin/sh
# The stand-ins are plain JavaScript for the Node.js that runs the service: nothing has to be made, only checked.
set -e
cd "$(dirname "$0")"
for file in standins/*.mjs [0-9]/case.mjs; do node --check "$file"; done
