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


def use_small_send_buffers() -> None:
    """Let connections of callers inherit a small buffer."""
    create_sockets = Config.create_sockets

    def create_small_sockets(config: Any) -> Sockets:
        sockets = create_sockets(config)
        for sock in sockets.insecure_sockets:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
        return sockets

    Config.create_sockets = create_small_sockets


if __name__ == '__main__':
    use_small_send_buffers()
    run()
