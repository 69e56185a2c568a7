"""A scripted command channel on a real socket, for tests of the machine list's watch."""

import json
from random import Random

from glencleat.event_loop import StreamClosedError
from glencleat.flow_control.backoff import Backoff, BackoffPolicy
from tests.support.socket_world import Peer


def list_event(cursor):
    entry = {
        "instanceId": f"h{cursor}",
        "hostPort": "127.0.0.1:9",
        "zone": "a",
        "machineType": "std",
        "lifecycle": "SERVING",
    }
    return json.dumps({"cursor": cursor, "nodes": {"instances": [entry]}}).encode() + b"\n"


def asking(first=5.0, most=20.0, steady=1_000.0):
    return Backoff(BackoffPolicy(first, most, steady), Random(1))


class Tower(Peer):
    """A command channel that records requests; `script` returns the answer to the nth, counted from 1."""

    def serve(self, stream):
        data = yield from stream.read()
        self.got.append(data)
        stream.send(self.script(len(self.got)))
        try:
            while (yield from stream.read()):
                pass
        except StreamClosedError:
            pass
