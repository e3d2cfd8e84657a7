"""Naive version of the call path, as a baseline for comparison."""
