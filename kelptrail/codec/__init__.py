"""Encoders and decoders of messages, without I/O: HTTP/1.1, gRPC, the inference protocol, platform protocols."""
