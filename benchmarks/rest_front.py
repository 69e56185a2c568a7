"""The REST front under load: what watchers cost placements, and what a crowd of creations costs goodput.

    python -m benchmarks.rest_front watch [seconds]
    python -m benchmarks.rest_front overload [seconds]

One allocator, 24 stand-in hosts in three processes of their own, and load from processes of their own, all on
loopback. Each measurement alternates its cases within one run, so that figures compare."""

import json
import os
import selectors
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random

import numpy as np

from benchmarks.common import cpu_s, table

EXAMPLES = Path(__file__).parent.parent / "examples"
HOSTS, PARTS = 24, 3
LOG = Path(tempfile.gettempdir(), "glencleat-bench.log").open("w")  # of the allocator, to see why it ended
SCRIPT = """
campus campus.conf
play seed 5
allocators count 1
hosts count 24 halls hall-a,hall-b,hall-c report 1s heartbeat 2s decide 1ms start 2ms
directory late 1s every 1s
want pull-front share 100% cores 0.5,1,2 memory 512MB,1GB,2GB life-from 1s life-to 2s services 40
"""
LIMITS = "rest requests 100000 tenant-rate 100000 tenant-burst 100000 waiting-each 100000 waiting 100000 jobs 100000 watches-each 5000 jobs-kept 3s\n"


# ---- roles, each a process of its own ----


def hosts(folder: str, part: str, agents: str) -> None:
    from glencleat.checker.trace import TraceRecorder
    from glencleat.emulators import standalone
    from glencleat.emulators.script import load_script, load_shared_config
    from glencleat.event_loop import Loop

    class Forgetful(TraceRecorder):
        def add(self, kind, **fields):
            return None

    loop, script = Loop(), load_script(Path(folder) / "day.conf")
    made = standalone.make_hosts(
        loop, Forgetful(loop.now), script, load_shared_config(Path(folder) / "campus.conf"), Random(5)
    )
    host, _, port = agents.rpartition(":")
    for each in made[int(part) :: PARTS]:
        each.allocator_addresses = {"a0": (host, int(port))}
        each.start(cold=False)
    loop.run()


