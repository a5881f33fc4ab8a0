"""What bench/platform_fuzz.py and bench/soak.py share: processes of the platform's program between fake workers,
endpoint lists and clients, faults that are injected into them, and the checks of what passed over the sockets."""
