"""The exchange on a clock of its own: ports that record, owners and hosts that are lists of messages."""

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
    """A set-up's parameters as an owner sends them; None leaves one out."""
    found = {
        m.CLASS: cls, m.TIMEOUT: wait, m.NAME: name, m.EXTRAS: extras, m.DESCRIPTION: desc,
        m.KEY: key or ("k" if cls == "keyed" else None), **more,
    }  # fmt: skip
    raw = {code: v if isinstance(v, bytes) else str(v).encode() for code, v in found.items() if v is not None}
    return m.encode(m.SETUP, task, raw)


def read(data):
    decoder = m.MessageDecoder()
    decoder.feed(data)
    found = list(decoder.messages())
    assert not decoder.has_partial_message
    return found


class Owner:
    def __init__(self):
        self.open_task_ids, self.got, self.closed = set(), [], False

    def said(self):
        return [(x.kind, x.task_id, x.parameters.get(m.CAUSE, b"\0")[0]) for x in self.got]


class Script:
    """A module that does what the test says; events are kept."""

    def __init__(self):
        self.events, self.next = [], []

    def handle(self, now, event):
        self.events.append(event)
        return self.next.pop(0) if self.next else []


class World(Timing):
    """Ports of an exchange whose module is `module`, or a Script."""

    def __init__(self, module=None, settings=SETTINGS):
        super().__init__()
        self.module = module or Script()
        self.offers, self.cancelled_attempts, self.cuts, self.logs, self.tests = [], [], [], [], []
        self.fact, self.testable, self.cancelled, self.lies_unread = (
            DeliveryOutcome.ANSWER_TIMEOUT,
            True,
            set(),
            False,
        )
        self.exchange = Exchange(settings, self.module, self, 250.0)
        self.owner = Owner()

    # ---- Ports ----

    def send_to_client(self, client, data, must_deliver):
        (client if not client.closed else self.owner).got.extend(read(data))

    def is_client_waiting(self, client, task, must_poll):
        return not client.closed and task not in self.cancelled

    def mark_trusted(self, client):
        client.proven = True

    def offer_attempt(self, attempt):
        attempt.connection = f"link {len(self.offers)}"
        self.offers.append(attempt)

    def cancel_attempt(self, attempt):
        self.cancelled_attempts.append(attempt)
        return self.fact

    def has_unread_bytes(self, attempt):
        return self.lies_unread

    def release_task(self, host, task):
        self.cuts.append((host, task))

    def request_load_report(self, host, token):
        self.tests.append((host, token))
        return self.testable

    def log(self, text):
        self.logs.append(text)

    # ---- what tests do ----

    def asks(self, task, *actions, owner=None, waited=0.0, **fields):
        """A set-up comes; a Script module answers it with these actions."""
        if actions:
            self.module.next.append(list(actions))
        (message,) = read(setup(task, **fields))
        return self.exchange.on_client_setup(owner or self.owner, message, waited)

    def host(self, kind, task, host="h1", link=None, **parameters):
        """A host's message, by default on the link of the last offer."""
        names = {
            "cause": m.CAUSE,
            "desc": m.DESCRIPTION,
            "topic": m.TOPIC,
            "value": m.VALUE,
            "report": m.REPORT,
        }
        raw = {names[k]: bytes([v]) if k == "cause" else v for k, v in parameters.items()}
        (message,) = read(m.encode(kind, task, raw))
        self.exchange.on_host_message(host, link or self.offers[-1].connection, message)

    def told(self, kind):
        return [event for event in self.module.events if isinstance(event, kind)]

    def outcomes(self):
        return [event.outcome for event in self.told(api.AttemptEnded)]


def machine(name="h1", phase=api.MachinePhase.SERVING, ready=None):
    return api.Machine(name, "std", "a", 0, phase, 16.0, 32.0, ready)


def news(*hosts, whole=True):
    return ListChange(whole, tuple(HostEntry(h, ("127.0.0.1", 9), 0.0) for h in hosts))
