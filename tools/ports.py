"""Free ports for scripts that start programs on loopback."""

import socket

FIRST, LAST, BLOCK = 20000, 30000, 50  # below the ephemeral range of outgoing connections


def reserve_ports():
    """Returns a lock and the free ports of one block.

    The lock holds the block's first port until it is closed, so that two scripts never share a block.
    """
    for base in range(FIRST, LAST, BLOCK):
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", base))
        except OSError:
            lock.close()
            continue
        ports = [port for port in range(base + 1, base + BLOCK) if is_free(port)]
        if len(ports) > BLOCK * 3 // 4:
            return lock, ports
        lock.close()
    raise RuntimeError("no free block of ports")


def is_free(port):
    """Tells whether a TCP port can be bound now."""
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
