"""The decisions on attempts, loads, rejections, retries and health; `dispatcher.py` joins them."""
