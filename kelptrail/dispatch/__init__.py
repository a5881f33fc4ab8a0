"""The decisions (rules.py), the things they are about (terms.py) and their due times (agenda.py)."""