class Client:
    """One keep-alive connection."""

    def __init__(self, address):
        self.sock = socket.create_connection(address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.data, self.begun = b"", None

    def send(self, data):
        self.begun, self.data = time.monotonic(), b""
        self.sock.sendall(data)

    def read(self):
        """Status once the response is whole, None before; 0 where the connection ended."""
        try:
            more = self.sock.recv(1 << 16)
        except OSError:
            more = b""
        if not more:
            return 0
        self.data += more
        head, found, body = self.data.partition(b"\r\n\r\n")
        if not found:
            return None
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        return int(head[9:12]) if len(body) >= length else None


def watchers(address: str, count: str, kind: str, version: str) -> None:
    """Opens watches and counts lines until stdin ends; prints how many lines and bytes came."""
    host, _, port = address.rpartition(":")
    poll, lines, size = selectors.DefaultSelector(), 0, 0
    for i in range(int(count)):
        sock = socket.create_connection((host, int(port)))
        query = "watch=1" + (
            f"&labelSelector=.service%3Dpull-front-{i % 40},.state%3DTASK_RUNNING" if kind == "some" else ""
        )
        sock.sendall(f"GET /v1/tasks?{query}&resourceVersion={version} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
        sock.setblocking(False)
        poll.register(sock, selectors.EVENT_READ)
    poll.register(sys.stdin.fileno(), selectors.EVENT_READ)
    print("ready", flush=True)
    while True:
        for key, _ in poll.select():
            if key.fileobj == sys.stdin.fileno():
                print(json.dumps({"lines": lines, "bytes": size}), flush=True)
                return
            data = key.fileobj.recv(1 << 18)
            if not data:
                poll.unregister(key.fileobj)
            lines, size = lines + data.count(b'"type":'), size + len(data)


def offer(address: str, rate: str, seconds: str, connections: str, tag: str) -> None:
    """Creates jobs of one task at a rate, each retried never; prints statuses and the time of refusals."""
    host, _, port = address.rpartition(":")
    random, told, times = Random(7), {}, {}
    clients = [Client((host, int(port))) for _ in range(int(connections))]
    poll = selectors.DefaultSelector()
    for client in clients:
        poll.register(client.sock, selectors.EVENT_READ, client)
    idle, began, made, skipped = list(clients), time.monotonic(), 0, 0
    while time.monotonic() - began < float(seconds):
        due = int((time.monotonic() - began) * float(rate))
        while made + skipped < due:
            if not idle:
                skipped += 1  # all connections are busy or paused: the front does not read more
                continue
            made += 1
            spec = {"class": "pull-front", "service": f"pull-front-{made % 40}", "cores": 0.25, "memory": 64}
            spec |= {"lifeMs": 100 + random.randrange(100), "waitMs": 4_000}
            body = json.dumps({"name": f"{tag}-{made}", "spec": spec}).encode()
            head = f"POST /v1/tenants/{tag}/jobs HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n"
            idle.pop().send(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)
        for key, _ in poll.select(0.001):
            status = key.data.read()
            if status is not None and (status == 0 or b"connection: close" in key.data.data):
                poll.unregister(key.fileobj)
                key.fileobj.close()
                key.data.__init__((host, int(port)))
                poll.register(key.data.sock, selectors.EVENT_READ, key.data)
                idle.append(key.data)
            if status:
                told[status] = told.get(status, 0) + 1
                times.setdefault(status, []).append(
                    1e3 * (time.monotonic() - (key.data.begun or time.monotonic()))
                )
                if key.data not in idle:
                    idle.append(key.data)
    p50 = {status: round(float(np.percentile(found, 50)), 2) for status, found in times.items()}
    print(json.dumps({"offered": made + skipped, "sent": made, "told": told, "p50": p50}))


# ---- the rig ----


def child(*words: str, **more) -> subprocess.Popen:
    return subprocess.Popen([sys.executable, "-m", "benchmarks.rest_front", *words], text=True, **more)


class Rig:
    def __init__(self, folder: Path) -> None:
        (folder / "day.conf").write_text(SCRIPT)
        short = (EXAMPLES / "campus-short.conf").read_text()
        (folder / "campus.conf").write_text(short.replace("heartbeat every 500ms", "heartbeat every 5s"))
        self.children = [self._spawn("standin", "directory", str(folder / "day.conf"), "a0=127.0.0.1:0")]
        directory = json.loads(self.children[0].stdout.readline())["a0"]
        conf = folder / "a0.conf"
        conf.write_text(
            f"allocator a0 number 0 of 1 zone hall-a\ndirectory {directory}\ninclude campus.conf\n{LIMITS}"
            + "".join(f"listen {name} 127.0.0.1:0\n" for name in ("owners", "agents", "metrics", "rest"))
        )
        self.allocator = self._spawn("serve", str(conf), "--ready", "-")
        self.children.append(self.allocator)
        self.bound = json.loads(self.allocator.stdout.readline())
        self.children += [child("hosts", str(folder), str(i), self.bound["agents"]) for i in range(PARTS)]
        host, _, port = self.bound["rest"].rpartition(":")
        self.address = host, int(port)
        while (
            self.get("/v1/machines?labelSelector=.agent%3Dsubscribed,.phase%3Dserving&limit=99").count(
                b'"name"'
            )
            < HOSTS
        ):
            time.sleep(0.2)
        time.sleep(6.5)  # the cold time after the start

    @staticmethod
    def _spawn(*words: str) -> subprocess.Popen:
        told = [sys.executable, "-m", "glencleat", *words]
        return subprocess.Popen(told, text=True, stdout=subprocess.PIPE, stderr=LOG)

    def get(self, target: str) -> bytes:
        client = Client(self.address)
        client.send(f"GET {target} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
        while client.read() is None:
            pass
        return client.data

    def version(self) -> str:
        return json.loads(self.get("/v1/jobs?limit=1").split(b"\r\n\r\n")[1])["resourceVersion"]

    def metric(self, name: str) -> float:
        import urllib.request

        text = urllib.request.urlopen(f"http://{self.bound['metrics']}/metrics", timeout=10).read().decode()
        return sum(float(line.split()[1]) for line in text.splitlines() if line.startswith(name))

    def cpu(self) -> float:
        return cpu_s(self.allocator.pid)

    def close(self) -> None:
        for process in self.children:
            process.kill()
            process.wait()


def places(rig: Rig, rate: float, seconds: float, tag: str) -> list[float]:
    """Milliseconds from ACCEPT to the update that says placed, of tasks of ten Scheduler API owners."""
    from glencleat.checker.trace import TraceRecorder
    from glencleat.emulators.owners import EmulatedOwner, OwnerJob, TaskTemplate
    from glencleat.event_loop import Loop

    loop = Loop()
    recorder, random = TraceRecorder(loop.now), Random(3)
    host, _, port = rig.bound["owners"].rpartition(":")
    made = [
        EmulatedOwner(loop, recorder, f"{tag}-{i}", "firm", "a0", (host, int(port)), i) for i in range(10)
    ]
    want = TaskTemplate("pull-front", "safe", 8_000.0, ((0.5, 128.0),), (500.0, 1_000.0))

    def asking():
        while any(owner.offer_id is None for owner in made):
            yield from loop.sleep(20.0)
        begun, number = loop.now(), 0
        while loop.now() < begun + 1_000.0 * seconds:
            due = begun + 1_000.0 * number / rate
            yield from loop.sleep(max(0.0, due - loop.now()))
            number += 1
            service, life = f"pull-front-{number % 40}", random.uniform(500.0, 1_000.0)
            made[number % 10].request_task(OwnerJob(f"t{number}", want, service, 0.5, 128.0, life))
        yield from loop.sleep(1_500.0)

    loop.run_until(loop.spawn(asking(), "asking"))
    for owner in made:
        owner.close()
    asked, found = {}, {}
    for entry in recorder.entries:
        if entry.kind == "asked":
            asked.setdefault(entry.task, entry.at)
        elif entry.kind == "answer" and entry.state in ("TASK_STARTING", "TASK_RUNNING"):
            found.setdefault(entry.task, entry.at - asked[entry.task])
    return list(found.values())


def watch_cost(seconds: float) -> None:
    """Placements with no watchers, with 1,000 that watch a service each, and with 1,000 that watch all."""
    rate, count, rounds = 120.0, 1_000, 2
    cases = {"none": (0, ""), "1,000, a service each": (count, "some"), "1,000, all tasks": (count, "all")}
    times = {name: [] for name in cases}
    lines, spans, cpu = dict.fromkeys(cases, 0), dict.fromkeys(cases, 0.0), dict.fromkeys(cases, 0.0)
    with tempfile.TemporaryDirectory() as made:
        rig = Rig(Path(made))
        try:
            places(rig, rate, 5.0, "warm")
            for turn in range(rounds):
                for number, (name, (some, kind)) in enumerate(cases.items()):
                    crowd = None
                    if some:
                        pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
                        crowd = child("watchers", rig.bound["rest"], str(some), kind, rig.version(), **pipes)
                        crowd.stdout.readline()
                        time.sleep(2.0)
                    before, began = rig.cpu(), time.monotonic()
                    times[name] += places(rig, rate, seconds, f"t{turn}{number}")
                    cpu[name] += rig.cpu() - before
                    spans[name] += time.monotonic() - began
                    if crowd is not None:
                        told, _ = crowd.communicate("\n")
                        lines[name] += json.loads(told)["lines"]
                        time.sleep(4.0)  # the front has a thousand connections to close
        finally:
            rig.close()
    rows = []
    base = np.percentile(times["none"], [50, 99])
    for name, found in times.items():
        p50, p99 = np.percentile(found, [50, 99])
        rows.append([
            name, str(len(found)), f"{p50:.1f}", f"{p99:.1f}", f"{p50 / base[0]:.2f}", f"{p99 / base[1]:.2f}",
            f"{lines[name] / spans[name]:,.0f}", f"{cpu[name] / spans[name]:.2f}",
        ])  # fmt: skip
    head = [
        "watchers",
        "tasks placed",
        "p50, ms",
        "p99, ms",
        "p50 / none",
        "p99 / none",
        "lines/s to all",
        "CPU of one core",
    ]
    size = f"{rate:g} tasks a second of ten Scheduler API owners for {rounds} turns of {seconds:g} s each, {HOSTS} hosts, seed 5"
    notes = "Milliseconds from ACCEPT to the update that says placed. The cases alternate within one run."
    table("rest-watch", "What watchers cost placements", size, head, rows, notes)


def overload(seconds: float) -> None:
    """Goodput when more is offered than can be taken."""
    rows = []
    with tempfile.TemporaryDirectory() as made:
        rig = Rig(Path(made))
        try:
            best = 0.0
            for rate in (200, 400, 500, 600, 1_000, 2_250):
                before = (
                    rig.metric('glencleat_tasks_answered_total{answer="served"'),
                    rig.cpu(),
                    time.monotonic(),
                )
                crowd = [
                    child(
                        "offer",
                        rig.bound["rest"],
                        str(rate / 2),
                        str(seconds),
                        "100",
                        f"r{rate}-{i}",
                        stdout=subprocess.PIPE,
                    )
                    for i in range(2)
                ]
                told = [json.loads(each.communicate()[0]) for each in crowd]
                span = time.monotonic() - before[2]
                served = rig.metric('glencleat_tasks_answered_total{answer="served"') - before[0]
                cpu = rig.cpu() - before[1]
                counts = {}
                for each in told:
                    for status, number in each["told"].items():
                        counts[status] = counts.get(status, 0) + number
                good = served / span
                best = max(best, good)
                refused = counts.get("503", 0) + counts.get("429", 0)
                p50 = [each["p50"].get("503") or each["p50"].get("429") for each in told]
                rows.append([
                    f"{sum(each['offered'] for each in told) / seconds:.0f}", f"{counts.get('201', 0) / span:.0f}", f"{refused / span:.0f}",
                    f"{good:.0f}", f"{good / best:.2f}", "/".join(str(x) for x in p50 if x) or "-", f"{cpu / span:.2f}",
                ])  # fmt: skip
                time.sleep(5.0)
        finally:
            rig.close()
    head = [
        "offered/s",
        "created/s",
        "turned away/s",
        "placed/s",
        "placed / best so far",
        "p50 of a refusal, ms",
        "CPU of one core",
    ]
    size = f"Jobs of one task, lives of 100 to 200 ms, {seconds:g} s a rate, 200 connections, {HOSTS} hosts, seed 7"
    notes = "What 200 busy connections could not send counts as offered; the front reads those that ignore refusals less often."
    table("rest-overload", "Creations beyond what can be taken", size, head, rows, notes)


def main() -> None:
    role, *words = sys.argv[1:]
    if role in ("hosts", "watchers", "offer"):
        globals()[role](*words)
    elif role == "watch":
        watch_cost(float(words[0]) if words else 10.0)
    else:
        overload(float(words[0]) if words else 8.0)


if __name__ == "__main__":
    sys.stdout.reconfigure(line_buffering=True)
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    main()
