"""The shape of an allocator's work: bytecodes run at four times the hosts over those at once the hosts.

Counts and no seconds, so that they are the same on every machine. The node is whole, on a clock that leaps; its
hosts are one listening socket under many loopback addresses. Work inside C (sorting, copying) is not counted;
what calls back into Python is."""

import json
import socket
import sys

import pytest

from glencleat.emulators.allocator_processes import SETTINGS
from glencleat.emulators.channel import make_list_entry
from glencleat.platform_protocol import messages as m
from glencleat.platform_server.process import PlatformProcess, load_process_config
from glencleat.scale.hosts import listen_on_loopback
from tests.support.exchange_world import setup
from tests.support.virtual_time import leaping_loop

SMALL, LARGE = 400, 1_600
FLAT = 1.3  # at four times the hosts: as good as independent of them
LINEAR = 5.0  # four times, and a little for trees and tables that grow


class Work:
    """Counts the bytecodes that run in the program's files meanwhile."""

    def __enter__(self):
        self.count, self.before = 0, sys.gettrace()
        sys.settrace(self.entered)
        return self

    def __exit__(self, *_):
        sys.settrace(self.before)

    def entered(self, frame, event, _):
        if "/glencleat/" not in frame.f_code.co_filename:
            return None
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        return self.step

    def step(self, frame, event, _):
        self.count += event == "opcode"
        return self.step


class Node:
    """One allocator with so many hosts, some of which hold one task of its each."""

    def __init__(self, folder, hosts, standing=0):
        self.sock = listen_on_loopback()
        port = self.sock.getsockname()[1]
        self.entries = [
            {**make_list_entry(f"h{i}", port), "hostPort": f"127.{1 + i // 250}.{1 + i % 250}.1:{port}"}
            for i in range(hosts)
        ]
        nodes = {"generation": 1, "reset": True, "instances": self.entries}
        config = {
            "name": "n", "listen": "127.0.0.1:0", "seed": "1", "channel": "127.0.0.1:9",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1_024},
            "known": {"cursor": 1, "cmds": [{"cursor": 1, "nodes": nodes}]},
            "settings": {**SETTINGS, "peers-total": 20, "position": 0},
        }  # fmt: skip
        path = folder / f"node-{hosts}-{standing}.json"
        path.write_text(json.dumps(config))
        self.loop = leaping_loop()
        self.clock = self.loop.clock
        self.process = PlatformProcess(
            load_process_config(str(path)), self.loop, lambda text: None, str(path)
        )
        self.place, self.client = self.process.client_connections.listen(("127.0.0.1", 0)), None
        self.last = self.asked = 0
        self.run(300.0)
        for i in range(standing):
            self.ask(f"cores:0.1;memory:0.1;service:s;at:h{i}")
        self.run(1_000.0)

    def run(self, ms):
        end = self.clock.at + ms
        self.loop.call_in(ms, lambda: None)
        while self.clock.at < end:
            self.loop.run_once()

    def ask(self, extras="cores:0.1;memory:0.1;service:s"):
        """A request comes, is placed, and a connection for it is begun."""
        self.client = self.client or socket.create_connection(self.place)
        self.asked += 1
        self.client.send(setup(self.asked, extras=extras))
        for _ in range(20):
            self.loop.run_once()
            if self.process.exchange.call_count == self.asked:
                return
        raise AssertionError("it was not taken")

    def tell(self, *entries, whole=False):
        """An event of the list, as it comes by the channel."""
        self.last += 1
        nodes = {"generation": 1, "reset": whole, "instances": list(entries)}
        line = json.dumps({"cursor": 1 + self.last, "nodes": nodes}).encode() + b"\n"
        for news in self.process.channel.feed(line, self.clock.at):
            self.process.apply_list_change(news)

    def changed(self, i, **more):
        return {**self.entries[i], "free": [8.0 + i % 4, 16.0], **more}

    def close(self):
        for host in list(self.process.connection_pool.hosts_by_name.values()):
            for link in list(host.connections):
                link.abort("the end")
        self.process.client_connections.stop_listening()
        if self.client is not None:
            self.client.close()
        self.sock.close()


@pytest.fixture(autouse=True)
def unchecked(monkeypatch):
    """Indexes that are checked against all there is, as in the other tests, cost all there is."""
    for name, module in list(sys.modules.items()):
        for found in vars(module).values() if name.startswith("glencleat.index") else ():
            if isinstance(found, type) and "is_self_checking" in vars(found):
                monkeypatch.setattr(found, "is_self_checking", False)


@pytest.fixture
def ratio(tmp_path):
    """Work at four times the hosts over that at once the hosts; `least`: what a count is at least, or the
    measurement measured nothing."""

    def measure(act, standing=0, least=1):
        counts = []
        for hosts in (SMALL, LARGE):
            node = Node(tmp_path, hosts, standing)
            act(node)  # once unmeasured: what is made at first use is not the shape
            with Work() as work:
                act(node)
            counts.append(work.count)
            node.close()
        assert counts[0] >= least, counts
        print(f"bytecodes at {SMALL} and {LARGE} hosts: {counts}, {counts[1] / counts[0]:.2f}")
        return counts[1] / counts[0]

    return measure


def test_the_whole_list_costs_each_host_once(ratio):
    assert 2.0 < ratio(lambda node: node.tell(*node.entries, whole=True), least=10_000) < LINEAR


def test_a_request_costs_the_same_whatever_the_fleet(ratio):
    assert ratio(lambda node: node.ask(), least=300) < FLAT


def test_counting_counts_bytecodes():
    """Of the program's own files alone, each time they run."""
    with Work() as none:
        sum(i for i in range(1_000))
    with Work() as some:
        m.encode(m.PROBE, 1)
    with Work() as twice:
        m.encode(m.PROBE, 1)
        m.encode(m.PROBE, 1)
    assert none.count == 0 < some.count and twice.count == 2 * some.count


def test_an_idle_allocator_costs_the_same_whatever_the_fleet(ratio):
    """Ten seconds with nothing to do: sweeps over every host made idle allocators a tenth of a core at 6,300."""
    assert ratio(lambda node: node.run(10_000.0)) < FLAT


def test_a_list_event_of_one_host_costs_the_same_whatever_the_fleet(ratio):
    assert ratio(lambda node: node.tell(node.changed(3)), least=100) < FLAT


def test_a_host_that_drains_and_serves_again_costs_the_same_whatever_the_fleet(ratio):
    def act(node):
        node.tell(node.changed(3, lifecycle="DRAINING"))
        node.tell(node.changed(3))

    assert ratio(act, least=200) < FLAT


def test_hosts_where_nothing_stands_add_nothing_to_looks_at_those_where_tasks_stand(ratio):
    """Five seconds with a task at each of forty hosts."""
    assert ratio(lambda node: node.run(5_000.0), standing=40, least=1_000) < FLAT


def test_a_request_after_a_change_of_the_list_costs_the_same_whatever_the_fleet(ratio):
    def act(node):
        node.tell(node.changed(3, lifecycle="DRAINING"))
        node.ask()
        node.tell(node.changed(3))
        node.ask()

    assert ratio(act, least=500) < FLAT
