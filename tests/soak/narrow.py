"""
Narrow ways back
================

Entries whose connections take few bytes at a time, as on links with small
windows: what a caller doesn't read stays in the process.
"""

import socket
from typing import Any

from hypercorn.config import Config, Sockets

from trestledock.platform import run

#: What the system keeps of an answer that isn't read, in bytes.
SEND_BUFFER_BYTES = 4096


def narrow() -> None:
    """Let connections of callers inherit a small buffer."""
    create_sockets = Config.create_sockets

    def create_narrow(config: Any) -> Sockets:
        found = create_sockets(config)
        for sock in found.insecure_sockets:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
        return found

    Config.create_sockets = create_narrow


if __name__ == '__main__':
    narrow()
    run()
