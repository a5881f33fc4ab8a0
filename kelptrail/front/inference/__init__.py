"""The Open Inference Protocol over gRPC: the second front, on the same core, decisions and rules as the first."""
