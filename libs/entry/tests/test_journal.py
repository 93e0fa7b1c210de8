"""Recorded requests whose entry is gone."""

from lycheeloom.entry.journal import select_member

MEMBERS = ["e0-a", "e1-b", "e2-c"]


def test_one_member_takes_a_request_over():
    """Guards against requests that nobody takes over when their entry is lost."""
    chosen = {f"r{n}": select_member(f"r{n}", MEMBERS) for n in range(60)}
    assert set(chosen.values()) == set(MEMBERS)
    for request_id, member in chosen.items():
        assert select_member(request_id, MEMBERS[::-1]) == member
        rest = [other for other in MEMBERS if other != "e0-a"]
        if member != "e0-a":
            assert select_member(request_id, rest) == member
    assert select_member("r1", []) == ""
