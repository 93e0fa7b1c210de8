"""Tests of the accounting of clients, without a network."""

from __future__ import annotations

import random

import pytest

from lycheeloom.entry.client_limits import (
    SERVED_ADVANTAGE_S,
    ClientAccounts,
    ClientLimits,
    ClientLimitSettings,
    derive_limits,
)

SMALL = ClientLimits(connections=3, pending_bytes=1_000)


def test_connection_without_a_request_goes_first():
    """A caller between two calls must not go before a client that sends nothing."""
    accounts = ClientAccounts(SMALL)
    caller = accounts.open(0.0)
    idle = [accounts.open(1.0), accounts.open(2.0)]
    assert accounts.hand_over(caller, 3.0)
    accounts.answered(caller)
    assert accounts.find_excess_connection(idle[1]) is None
    newest = accounts.open(30.0)
    assert accounts.find_excess_connection(newest) == idle[0]


def test_newcomers_get_in_beside_clients_that_sent_one_request():
    """Clients must not keep all others out for good by one request each."""
    accounts = ClientAccounts(SMALL)
    served = [accounts.open(0.0) for _ in range(3)]
    for number in served:
        accounts.hand_over(number, 0.0)
        accounts.answered(number)
    first = accounts.open(1.0 + SERVED_ADVANTAGE_S)
    assert accounts.find_excess_connection(first) == served[0]
    accounts.close(served[0])
    second = accounts.open(2.0 + SERVED_ADVANTAGE_S)
    assert accounts.find_excess_connection(second) == served[1]


def test_request_in_progress_is_never_dropped():
    """A request that the application has must not be dropped, however many there are.

    The newcomer goes instead.
    """
    accounts = ClientAccounts(SMALL)
    for _ in range(3):
        number = accounts.open(0.0)
        accounts.receive(number, 400)
        assert accounts.hand_over(number, 0.0)
    newest = accounts.open(1.0)
    assert accounts.find_excess_connection(newest) == newest
    assert accounts.find_excess_bytes() is None
    accounts.receive(newest, 1)
    assert accounts.find_excess_bytes() == newest


def test_only_connections_with_bytes_go_for_bytes():
    """Dropping an idle connection frees no bytes."""
    accounts = ClientAccounts(SMALL)
    accounts.open(0.0)
    first, second = accounts.open(1.0), accounts.open(2.0)
    accounts.receive(second, 600)
    accounts.receive(first, 600)
    assert accounts.find_excess_bytes() == first
    accounts.close(first)
    assert accounts.find_excess_bytes() is None


def test_dropped_request_is_not_handed_over():
    """A request whose connection was dropped must not run: 503 was promised."""
    accounts = ClientAccounts(SMALL)
    number = accounts.open(0.0)
    accounts.close(number)
    assert not accounts.hand_over(number, 1.0)


def test_counts_are_right_after_many_steps():
    """Guards against counts that drift, which would refuse all or none in the end."""
    rng = random.Random(5)
    accounts = ClientAccounts(ClientLimits(connections=40, pending_bytes=5_000))
    bytes_by_number: dict[int, int] = {}
    in_progress: set[int] = set()
    for step in range(5_000):
        now_s = step / 10
        if rng.random() < 0.3 or not bytes_by_number:
            number = accounts.open(now_s)
            bytes_by_number[number] = 0
            excess = accounts.find_excess_connection(number)
        else:
            number = rng.choice(list(bytes_by_number))
            if number in in_progress:
                accounts.answered(number)
                in_progress.discard(number)
                bytes_by_number[number] = 0
            elif rng.random() < 0.3:
                assert accounts.hand_over(number, now_s)
                in_progress.add(number)
            else:
                bytes_by_number[number] += rng.randrange(400)
                accounts.receive(number, bytes_by_number[number])
            excess = accounts.find_excess_bytes()
        if excess is not None:
            assert excess not in in_progress
            accounts.close(excess)
            del bytes_by_number[excess]
        assert accounts.pending_bytes == sum(bytes_by_number.values())
        assert len(accounts) == len(bytes_by_number) <= 40


def test_limits_follow_from_the_instance():
    """The small instance must keep room for its files, and its memory for itself."""
    limits = derive_limits(200, 4_100)
    assert (limits.connections, limits.pending_bytes) == (1_950, 20_000_000)
    assert derive_limits(100, 4_100).connections == 1_000
    assert derive_limits(1, 100).connections == 1


def test_limits_that_refuse_a_single_request_are_reported():
    """Bounds below one request of the allowed size would refuse it always."""
    settings = ClientLimitSettings(pending_bytes=100_000)
    with pytest.raises(ValueError, match="at least twice"):
        settings.apply_to(ClientLimits())
    settings = ClientLimitSettings(pending_bytes=200_000, body_bytes=50_000)
    assert settings.apply_to(ClientLimits()).body_bytes == 50_000


def test_request_on_a_connection_that_was_idle_is_not_dropped_first():
    """Guards against callers that are refused since they kept their connection open.

    Two clients that came after the last call of the caller hold most of the bytes.
    """
    accounts = ClientAccounts(ClientLimits(pending_bytes=1_000))
    caller = accounts.open(0.0)
    assert accounts.hand_over(caller, 0.0)
    accounts.answered(caller)
    holders = [accounts.open(now_s) for now_s in (100.0, 101.0)]
    for now_s, holder in enumerate(holders, 102):
        accounts.receive(holder, 490, float(now_s))
    accounts.receive(caller, 100, 104.0)
    assert accounts.find_excess_bytes() == holders[0]
    accounts.close(holders[0])
    assert accounts.find_excess_bytes() is None
    # Further bytes of the same request do not make it younger.
    accounts.receive(holders[1], 700, 200.0)
    accounts.receive(caller, 400, 201.0)
    assert accounts.find_excess_bytes() == holders[1]
