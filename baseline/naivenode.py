"""Node with the naive call path: ``python -m baseline.naivenode FILE``."""

import sys

from baseline.naive import add_naive_path
from flamingosail.nodecli import run_node
from flamingosail.settings import read_settings

if __name__ == "__main__":
    sys.exit(run_node(read_settings(sys.argv[1]), add_path=add_naive_path))
