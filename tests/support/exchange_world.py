"""An exchange on a virtual clock, with ports that record calls and clients that record received messages."""

from glencleat import interface as api
from glencleat.platform_protocol import messages as m
from glencleat.platform_protocol.command_channel import HostEntry, ListChange
from glencleat.platform_protocol.delivery import DeliveryOutcome
from glencleat.platform_protocol.exchange import Exchange
from tests.support.core_world import Timing

SAFE = api.TaskClass("safe", api.Idempotency.IDEMPOTENT, 1000.0, 8000.0, 1.0)
KEYED = api.TaskClass(
    "keyed",
    api.Idempotency.IDEMPOTENCY_KEY,
    1000.0,
    8000.0,
    1.0,
    deduplication_scope="all",
    deduplication_window_ms=5000.0,
)
UNSAFE = api.TaskClass("unsafe", api.Idempotency.NON_IDEMPOTENT, 1000.0, 8000.0, 1.0)
SETTINGS = api.Settings(
    0,
    1,
    "a",
    (SAFE, KEYED, UNSAFE),
    {"std": api.MachineSize(16.0, 32.0)},
    max_attempts=4,
    list_has_free_capacity=True,
)


def setup(
    task, cls="safe", wait=8000, name="t", extras="cores:1;memory:2;service:web", key=None, desc=b"d", **more
):
    """Encodes a client's set-up; a parameter that is None is left out."""
    values_by_code = {
        m.CLASS: cls, m.TIMEOUT: wait, m.NAME: name, m.EXTRAS: extras, m.DESCRIPTION: desc,
        m.KEY: key or ("k" if cls == "keyed" else None), **more,
    }  # fmt: skip
    raw = {
        code: value if isinstance(value, bytes) else str(value).encode()
        for code, value in values_by_code.items()
        if value is not None
    }
    return m.encode(m.SETUP, task, raw)


def read(data):
    """Decodes complete messages."""
    decoder = m.MessageDecoder()
    decoder.feed(data)
    messages = list(decoder.messages())
    assert not decoder.has_partial_message
    return messages


class Owner:
    """A client's connection that records the messages written to it."""

    def __init__(self):
        self.open_task_ids, self.received, self.is_closed = set(), [], False

    def replies(self):
        """Type, task id and cause (0 without one) of each message."""
        return [
            (message.kind, message.task_id, message.parameters.get(m.CAUSE, b"\0")[0])
            for message in self.received
        ]


class Script:
    """A policy that records events and answers each with the next list of actions in `next`."""

    def __init__(self):
        self.events, self.next = [], []

    def handle(self, now, event):
        self.events.append(event)
        return self.next.pop(0) if self.next else []


class World(Timing):
    """An exchange and its ports; the policy is `module`, or a Script."""

    def __init__(self, module=None, settings=SETTINGS):
        super().__init__()
        self.module = module or Script()
        self.offers, self.cancelled_attempts, self.released_tasks, self.logs, self.report_requests = (
            [],
            [],
            [],
            [],
            [],
        )
        # What the ports return: of cancel_attempt, request_load_report, is_client_waiting and has_unread_bytes.
        self.cancel_outcome, self.can_request_reports, self.cancelled_task_ids, self.has_unread = (
            DeliveryOutcome.ANSWER_TIMEOUT,
            True,
            set(),
            False,
        )
        self.exchange = Exchange(settings, self.module, self, 250.0)
        self.owner = Owner()

    # ---- ExchangePorts ----

    def send_to_client(self, client, data, must_deliver):
        (client if not client.is_closed else self.owner).received.extend(read(data))

    def is_client_waiting(self, client, task):
        return not client.is_closed and task not in self.cancelled_task_ids

    def is_release_undelivered(self, task):
        return False

    def mark_trusted(self, client):
        client.is_trusted = True

    def offer_attempt(self, attempt):
        attempt.connection = f"connection {len(self.offers)}"
        self.offers.append(attempt)

    def cancel_attempt(self, attempt):
        self.cancelled_attempts.append(attempt)
        return self.cancel_outcome

    def has_unread_bytes(self, attempt):
        return self.has_unread

    def release_task(self, host, task):
        self.released_tasks.append((host, task))

    def request_load_report(self, host, token):
        self.report_requests.append((host, token))
        return self.can_request_reports

    def log(self, text):
        self.logs.append(text)

    # ---- actions and results of a test ----

    def asks(self, task, *actions, owner=None, waited=0.0, **fields):
        """Receives a client's set-up; a Script answers the next event with these actions."""
        if actions:
            self.module.next.append(list(actions))
        (message,) = read(setup(task, **fields))
        return self.exchange.on_client_setup(owner or self.owner, message, waited)

    def host(self, kind, task, host="h1", connection=None, **parameters):
        """Receives a host's message, by default on the connection of the last offered attempt."""
        codes_by_name = {
            "cause": m.CAUSE,
            "desc": m.DESCRIPTION,
            "topic": m.TOPIC,
            "value": m.VALUE,
            "report": m.REPORT,
        }
        raw = {
            codes_by_name[name]: bytes([value]) if name == "cause" else value
            for name, value in parameters.items()
        }
        (message,) = read(m.encode(kind, task, raw))
        self.exchange.on_host_message(host, connection or self.offers[-1].connection, message)

    def client_releases(self, task, client=None, cause=m.CANCELLED):
        """Receives a client's release: it takes a set-up back, or ends a placed task."""
        (message,) = read(m.encode_with_cause(m.RELEASE, task, cause))
        self.exchange.on_client_release(client or self.owner, message)

    def events_of(self, kind):
        """The policy's events of that type so far."""
        return [event for event in self.module.events if isinstance(event, kind)]

    def outcomes(self):
        return [event.outcome for event in self.events_of(api.AttemptEnded)]


def machine(name="h1", phase=api.MachinePhase.SERVING, ready=None):
    return api.Machine(name, "std", "a", 0, phase, 16.0, 32.0, ready)


def list_change(*machines, is_snapshot=True):
    return ListChange(is_snapshot, tuple(HostEntry(machine, ("127.0.0.1", 9), 0.0) for machine in machines))
