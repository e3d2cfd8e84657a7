#!/bin/sh
# Checks that the stand-ins and the cases compile; they need the standard
# library of Python 3.11 only, and nothing is installed.
cd "$(dirname "$0")" || exit 2
exec python3 -S - harness.py */case.py <<'END'
import ast
import sys
import tomllib  # noqa: F401 - fails before Python 3.11

for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec", ast.PyCF_ONLY_AST)
END
