"""Code shared by bench/platform_fuzz.py and bench/soak.py.

It runs processes of the platform's program between fake workers, endpoint lists and clients, injects faults into them
and checks what passed over the sockets.
"""
