"""Run the command line with ``python -m damasktally``."""

from damasktally.cli.app import main

if __name__ == "__main__":
    main()
