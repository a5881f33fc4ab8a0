"""Versioned message channel between processes: framing, handshake, heartbeats and connections."""
