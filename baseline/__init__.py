"""A naive version of the path of a call, to compare with."""
