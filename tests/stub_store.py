"""A stub of the platform's log on loopback with prepared responses."""

import socket
import struct

import anyio

from trestledock.platform._epochs import StoreEpochs
from trestledock.platform._log import RECORD_LENGTH, StoreClient


def make_record(key, value):
    """Return a framed record of a keyed topic."""
    body = bytes((len(key),)) + key + value
    return RECORD_LENGTH.pack(len(body)) + body


def make_answer(status, body):
    """Return the bytes of an HTTP response."""
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


class StubStore:
    """Sends one prepared response per request; None resets the connection."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.requests = []

    async def serve(self, stream):
        async with stream:
            while True:
                raw = await stream.receive()
                self.requests.append(raw.partition(b'\r\n')[0].decode())
                answer = self.answers.pop(0)
                if answer is None:
                    reset(stream)
                    return
                await stream.send(answer)


def reset(stream):
    """Make closing a stream send a TCP reset."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))


def run_with_stub(answers, scenario, make=StubStore):
    """Run `scenario(client)` with a client of a stub; return the stub."""
    stub = make(answers)

    async def main():
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(serve_quietly, listener, stub)
            await scenario(StoreClient(f'127.0.0.1:{port}', StoreEpochs()))
            group.cancel_scope.cancel()
        await listener.aclose()

    anyio.run(main)
    return stub


async def serve_quietly(listener, stub):
    async def handle(stream):
        try:
            await stub.serve(stream)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return

    await listener.serve(handle)
