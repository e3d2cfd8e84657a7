"""Proxy that carries a request from a client to a backend server.

A node accepts requests of the clients and the backend server on its VM
(``client``), selects a route (``routes``) and a backend server (``balance``),
and sends the request to the node beside that server (``hop``). Only that node
sends it to the server (``gate``, ``backendserver``). A ``Dialect`` names the
headers; the adapter of a platform supplies it.
"""
