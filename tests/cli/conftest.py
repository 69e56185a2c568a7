"""A REST server that answers from a script, for the tests of its client."""

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from glencleat.cli.rest_client import RestClient


class ScriptedServer:
    """Answers request after request with the next of `answers`: status, headers and body."""

    def __init__(self):
        self.answers = []
        self.requests = []  # method and target of each
        scripted = self

        class Handler(BaseHTTPRequestHandler):
            def answer(self):
                self.rfile.read(int(self.headers.get("content-length", 0)))
                scripted.requests.append((self.command, self.path))
                status, headers, body = scripted.answers.pop(0)
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name, value)
                self.send_header("content-length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_GET = answer  # noqa: N815 - the names that http.server calls
            do_POST = answer  # noqa: N815
            do_DELETE = answer  # noqa: N815

            def log_message(self, *_args):
                """Print nothing."""

        self.http_server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.thread = threading.Thread(target=self.http_server.serve_forever, args=(0.01,))

    @property
    def address(self):
        return self.http_server.server_address

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_exc):
        self.http_server.shutdown()
        self.thread.join()
        self.http_server.server_close()


@pytest.fixture
def scripted_server():
    with ScriptedServer() as server:
        yield server


@pytest.fixture
def client(scripted_server):
    host, port = scripted_server.address
    return RestClient(host=host, port=port)
