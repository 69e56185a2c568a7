"""One allocator as the platform starts it, with a small host, channel and owner of the page's own words."""

import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest

from glencleat.event_loop import Loop
from glencleat.platform_protocol import messages as m
from glencleat.platform_server.client_connections import MESSAGE_TIMEOUT_MS
from glencleat.platform_server.graceful_shutdown import DRAIN_WINDOW_MS
from glencleat.platform_server.process import (
    READY_TIMEOUT_MS,
    SHUTDOWN_CHECK_MS,
    PlatformProcess,
    load_process_config,
)
from tests.support.exchange_world import setup

SETTINGS = {
    "az": "a",
    "classes": [{"name": "safe", "effect": "pure", "goal-time-ms": 1000.0, "deadline-ms": 8000.0}],
    "kinds": ["std"],
    "domain": {"cores-by-kind": [16], "kind-memory": [32.0], "cpu-booking": 2.0, "view": True},
    "limits": {"max-attempts": 3, "connect-timeout-ms": 250.0, "conn-idle-ms": 30000.0},
    "peers-total": 1,
    "discovery": "ask",
    "rules": {"stop-sending-within-ms": 500.0, "warm-within-ms": 1.0, "overload-for-ms": 1.0},
}


class Peer:
    """A listener in a thread of its own that runs `serve` for each connection."""

    def __init__(self, serve):
        self.serve, self.port, self.open_ones = serve, 0, []
        self.open()
        self.address = f"127.0.0.1:{self.port}"

    def open(self):
        self.sock = socket.create_server(("127.0.0.1", self.port))
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self.run, args=(self.sock,), daemon=True).start()

    def close(self):
        """Nobody is let in, and who is in is cut off."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for sock in self.open_ones:
            sock.close()

    def run(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            self.open_ones.append(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()


class Reader:
    def __init__(self, sock):
        self.sock, self.decoder, self.found = sock, m.MessageDecoder(), []
        sock.settimeout(20.0)

    def next(self):
        while not self.found:
            data = self.sock.recv(4096)
            assert data, "closed"
            self.decoder.feed(data)
            self.found = list(self.decoder.messages())
        return self.found.pop(0)


class Platform:
    """Host h1, two command channels, the configuration, the process."""

    def __init__(self, folder, known=True):
        self.hold, self.resumed, self.known = threading.Event(), [[], []], known
        self.asked = [threading.Event(), threading.Event()]
        self.again = [threading.Event(), threading.Event()]
        self.host = Peer(self.serve_host)
        self.channels = [Peer(lambda sock, i=i: self.serve_channel(i, sock)) for i in (0, 1)]
        self.path = folder / "config.json"
        self.write(0)
        variables = {"ROUTER_NAME": "n0", "ROUTER_CONFIG": str(self.path), "ROUTER_LISTEN": "127.0.0.1:0"}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "glencleat", "node"],
            env={**os.environ, **variables},
            stderr=subprocess.PIPE,
            text=True,
        )
        line = self.line("listening on")
        self.address = ("127.0.0.1", int(line.split("listening on 127.0.0.1:")[1].split(",")[0]))

    def line(self, text):
        for line in self.process.stderr:
            if text in line:
                return line
        raise AssertionError(f"no line with {text!r}; ended with {self.process.wait()}")

    def write(self, channel):
        entry = {"instanceId": "h1", "hostPort": self.host.address, "zone": "a", "machineType": "std", "cell": 0,
                 "lifecycle": "SERVING", "weight": 1, "startedAtMs": 0, "free": [16.0, 32.0]}  # fmt: skip
        event = {"cursor": 1, "nodes": {"generation": 1, "reset": True, "instances": [entry]}}
        self.path.write_text(json.dumps({
            "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "channel": self.channels[channel].address,
            "known": {"cursor": 1, "cmds": [event]} if self.known else {}, "settings": SETTINGS,
        }))  # fmt: skip

    def serve_host(self, sock):
        reader = Reader(sock)
        try:
            while True:
                message = reader.next()
                if message.kind == m.SETUP:
                    self.hold.wait(20.0)
                    sock.send(m.encode(m.ANSWER, message.task_id, {m.DESCRIPTION: b"from h1"}))
        except (AssertionError, OSError):
            sock.close()

    def serve_channel(self, i, sock):
        self.resumed[i].append(sock.recv(100))
        (self.again if self.asked[i].is_set() else self.asked)[i].set()

    def owner(self):
        sock = socket.create_connection(self.address)
        return sock, Reader(sock)


@pytest.fixture
def platform(tmp_path):
    made = Platform(tmp_path)
    yield made
    if made.process.poll() is None:
        made.process.kill()
    made.process.wait()
    made.process.stderr.close()


def test_a_day_in_short(platform):
    """Ready, an answer, a reload, a broken file, a planned restart with a call open."""
    sock, reader = platform.owner()
    sock.send(m.encode(m.PROBE, 1, {m.CAUSE: b"\0"}))
    assert reader.next().cause == 1
    platform.hold.set()
    sock.send(setup(7))
    answer = reader.next()
    assert (answer.kind, answer.task_id, answer.parameters) == (m.ANSWER, 7, {m.DESCRIPTION: b"from h1"})
    assert platform.asked[0].wait(20.0) and platform.resumed[0][0] == b"resume 1\n"

    platform.path.write_text("{")  # while it is replaced
    platform.process.send_signal(signal.SIGHUP)
    platform.write(1)
    assert platform.asked[1].wait(20.0) and platform.resumed[1][0] == b"resume 1\n"

    platform.hold.clear()
    sock.send(setup(8) + m.encode(m.PROBE, 2, {m.CAUSE: b"\0"}))
    assert reader.next().cause == 1
    platform.process.send_signal(signal.SIGTERM)
    platform.line("stopping, 1 calls open")
    for token in range(3, 13):  # rounds of its loop go by
        sock.send(m.encode(m.PROBE, token, {m.CAUSE: b"\0"}))
        assert reader.next().cause == 0
    late, late_reader = platform.owner()
    late.send(setup(9))
    platform.hold.set()
    assert reader.next().kind == m.ANSWER and late_reader.next().kind == m.ANSWER
    assert platform.process.wait(20.0) == 0


def test_memory_at_the_start_is_what_the_path_needs(platform):
    with open(f"/proc/{platform.process.pid}/maps") as file:
        loaded = file.read()
    assert "pydantic" not in loaded
    with open(f"/proc/{platform.process.pid}/statm") as file:
        assert int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") < 30 << 20


@pytest.mark.parametrize("text", [None, "{", "{}", '{"name": "n0", "listen": 5}', "[]"])
def test_a_configuration_that_cannot_be_used(tmp_path, text):
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    env = {**os.environ, "ROUTER_CONFIG": str(path)}
    done = subprocess.run(
        [sys.executable, "-m", "glencleat", "node"], env=env, capture_output=True, text=True
    )
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and "config.json" in done.stderr


def test_it_says_what_it_needs():
    env = {name: value for name, value in os.environ.items() if name != "ROUTER_CONFIG"}
    done = subprocess.run(
        [sys.executable, "-m", "glencleat", "node"], env=env, capture_output=True, text=True
    )
    assert done.returncode == 2 and "ROUTER_CONFIG" in done.stderr


def test_what_lay_unread_as_the_end_came_is_answered(platform):
    """It was taken: after a standstill the end's timer is due in the very turn that reads it."""
    sock, reader = platform.owner()
    platform.hold.set()
    sock.send(m.encode(m.PROBE, 1, {m.CAUSE: b"\0"}))
    assert reader.next().cause == 1
    with stalled(platform):
        sock.send(setup(8))
    assert (reader.next().kind, platform.process.wait(20.0)) == (m.ANSWER, 0)


