"""
Entry with small send buffers
=============================

Starts an entry whose sockets to callers have small send buffers, as on links
with small TCP windows: what a caller doesn't read stays in the process.
"""

import socket
from typing import Any

from hypercorn.config import Config, Sockets

from trestledock.platform import run

#: Bytes of an unread answer that the kernel buffers.
SEND_BUFFER_BYTES = 4096


def use_small_send_buffers() -> None:
    """Make connections of callers inherit a small send buffer."""
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
