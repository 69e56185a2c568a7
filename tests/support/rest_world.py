"""A REST API on a core without sockets, and a client of it."""

import json

from glencleat.mesos.http import Request
from glencleat.rest import service
from glencleat.rest.watches import WatchLimits as WatchLimits
from glencleat.servers.rest_api import RestApi
from tests.support.core_world import Cluster

JOB = {"class": "safe", "service": "svc", "cores": 1, "memory": 100}


class RestApiFixture:
    """A cluster with a REST API, and a client of it."""

    def __init__(self, machines=2, limits=None, **options):
        self.cluster = Cluster(machines, **options)
        self.service = service.RestService(self.cluster.core, limits or service.RestLimits(), 7)
        self.api = RestApi(self.service)
        self.core, self.timing, self.agents = self.cluster.core, self.cluster.timing, self.cluster.agents
        for agent in self.agents.values():
            agent.subscribe()
        self.cluster.list(list(self.agents))

    def request(self, method, target, body=None, **headers):
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        if body is not None:
            headers.setdefault("content-type", "application/json")
        response = self.api.handle(Request(method, target, headers, data))
        return response.status, json.loads(response.body) if response.body else None, response.headers

    def create(self, name="j", labels=None, tenant="t", key=None, **spec):
        headers = {} if key is None else {"idempotency_key": key}
        body = {"name": name, "labels": labels or {}, "spec": JOB | spec}
        return self.request("POST", f"/v1/tenants/{tenant}/jobs", body, **headers)

    def run(self, ms=10.0):
        for _ in range(max(1, int(ms // 500))):
            for agent in self.agents.values():
                if agent.link.why is None:
                    agent.beat()
            self.timing.advance(min(ms, 500.0))

    def task(self, name="j.0", tenant="t"):
        return self.request("GET", f"/v1/tenants/{tenant}/tasks/rest:{tenant}/{name}")[1]

    def job(self, name="j"):
        return self.request("GET", f"/v1/tenants/t/jobs/{name}")[1]

    def in_flight(self, name="j.0"):
        """The agent and the attempt in flight of the task's last call."""
        call = self.core.call_table.find_call("rest:t", name)
        attempt = call.active_attempt()
        return self.agents[attempt.machine], attempt.id

    def report(self, state, name="j.0", **more):
        agent, attempt = self.in_flight(name)
        agent.say(attempt, state, **more)
        self.run()