@contextlib.contextmanager
def stalled(platform):
    """SIGTERM, then a standstill; what is done in the body comes while it lasts, which is past the window."""
    platform.process.send_signal(signal.SIGTERM)
    platform.line("stopping, 0 calls open")
    platform.process.send_signal(signal.SIGSTOP)
    yield
    time.sleep(2.0 * DRAIN_WINDOW_MS / 1e3)  # nothing is waited for but the time itself
    platform.process.send_signal(signal.SIGCONT)


def test_connections_that_no_round_could_take_are_answered_at_the_end(platform):
    """More than one round lets in lie in the listen backlog as the window's end is due."""
    platform.hold.set()
    with stalled(platform):
        owners = [platform.owner() for _ in range(100)]
        for number, (sock, _) in enumerate(owners, 1):
            sock.send(setup(number))
    assert all(reader.next().kind in (m.ANSWER, m.RELEASE) for _, reader in owners)  # h1 has not room for all
    assert platform.process.wait(20.0) == 0


def test_set_ups_that_wait_their_turn_are_answered_at_the_end(platform):
    """Several times as many on one connection as have their turn at once."""
    platform.hold.set()
    sock, reader = platform.owner()
    sock.send(m.encode(m.PROBE, 1, {m.CAUSE: b"\0"}))
    assert reader.next().cause == 1
    with stalled(platform):
        sock.send(b"".join(setup(number) for number in range(1, 101)))
    assert {reader.next().task_id for _ in range(100)} == set(range(1, 101))
    assert platform.process.wait(20.0) == 0


def test_signals_in_any_order_end_in_order(platform):
    """A reload while it ends, and another SIGTERM: one end, without a traceback."""
    platform.path.write_text("{")
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        platform.process.send_signal(number)
    said = platform.process.stderr.read()
    assert platform.process.wait(20.0) == 0
    assert said.count("stopping") == 1 and "Traceback" not in said and "FAULT" not in said


