"""Decisions under load and failure; they need no network."""
