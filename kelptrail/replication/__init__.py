"""Copies of what a dispatcher holds for others, so that it survives the loss of its machine.  Begun: where they go."""