def test_a_process_that_is_not_ready_ends_on_sigterm(tmp_path):
    made = Platform(tmp_path, known=False)
    sock, reader = made.owner()
    sock.send(m.encode(m.PROBE, 1, {m.CAUSE: b"\0"}))
    assert reader.next().cause == 0
    made.process.send_signal(signal.SIGTERM)
    assert "Traceback" not in made.process.stderr.read() and made.process.wait(20.0) == 0
    made.process.stderr.close()


def test_idle_clients_that_fill_every_descriptor_do_not_cost_the_command_channel(platform):
    """They come while discovery is down; its return is heard all the same, and so are its news."""
    resource.prlimit(platform.process.pid, resource.RLIMIT_NOFILE, (256, 256))
    assert platform.asked[0].wait(20.0)
    platform.channels[0].close()
    flood = [socket.create_connection(platform.address) for _ in range(400)]
    platform.channels[0].open()
    assert platform.again[0].wait(20.0)
    sock, reader = platform.owner()
    platform.hold.set()
    sock.send(setup(7))
    assert reader.next().kind == m.ANSWER
    for one in flood:
        one.close()


class Clock:
    at = 1_000.0

    def now(self):
        return self.at

    def wall(self):
        return 1.7e12 + self.at


def test_without_any_list_it_is_ready_in_time(tmp_path):
    """The platform gives up on one that is not ready after 30 s; what it is asked is refused at once."""
    known = {"cursor": 0, "cmds": []}
    (tmp_path / "config.json").write_text(json.dumps({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c", "limits": {"sockets": 256}, "channel": "127.0.0.1:9",
        "known": known, "settings": SETTINGS,
    }))  # fmt: skip
    loop = Loop(Clock())
    process = PlatformProcess(load_process_config(str(tmp_path / "config.json")), loop, lambda text: None, "")
    assert not process.client_connections.is_ready()
    loop.clock.at += READY_TIMEOUT_MS
    assert not process.client_connections.is_ready()
    loop.clock.at += 1.0
    assert process.client_connections.is_ready() and READY_TIMEOUT_MS < 9_000.0  # nine in ten within 10 s


class VirtualClock(Clock):
    """Monotonic time stands still between steps; wall time is the system's, which stamps what arrives."""

    def wall(self):
        return time.time() * 1e3


@pytest.fixture
def stepped_process(tmp_path):
    """A process with host h1 known, in this one, whose time passes only by `loop.clock.at`."""
    entry = {"instanceId": "h1", "hostPort": "127.0.0.1:9", "zone": "a", "machineType": "std", "cell": 0,
             "lifecycle": "SERVING", "weight": 1, "startedAtMs": 0, "free": [16.0, 32.0]}  # fmt: skip
    event = {"cursor": 1, "nodes": {"generation": 1, "reset": True, "instances": [entry]}}
    path = tmp_path / "config.json"
    path.write_text(json.dumps({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c", "limits": {"sockets": 256}, "channel": "127.0.0.1:9",
        "known": {"cursor": 1, "cmds": [event]}, "settings": SETTINGS,
    }))  # fmt: skip
    process = PlatformProcess(load_process_config(str(path)), Loop(VirtualClock()), lambda text: None, "")
    process.loop.is_running = True
    yield process
    process.client_connections.stop_listening()
    for client in list(process.client_connections.connections):
        client.stream.close()


def run_rounds_until(loop, is_done, rounds=2_000):
    for _ in range(rounds):
        if is_done():
            return
        loop.call_in(0.0, lambda: None)
        loop.run_once()
    raise AssertionError(f"not done in {rounds} rounds")


def test_half_a_message_is_waited_for_and_what_came_too_late_is_refused(stepped_process):
    """The rest comes at the last instant that its time allows, well after the window."""
    process, clock = stepped_process, stepped_process.loop.clock
    address = process.client_connections.listen(("127.0.0.1", 0))
    with socket.create_connection(address) as sock:
        sock.send(setup(7)[:30])
        run_rounds_until(
            process.loop,
            lambda: any(client.partial_message for client in process.client_connections.connections),
        )
        process.stop()
        clock.at += DRAIN_WINDOW_MS
        run_rounds_until(process.loop, lambda: process.client_connections.listener is None)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
        clock.at += MESSAGE_TIMEOUT_MS - DRAIN_WINDOW_MS
        process.loop.run_once()
        assert process.loop.is_running
        sock.send(setup(7)[30:])
        sock.setblocking(False)
        decoder, messages = m.MessageDecoder(), []

        def has_answer():
            with contextlib.suppress(BlockingIOError):
                decoder.feed(sock.recv(4096))
                messages.extend(decoder.messages())
            return messages

        run_rounds_until(process.loop, has_answer)
        assert [(told.kind, told.task_id, told.cause) for told in messages] == [(m.RELEASE, 7, m.REJECTED)]
        clock.at += SHUTDOWN_CHECK_MS
        run_rounds_until(process.loop, lambda: not process.loop.is_running)
