"""Guards the choice of ports for processes that bind them later."""

from __future__ import annotations

import socket
from pathlib import Path

from radishtrack_standins.cluster import find_free_ports


def test_a_free_port_is_not_assigned_to_others_before_it_is_bound() -> None:
    """A listener for clients got a node's port, and a fleet never started."""
    low, _ = map(
        int, Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()
    )
    ports = find_free_ports(50)
    assert len(set(ports)) == 50
    assert all(port < low for port in ports)
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", ports[0]))
