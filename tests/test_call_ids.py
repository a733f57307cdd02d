"""Call ids that may not be forwarded again: in one process, and in two that share a folder."""

from dataclasses import replace

import pytest

from loadbalancer.node.requests import call_ids as call_ids_module
from loadbalancer.node.requests.call_ids import BUCKET_ENTRIES, CallIds, digest_of
from loadbalancer.policy.api import DeduplicationScope, Idempotency, RequestClass
from loadbalancer.policy.call_id_rules import REMEMBERED_DEADLINES, call_id_rule

KEYED = RequestClass(
    Idempotency.WITH_KEY,
    latency_objective=500,
    deadline=1_000,
    priority_weight=1.0,
    idempotency_window=3_000,
)
SINGLE_SHOT = replace(KEYED, idempotency=Idempotency.NOT_IDEMPOTENT)
RULE = call_id_rule(SINGLE_SHOT)


class Clock:
    def __init__(self) -> None:
        self.now = 5_000_000

    def __call__(self) -> int:
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def pair(clock, tmp_path):
    """The ids of two processes of a node."""
    both = CallIds(clock), CallIds(clock)
    both[1]._tokens = iter(range(1, 1_000_000))  # as of another process
    for ids in both:
        ids.share(str(tmp_path), "n0-")
    yield both
    for ids in both:
        ids.stop()


def test_a_class_that_may_be_repeated_has_no_rule():
    assert call_id_rule(replace(KEYED, idempotency=Idempotency.IDEMPOTENT)) is None


def test_an_id_that_may_have_run_is_refused_until_it_is_forgotten(clock):
    ids = CallIds(clock)
    assert ids.claim(b"a", RULE) is not None
    assert ids.claim(b"a", RULE) is None
    assert not ids.is_claimed(b"b")
    clock.now += REMEMBERED_DEADLINES * SINGLE_SHOT.deadline
    assert not ids.is_claimed(b"a")


def test_a_keyed_id_may_come_again_within_the_window_of_its_first_attempt(clock):
    ids, rule = CallIds(clock), call_id_rule(KEYED)
    assert ids.claim(b"a", rule) is not None
    clock.now += KEYED.idempotency_window - 1
    assert ids.claim(b"a", rule) is not None
    clock.now += 1
    assert ids.claim(b"a", rule) is None


@pytest.mark.parametrize("scope", [DeduplicationScope.ZONE, DeduplicationScope.CELL])
def test_a_keyed_id_that_some_servers_alone_know_does_not_come_again(clock, scope):
    ids = CallIds(clock)
    rule = call_id_rule(replace(KEYED, deduplication_scope=scope))
    assert ids.claim(b"a", rule) is not None
    assert ids.claim(b"a", rule) is None


def test_an_id_that_has_never_run_is_free_again(pair):
    first, second = pair
    claim = first.claim(b"a", RULE)
    first.release(claim)
    assert second.claim(b"a", RULE) is not None


def test_an_id_that_may_have_run_is_refused_by_the_other_process_of_an_upgrade(pair):
    """Failure prevented: a request runs twice, since it comes again at the other process."""
    first, second = pair
    assert first.claim(b"a", RULE) is not None
    assert second.is_claimed(b"a")
    assert second.claim(b"a", RULE) is None
    first.stop()  # the process that ran it has ended
    assert second.claim(b"a", RULE) is None


def test_of_two_claims_at_the_same_moment_one_at_most_holds(pair, monkeypatch):
    """Failure prevented: two processes look before either has written."""
    first, second = pair
    monkeypatch.setattr(CallIds, "is_claimed", lambda self, call_id: False)
    claims = [first.claim(b"a", RULE), second.claim(b"a", RULE)]
    assert sum(claim is not None for claim in claims) <= 1


def test_a_full_bucket_forgets_what_expires_first(pair, clock, monkeypatch):
    first, second = pair
    monkeypatch.setattr(call_ids_module, "BUCKETS", 1)
    for number in range(BUCKET_ENTRIES + 1):
        clock.now += 1
        assert first.claim(b"%d" % number, RULE) is not None
    assert not second.is_claimed(b"0")
    assert all(second.is_claimed(b"%d" % n) for n in range(1, BUCKET_ENTRIES + 1))


def test_the_number_of_remembered_ids_is_bounded(clock, monkeypatch):
    monkeypatch.setattr(call_ids_module, "MAX_REMEMBERED_IDS", 10)
    ids = CallIds(clock)
    for number in range(100):
        assert ids.claim(b"%d" % number, RULE) is not None
    assert list(ids.claimed) == [digest_of(b"%d" % n) for n in range(90, 100)]


def test_a_folder_that_cannot_be_used_leaves_the_ids_of_this_process(clock, tmp_path):
    ids = CallIds(clock)
    ids.share(str(tmp_path / "missing"), "n0-")
    assert ids.claim(b"a", RULE) is not None
    assert ids.is_claimed(b"a")
