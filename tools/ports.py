"""Reserves free ports for scripts that start programs on loopback."""

import socket

# Below the ephemeral range, from which the system takes the ports of outgoing connections.
FIRST_PORT, LAST_PORT, BLOCK_SIZE = 20000, 30000, 50


def reserve_ports():
    """Returns a lock and the free ports of one block; raises RuntimeError if no block is free.

    The lock is a socket bound to the block's first port. Two scripts can't use the same block until the
    socket is closed.
    """
    for base in range(FIRST_PORT, LAST_PORT, BLOCK_SIZE):
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", base))
        except OSError:
            lock.close()
            continue
        ports = [port for port in range(base + 1, base + BLOCK_SIZE) if is_free(port)]
        if len(ports) > BLOCK_SIZE * 3 // 4:
            return lock, ports
        lock.close()
    raise RuntimeError("no free block of ports")


def is_free(port):
    """Returns whether a TCP port can be bound now."""
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
