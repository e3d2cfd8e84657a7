"""The path of a request through routes, nodes and backend servers.

A node listens for the clients and the backend server on its VM (``client``),
selects a route (``routes``) and a backend server (``balance``), hands the
request to the node beside that server (``hop``), and that node alone hands it
to the server (``gate``, ``backendserver``). What is spoken with clients and
backend servers is described by a ``Dialect``; an adapter supplies it.
"""
