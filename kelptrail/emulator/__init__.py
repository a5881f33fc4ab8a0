"""Stand-ins for what a gateway meets: runners, model store, worker list, clients; each with fault knobs."""
