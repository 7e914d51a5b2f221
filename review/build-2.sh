#!/bin/sh
# Prepares the stand-ins of cases 4 to 8. They are plain JavaScript for Node.js without dependencies, so that nothing has
# to be built beyond the project itself (the build command of deploy/service.toml); their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in standins-2/*.mjs [4-8]/*.mjs; do node --check "$file"; done
