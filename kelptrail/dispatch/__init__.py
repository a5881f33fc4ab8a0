"""Decides on attempts, load orders, rejections, retries and ejections; `dispatcher.py` combines the parts."""
