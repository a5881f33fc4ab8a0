"""`python -m kelptrail` is the command line."""

from kelptrail.cli.main import main

if __name__ == "__main__":
    main()
