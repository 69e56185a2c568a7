"""An allocator process as the platform starts it, with a host, command channel and client of the protocol."""

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
from glencleat.platform_server.client_timeouts import MESSAGE_TIMEOUT_MS
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
    """A listener in its own thread that runs `serve` for each connection."""

    def __init__(self, serve):
        self.serve, self.port, self.accepted = serve, 0, []
        self.open()
        self.address = f"127.0.0.1:{self.port}"

    def open(self):
        self.sock = socket.create_server(("127.0.0.1", self.port))
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self.run, args=(self.sock,), daemon=True).start()

    def close(self):
        """Closes the listener and every accepted connection."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for sock in self.accepted:
            sock.close()

    def run(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            self.accepted.append(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()


class Reader:
    def __init__(self, sock):
        self.sock, self.decoder, self.messages = sock, m.MessageDecoder(), []
        sock.settimeout(20.0)

    def next(self):
        while not self.messages:
            data = self.sock.recv(4096)
            assert data, "closed"
            self.decoder.feed(data)
            self.messages = list(self.decoder.messages())
        return self.messages.pop(0)


class Platform:
    """Host h1, two command channels, the configuration and the allocator process."""

    def __init__(self, folder, known=True):
        self.hold, self.resume_lines, self.known = threading.Event(), [[], []], known
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
        line = self.wait_for_line("listening on")
        self.address = ("127.0.0.1", int(line.split("listening on 127.0.0.1:")[1].split(",")[0]))

    def wait_for_line(self, text):
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
        self.resume_lines[i].append(sock.recv(100))
        (self.again if self.asked[i].is_set() else self.asked)[i].set()

    def owner(self):
        sock = socket.create_connection(self.address)
        return sock, Reader(sock)


@pytest.fixture
def platform(tmp_path):
    platform = Platform(tmp_path)
    yield platform
    if platform.process.poll() is None:
        platform.process.kill()
    platform.process.wait()
    platform.process.stderr.close()


def test_a_day_in_short(platform):
    """Covers readiness, an answer, a reload of an incomplete file, and a planned restart with an open call."""
    sock, reader = platform.owner()
    sock.send(m.encode(m.PROBE, 1, {m.CAUSE: b"\0"}))
    assert reader.next().cause == 1
    platform.hold.set()
    sock.send(setup(7))
    answer = reader.next()
    assert (answer.kind, answer.task_id, answer.parameters) == (m.ANSWER, 7, {m.DESCRIPTION: b"from h1"})
    assert platform.asked[0].wait(20.0) and platform.resume_lines[0][0] == b"resume 1\n"

    platform.path.write_text("{")  # incomplete, as while it is being replaced
    platform.process.send_signal(signal.SIGHUP)
    platform.write(1)
    assert platform.asked[1].wait(20.0) and platform.resume_lines[1][0] == b"resume 1\n"

    platform.hold.clear()
    sock.send(setup(8) + m.encode(m.PROBE, 2, {m.CAUSE: b"\0"}))
    assert reader.next().cause == 1
    platform.process.send_signal(signal.SIGTERM)
    platform.wait_for_line("stopping, 1 calls open")
    for token in range(3, 13):  # while rounds of its loop pass
        sock.send(m.encode(m.PROBE, token, {m.CAUSE: b"\0"}))
        assert reader.next().cause == 0
    late_client, late_reader = platform.owner()
    late_client.send(setup(9))
    platform.hold.set()
    assert reader.next().kind == m.ANSWER and late_reader.next().kind == m.ANSWER
    assert platform.process.wait(20.0) == 0


def test_memory_at_the_start_is_what_the_platform_server_needs(platform):
    with open(f"/proc/{platform.process.pid}/maps") as file:
        loaded = file.read()
    assert "pydantic" not in loaded
    with open(f"/proc/{platform.process.pid}/statm") as file:
        assert int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") < 30 << 20


@pytest.mark.parametrize("text", [None, "{", "{}", '{"name": "n0", "listen": 5}', "[]"])
def test_an_invalid_configuration_is_reported_in_one_line(tmp_path, text):
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    env = {**os.environ, "ROUTER_CONFIG": str(path)}
    result = subprocess.run(
        [sys.executable, "-m", "glencleat", "node"], env=env, capture_output=True, text=True
    )
    assert result.returncode == 2 and len(result.stderr.splitlines()) == 1 and "config.json" in result.stderr


def test_a_missing_configuration_variable_is_named():
    env = {name: value for name, value in os.environ.items() if name != "ROUTER_CONFIG"}
    result = subprocess.run(
        [sys.executable, "-m", "glencleat", "node"], env=env, capture_output=True, text=True
    )
    assert result.returncode == 2 and "ROUTER_CONFIG" in result.stderr


def test_a_call_that_lay_unread_at_the_end_is_answered(platform):
    """After a stall the shutdown timer is due in the same round that reads the call."""
    sock, reader = platform.owner()
    platform.hold.set()
    sock.send(m.encode(m.PROBE, 1, {m.CAUSE: b"\0"}))
    assert reader.next().cause == 1
    with stalled(platform):
        sock.send(setup(8))
    assert (reader.next().kind, platform.process.wait(20.0)) == (m.ANSWER, 0)


@contextlib.contextmanager
def stalled(platform):
    """Sends SIGTERM and stalls the process past its drain window; the body runs during the stall."""
    platform.process.send_signal(signal.SIGTERM)
    platform.wait_for_line("stopping, 0 calls open")
    platform.process.send_signal(signal.SIGSTOP)
    yield
    time.sleep(2.0 * DRAIN_WINDOW_MS / 1e3)  # no event marks the end of the window
    platform.process.send_signal(signal.SIGCONT)


def test_connections_in_the_backlog_are_answered_at_the_end(platform):
    """When the drain window ends, the listen backlog holds more connections than one round accepts."""
    platform.hold.set()
    with stalled(platform):
        clients = [platform.owner() for _ in range(100)]
        for number, (sock, _) in enumerate(clients, 1):
            sock.send(setup(number))
    # Host h1 lacks the capacity for all of them.
    assert all(reader.next().kind in (m.ANSWER, m.RELEASE) for _, reader in clients)
    assert platform.process.wait(20.0) == 0


def test_set_ups_that_wait_for_their_turns_are_answered_at_the_end(platform):
    """One connection has several times as many set-ups as are handled in one turn."""
    platform.hold.set()
    sock, reader = platform.owner()
    sock.send(m.encode(m.PROBE, 1, {m.CAUSE: b"\0"}))
    assert reader.next().cause == 1
    with stalled(platform):
        sock.send(b"".join(setup(number) for number in range(1, 101)))
    assert {reader.next().task_id for _ in range(100)} == set(range(1, 101))
    assert platform.process.wait(20.0) == 0


def test_signals_in_any_order_cause_one_shutdown(platform):
    """A reload during the shutdown and a second SIGTERM cause no traceback."""
    platform.path.write_text("{")
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        platform.process.send_signal(number)
    log = platform.process.stderr.read()
    assert platform.process.wait(20.0) == 0
    assert log.count("stopping") == 1 and "Traceback" not in log and "FAULT" not in log


def test_a_process_that_is_not_ready_ends_on_sigterm(tmp_path):
    platform = Platform(tmp_path, known=False)
    sock, reader = platform.owner()
    sock.send(m.encode(m.PROBE, 1, {m.CAUSE: b"\0"}))
    assert reader.next().cause == 0
    platform.process.send_signal(signal.SIGTERM)
    assert "Traceback" not in platform.process.stderr.read() and platform.process.wait(20.0) == 0
    platform.process.stderr.close()


def test_idle_clients_that_fill_every_descriptor_do_not_cost_the_command_channel(platform):
    """They connect while discovery is down; the allocator still reconnects to it and places tasks."""
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
    for idle in flood:
        idle.close()


class Clock:
    at = 1_000.0

    def now(self):
        return self.at

    def wall(self):
        return 1.7e12 + self.at


def test_without_any_list_it_is_ready_in_time(tmp_path):
    """The platform gives up on a process that is not ready after 30 s; a ready one refuses calls at once."""
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
    # Nine in ten processes must be ready within 10 s.
    assert process.client_connections.is_ready() and READY_TIMEOUT_MS < 9_000.0


class VirtualClock(Clock):
    """Monotonic time advances in steps; wall time is the system's, because the kernel stamps arrivals with it."""

    def wall(self):
        return time.time() * 1e3


@pytest.fixture
def stepped_process(tmp_path):
    """A process that knows host h1, run within the test; its time advances only by `loop.clock.at`."""
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


def test_half_a_message_is_waited_for_and_a_late_call_is_refused(stepped_process):
    """The rest of the message arrives at the last moment of its time-out, well after the drain window."""
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
        assert [(message.kind, message.task_id, message.cause) for message in messages] == [
            (m.RELEASE, 7, m.REJECTED)
        ]
        clock.at += SHUTDOWN_CHECK_MS
        run_rounds_until(process.loop, lambda: not process.loop.is_running)
