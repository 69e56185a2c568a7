"""Idle owners' sessions with heartbeats: CPU and memory of one allocator.

python -m benchmarks.sessions [count] [seconds]
"""

import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.common import cpu_s, rss_mb, table
from glencleat.emulators.client import Subscription
from glencleat.event_loop import Loop
from glencleat.mesos import messages as m

CONF = """
allocator a0 number 0 of 1 zone hall-a
listen owners 127.0.0.1:0
listen agents 127.0.0.1:0
directory 127.0.0.1:1
class web effect safe aim 1s deadline 8s
kind std cores 16 memory 32GB
limit connections 20000
log form json level warning
"""


def main() -> None:
    count, seconds = int((sys.argv[1:2] or ["2000"])[0]), float((sys.argv[2:3] or ["30"])[0])
    rows = []
    for beat in ("15s", "5s", "1s"):
        with tempfile.TemporaryDirectory() as made:
            path = Path(made) / "a.conf"
            path.write_text(CONF + f"heartbeat every {beat}\n")
            words = [sys.executable, "-m", "glencleat", "serve", str(path), "--ready", "-"]
            child = subprocess.Popen(words, stdout=subprocess.PIPE, text=True)
            try:
                rows.append([beat, *measure(child, count, seconds)])
            finally:
                child.kill()
                child.wait()
    head = ["heartbeat every", "sessions", "beats read", "CPU, % of a core", "KB a session"]
    table("sessions", "Idle owners' sessions", f"{count} sessions for {seconds:g} s", head, rows)


def measure(child: subprocess.Popen, count: int, seconds: float) -> list[str]:
    host, _, port = json.loads(child.stdout.readline())["owners"].rpartition(":")
    before, loop, subscribed, beats = rss_mb(child.pid), Loop(), [], [0]

    def session(number: int):
        stream = Subscription(loop, (host, int(port)), "/api/v1/scheduler")
        info = m.FrameworkInfo("u", f"f{number}", m.Value(f"f{number}"), failover_timeout=60.0)
        call = m.SchedulerCall("SUBSCRIBE", m.Value(f"f{number}"), m.SubscribeFramework(info))
        yield from stream.open(m.encode(call))
        subscribed.append(stream)
        while True:
            records = yield from stream.read_records()
            if not records:
                raise SystemExit("a session ended")
            beats[0] += sum(b'"HEARTBEAT"' in record for record in records)

    def day():
        for number in range(count):
            loop.spawn(session(number), "session")
            if number % 100 == 99:
                yield from loop.sleep(50.0)
        while len(subscribed) < count:
            yield from loop.sleep(50.0)
        yield from loop.sleep(1_000.0)
        beats[0] = 0
        cpu, began = cpu_s(child.pid), time.monotonic()
        yield from loop.sleep(seconds * 1_000.0)
        return 100.0 * (cpu_s(child.pid) - cpu) / (time.monotonic() - began)

    share = loop.run_until(loop.spawn(day(), "day"))
    size = (rss_mb(child.pid) - before) * 1_000.0 / count
    return [str(count), str(beats[0]), f"{share:.2f}", f"{size:.1f}"]


if __name__ == "__main__":
    main()
