"""Stand-ins of the second review: platform, runners and clients, written from the users' pages alone."""
