"""Demo and measurement drivers."""
