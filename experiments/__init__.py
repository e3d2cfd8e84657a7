"""Drivers that run real processes with stand-ins, and measurements."""
