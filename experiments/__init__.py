"""Drivers of real processes with stand-ins, simulations, measurements."""
