"""Checks the five rules against captured traffic, independently of the code that makes the decisions."""
