"""Who the other dispatchers and planners are, and one versioned channel between any two."""
