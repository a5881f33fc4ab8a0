"""Checks the five rules on captured traffic, knowing nothing of how decisions were reached."""
