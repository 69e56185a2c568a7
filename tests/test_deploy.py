"""The platform's requirements on `build` and `run`: one process that does nothing its filter rejects.

These tests run without the platform's kit.
"""

import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tests.platform_server.test_process import Platform
from tests.support.exchange_world import setup

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
PT_INTERP = 3
# An audit hook: the interpreter reports these events for any code that causes them.
HOOK = """
import json, os, sys
out = os.open(os.environ["AUDIT"], os.O_WRONLY | os.O_APPEND | os.O_CREAT)
WANTED = ("socket.__new__", "os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.system",
          "subprocess.Popen", "pty.spawn", "socket.bind", "socket.connect")
def record_event(event, args):
    if event in WANTED:
        plain = [x if isinstance(x, (str, int, tuple, list)) else str(type(x)) for x in args]
        os.write(out, (json.dumps([event, plain], default=str) + "\\n").encode())
sys.addaudithook(record_event)
"""


def test_run_command_replaces_the_shell_by_exec():
    assert re.fullmatch(r"exec \.venv/bin/python -m glencleat node", DEPLOY["run"])
    assert "glencleat" in DEPLOY["build"] and not re.search(r"https?://|curl|wget|git ", DEPLOY["build"])


def test_files_named_in_the_deployment_exist():
    for name in DEPLOY["node"] + DEPLOY["policy"]:
        assert (ROOT / name).exists(), name


def test_interpreter_is_linked_dynamically():
    """The bench preloads a small library into the process, which a static executable would not load."""
    data = Path(os.path.realpath(sys.executable)).read_bytes()
    assert data[:4] == b"\x7fELF" and data[4] == 2
    (start,) = struct.unpack_from("<Q", data, 32)
    size, count = struct.unpack_from("<HH", data, 54)
    kinds = [struct.unpack_from("<I", data, start + i * size)[0] for i in range(count)]
    assert PT_INTERP in kinds


@pytest.fixture
def audited_platform(tmp_path, monkeypatch):
    hook = tmp_path / "hook"
    hook.mkdir()
    (hook / "sitecustomize.py").write_text(HOOK)
    monkeypatch.setenv("PYTHONPATH", str(hook))
    monkeypatch.setenv("AUDIT", str(tmp_path / "audit"))
    platform = Platform(tmp_path)
    yield platform, tmp_path / "audit"
    if platform.process.poll() is None:
        platform.process.kill()
    platform.process.wait()
    platform.process.stderr.close()


def test_run_opens_only_tcp_sockets_and_starts_no_program(audited_platform):
    """Over a short run: start, one request, a reload and a graceful shutdown."""
    platform, audit_file = audited_platform
    sock, reader = platform.owner()
    platform.hold.set()
    sock.send(setup(7))
    assert reader.next().task_id == 7
    platform.write(1)
    platform.process.send_signal(signal.SIGHUP)
    assert platform.asked[1].wait(20.0)
    proc = Path(f"/proc/{platform.process.pid}")
    children = (proc / "task" / proc.name / "children").read_text()
    open_files = {os.readlink(fd) for fd in (proc / "fd").iterdir()}
    unix_socket_inodes = {line.split()[6] for line in Path("/proc/net/unix").read_text().splitlines()[1:]}
    platform.process.send_signal(signal.SIGTERM)
    assert platform.process.wait(20.0) == 0 and not children.strip()
    events = [json.loads(line) for line in audit_file.read_text().splitlines()]
    created_sockets = [args for event, args in events if event == "socket.__new__"]
    assert created_sockets and {(args[1], args[2]) for args in created_sockets} <= {
        (socket.AF_INET, socket.SOCK_STREAM),
        (-1, -1),
    }
    assert {event for event, _ in events} <= {"socket.__new__", "socket.bind", "socket.connect"}
    assert sum(event == "socket.bind" for event, _ in events) == 1
    assert (
        not {link[8:-1] for link in open_files if link.startswith("socket:[")}
        & unix_socket_inodes - inherited_socket_inodes()
    )


def inherited_socket_inodes():
    """Inodes of the sockets among the standard streams, which the process that runs the tests may pass on."""
    inodes = set()
    for fd in (0, 1, 2):
        link = os.readlink(f"/proc/self/fd/{fd}")
        if link.startswith("socket:["):
            inodes.add(link[8:-1])
    return inodes


def test_run_imports_no_forbidden_module():
    """No other interface, emulator or tool; nothing that forks, splices or has an event loop of its own."""
    code = "import sys, glencleat.platform_server.process; print('\\n'.join(sys.modules))"
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True
    )
    loaded = set(result.stdout.split())
    forbidden = {"asyncio", "subprocess", "multiprocessing", "concurrent.futures", "ssl", "pydantic",
                 "structlog", "click", "h11", "prometheus_client"}  # fmt: skip
    assert not loaded & forbidden
    own_modules = {name for name in loaded if name.startswith("glencleat.")}
    packages = {name.split(".")[1] for name in own_modules}
    allowed = {
        "platform_server",
        "platform_protocol",
        "event_loop",
        "allocator",
        "interface",
        "policy",
        "platform_settings",
        "descriptor_budget",
        "flow_control",
        "index",
    }
    assert packages <= allowed
    assert {name for name in own_modules if name.startswith("glencleat.allocator.")} <= {
        "glencleat.allocator.contract",
        "glencleat.allocator.event_dispatcher",
    }
