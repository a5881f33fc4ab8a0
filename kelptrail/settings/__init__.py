"""Settings in S-expressions: parsed with source positions, checked against shapes, and returned as typed records."""
