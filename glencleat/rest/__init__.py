"""The REST front's state and decisions, without sockets: resources and their versions, watches, jobs,
overload, and why work waits. It imports the core's seam and the message schemas; `fronts.rest_api` calls
it."""
