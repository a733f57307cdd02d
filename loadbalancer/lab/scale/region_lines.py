"""What is known of regions that were cut off from each other, for the line of the target on them."""

from __future__ import annotations

from loadbalancer.lab.scale.capacity import TARGET, Book
from loadbalancer.lab.scale.verdicts import seen_in_virtual_time

HOUR_S = 3_600
CUT_OFF_S = (HOUR_S, 400, 70)  # seconds for which regions were cut off in plays
MEMBERSHIP_ALONE = (
    "the membership alone, in virtual time (`docs/membership.md`): 133 of 400 members cut off for"
    " 3,600 s,"
    " all agree after 13.0 s, no false death, worst second of one member 35.8 KB sent; beyond 400 members"
    " not played after an hour. Members are forgotten after 300 s, records dropped after 60 s"
)


def scene_of(seconds: int, suffix: str) -> str:
    """The file of slopes of a play with regions cut off for so many seconds."""
    return f"world-region{seconds}{suffix}"


def regions_apart(book: Book, suffix: str) -> str:
    """The membership's plays by hand, the rest from files.

    Args:
        book: The slopes.
        suffix: Of the files' names: "" while the fleet is flat, "-cells" in cells.
    """
    text = MEMBERSHIP_ALONE
    for seconds in CUT_OFF_S:
        scene = scene_of(seconds, suffix)
        if scene not in book.slopes:
            continue
        if book.largest(scene, "words_agree_s")[0]:
            text += (
                f". With records, after {seconds} s: all agree after"
                f" {seen_in_virtual_time(book, (scene,), 'members_agree_s', 's')},"
                f" words after {seen_in_virtual_time(book, (scene,), 'words_agree_s', 's')},"
                f" false deaths {seen_in_virtual_time(book, (scene,), 'false_deaths')}"
            )
        else:
            largest, _ = book.largest(scene, "unfinished")
            commit = book.slopes[scene].commit
            text += f". With records, after {seconds} s: no agreement at {largest:,}"
            text += f" (virtual time, `{commit}`)"
    return text


def regions_apart_verdict(book: Book, suffix: str) -> str:
    """The membership's by hand, as its plays are of no file; with records only what agreed completely."""
    membership = "membership: carried (measured in virtual time at 400); "
    largest_by_seconds = _largest_that_agreed(book, suffix)
    if not largest_by_seconds:
        return membership + "at 2,800, and with records: unknown"
    records = ", ".join(
        f"after {'an hour' if seconds == HOUR_S else f'{seconds} s'} carried"
        f" (measured in virtual time at {largest:,})"
        for seconds, largest in largest_by_seconds.items()
    )
    unknown = []
    if TARGET not in largest_by_seconds.values():
        unknown.append("at 2,800")
    if HOUR_S not in largest_by_seconds:
        unknown.append("after an hour")
    rest = f", {' and '.join(unknown)} unknown" if unknown else ""
    return f"{membership}with records: {records}{rest}"


def _largest_that_agreed(book: Book, suffix: str) -> dict[int, int]:
    """By seconds cut off the largest fleet with records that agreed completely and without a false death."""
    found = {}
    for seconds in CUT_OFF_S[:2]:
        scene = scene_of(seconds, suffix)
        largest, _ = book.largest(scene, "unfinished")
        has_failures = any(
            any(book.values(scene, figure, largest))
            for figure in ("unfinished", "false_deaths")
        )
        if (
            largest
            and not has_failures
            and book.values(scene, "words_agree_s", largest)
        ):
            found[seconds] = largest
    return found
