"""Connections to clients, other nodes and the backend server."""
