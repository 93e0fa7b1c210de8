"""Tests of the ports that are given to programs under test."""

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from lycheeloom.standins.ports import (
    BLOCK_SIZE,
    HOST,
    PortAllocator,
    free_address,
    is_free,
)

EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")

# Prints a number of addresses, and ends when its input is closed.
PRINT_ADDRESSES = """
import sys
from lycheeloom.standins import free_address
print(" ".join(free_address() for _ in range(int(sys.argv[1]))), flush=True)
sys.stdin.read()
"""


@pytest.fixture
def used_ports():
    """The ports that count as used, beside which the machine's do not matter."""
    return set()


@pytest.fixture
def allocator(used_ports):
    allocator = PortAllocator(lambda port: port not in used_ports)
    yield allocator
    allocator.close()


def test_processes_are_given_different_addresses():
    """Guards against a program that cannot listen, as another one took its port.

    Both processes ask before any program listens, as parallel tests do.
    """
    count = 1_000
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", PRINT_ADDRESSES, str(count)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(4)
    ]
    given = [set(process.stdout.readline().split()) for process in processes]
    for process in processes:
        process.communicate()
        assert process.returncode == 0
    assert all(given)
    assert len(set.union(*given)) == sum(len(addresses) for addresses in given)


def test_address_is_not_one_for_outgoing_connections():
    """Guards against an outgoing connection that takes the port of a program."""
    first_ephemeral = int(EPHEMERAL_RANGE.read_text().split()[0])
    port = int(free_address().rpartition(":")[2])
    assert port < first_ephemeral


def test_port_is_given_once(allocator, used_ports):
    """Guards against a port for two programs of one test, of which none listens yet."""
    first = allocator.allocate()
    used_ports |= set(range(first + 1, first + BLOCK_SIZE - 2))
    further = {allocator.allocate() for _ in range(2 * BLOCK_SIZE)}
    assert len(further) == 2 * BLOCK_SIZE
    assert first not in further


def test_used_port_is_left_out(allocator, used_ports):
    first = allocator.allocate()
    used_ports.add(first + 1)
    assert allocator.allocate() == first + 2


def test_port_that_a_program_listens_on_is_not_free():
    port = int(free_address().rpartition(":")[2])
    assert is_free(port)
    with socket.create_server((HOST, port)):
        assert not is_free(port)


def test_closed_allocator_leaves_its_block_to_others(allocator):
    first_port = allocator.allocate() - 1
    assert not is_free(first_port)
    allocator.close()
    assert is_free(first_port)
