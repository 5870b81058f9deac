"""`python -m dykeshift COMMAND`: the project's command line."""

import sys

from dykeshift.cli import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
