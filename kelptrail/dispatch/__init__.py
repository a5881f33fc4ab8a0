"""The decisions on attempts, loads, refusals, retries and health; `dispatcher.py` joins them."""
