"""A REST server with scripted responses, for the tests of its client."""

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from glencleat.cli.rest_client import RestClient


class ScriptedServer:
    """Sends the next of `responses` (status, headers and body) for each request."""

    def __init__(self):
        self.responses = []
        self.requests = []  # method and target of each
        server = self

        class Handler(BaseHTTPRequestHandler):
            def respond(self):
                self.rfile.read(int(self.headers.get("content-length", 0)))
                server.requests.append((self.command, self.path))
                status, headers, body = server.responses.pop(0)
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name, value)
                self.send_header("content-length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_GET = respond  # noqa: N815 - http.server calls these names
            do_POST = respond  # noqa: N815
            do_DELETE = respond  # noqa: N815

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
