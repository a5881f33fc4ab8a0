"""The adapter between the bench's wire and the dispatch package."""
