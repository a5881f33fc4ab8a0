"""The inference API: Open Inference Protocol v2 over gRPC, on the same gateway as the invoke API."""
