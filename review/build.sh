#!/usr/bin/env bash
# Prepares the stand-ins that the scripts start. They are Python programs that
# use its standard library only (python3 is named in scripts/install.sh), so
# this only checks that they can be compiled. Nothing is written into the
# repository.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'EOF'
import glob
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for name in sorted(glob.glob("standins/*.py") + glob.glob("[1-5]/*.py")):
    with open(name) as text:
        compile(text.read(), name, "exec")
EOF
