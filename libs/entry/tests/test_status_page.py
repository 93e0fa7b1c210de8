"""The status page shows problems and is one self-contained document."""

from lycheeloom.entry.status_page import render_status_page
from lycheeloom.model.status import (
    MemberStatus,
    OrganisationStatus,
    PoolStatus,
    StatusDocument,
    WaveStatus,
    ZoneStatus,
)

STATUS = StatusDocument(
    name="suantrai",
    config_version=7,
    instance="entry-1",
    incarnation="entry-1:ab",
    zone="north",
    fresh=True,
    log_age_ms=120,
    members=[MemberStatus(incarnation="entry-1:ab", instance="entry-1", zone="north")],
    organisations={
        "<b>loud</b>": OrganisationStatus(running=4, upper_limit=4, share=2)
    },
    zones={"north": ZoneStatus(state="out", workers=10, in_service=0)},
    pools={"lookup": PoolStatus(workers=6, in_service=2, needed=4)},
    waves={
        "spring": WaveStatus(state="paused", total=30, done=12, reason="rack lost"),
        "autumn": WaveStatus(state="running", ends_in_s=600, reason="It waits."),
        "urgent": WaveStatus(state="running"),
    },
)


def test_page_names_each_problem():
    """Guards against an operator missing a zone that is out or a short pool."""
    page = render_status_page(STATUS)
    for text in (
        "Zone north is out of service.",
        "Pool lookup has 2 workers in service and needs 4.",
        "Wave spring is paused. rack lost",
        "at its limit",
        "Configuration version 7",
    ):
        assert text in page


def test_page_shows_the_end_of_waves_and_why_they_wait():
    """Guards against an operator who cannot see how long a wave still takes."""
    page = render_status_page(STATUS)
    assert "0 failed, ends in about 10 min. It waits." in page
    assert "0 failed, end not known." in page
    assert "0 failed. rack lost" in page


def test_names_are_escaped_and_nothing_is_loaded():
    """Guards against markup in names and against scripts from elsewhere."""
    page = render_status_page(STATUS)
    assert "&lt;b&gt;loud&lt;/b&gt;" in page
    for text in ("<script", "src=", "href=", "@import", "url("):
        assert text not in page


def test_page_fits_a_phone():
    """Guards against fixed widths; a phone window is 400 pixels wide."""
    page = render_status_page(STATUS)
    assert 'content="width=device-width' in page
    assert "min-width" not in page


def test_empty_document_renders():
    """Guards against an error on the page of an entry that has not read the log."""
    assert "not fresh" in render_status_page(StatusDocument())
