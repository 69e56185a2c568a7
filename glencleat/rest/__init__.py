"""State and decisions of the REST API, without sockets.

Holds the resources and their versions, watches, jobs, overload control and the reasons why tasks wait.
Imports the core's ports and the message schemas; called by `servers.rest_api`.
"""
