"""The change freeze in an emulated world of virtual time: election, grants, incidents, and the hard cases."""

from __future__ import annotations

from functools import partial

import pytest

from loadbalancer.freeze.actions import Send
from loadbalancer.freeze.changes import Change
from loadbalancer.freeze.client import FreezeClient
from loadbalancer.freeze.client_state import RequestedChange
from loadbalancer.freeze.elector import Elector
from loadbalancer.freeze.elector_record import RECORD_NAME
from loadbalancer.freeze.errors import FreezeRecordError, FreezeScopeError
from loadbalancer.freeze.machine import FreezeNode
from loadbalancer.freeze.messages import (
    INITIAL_VERSION,
    GrantIssued,
    HeartbeatAck,
    IncidentList,
    IncidentNotice,
    RecoveryRequest,
    RecoveryResponse,
    Revocation,
    StateVersion,
    VoteRequest,
    VoteResponse,
)
from loadbalancer.freeze.rules import ElectionRules
from loadbalancer.freeze.scope import parse_scope, scopes_overlap
from loadbalancer.freeze.state import FreezeState
from loadbalancer.lab.freeze import SECOND, World, rules_of

ZONE_A, ZONE_B = "zone=a", "zone=b"


def settled(
    nodes: int = 6, seed: int = 1, electors: int = 3, write: int = 2_000
) -> World:
    """A world that has a coordinator, which has been told to all."""
    world = World(nodes, seed, electors, write=write)
    assert world.run_until(lambda: world.coordinator() is not None, 8 * SECOND)
    world.run(world.now + 2 * SECOND)
    return world


def well(world: World) -> None:
    assert world.violations == []


def leader(world: World) -> str:
    found = world.coordinator()
    assert found is not None
    return found


def others(world: World, *but: str) -> list[str]:
    return [n for n in world.sites if n not in but]


def last(world: World, id: str) -> str:
    """What a request was told last, in words."""
    return world.outcomes[id][-1][1].reason


@pytest.mark.parametrize("seed", range(5))
def test_killed_coordinator_is_replaced_within_two_leases_and_all_state_is_kept(
    seed: int,
) -> None:
    world = settled(seed=seed, electors=5)
    world.request("n5", "up", scope=ZONE_A)
    assert world.run_until(lambda: "go" in world.states("up"), SECOND)
    world.command("n5", "c", "open", "fire", ZONE_B, 1)
    assert world.run_until(lambda: "go" in world.states("c"), SECOND)
    first = leader(world)
    world.kill(first)
    assert world.run_until(lambda: world.coordinator() not in (None, first), 4 * SECOND)
    world.run(world.now + 2 * SECOND)
    world.request("n5", "beside", scope=ZONE_A)
    world.request("n5", "in b", scope=ZONE_B)
    world.run(world.now + SECOND)
    assert "up" in last(world, "beside")
    assert "fire" in last(world, "in b")
    well(world)


def test_coordinator_that_was_paused_for_five_seconds_takes_no_more_decisions() -> None:
    world = settled()
    first = leader(world)
    requester, other = others(world, *world.rules.election.electors)[:2]
    world.pause(first, 5 * SECOND)
    # Messages to it, such as requests of a node that still takes it for the coordinator, wait in its socket.
    for i in range(4):
        world.at(world.now + i * SECOND, partial(world.request, requester, f"late{i}"))
    assert world.run_until(lambda: world.coordinator() not in (None, first), 4 * SECOND)
    world.run(world.now + 1_100_000)
    world.request(other, "new")
    assert world.run_until(
        lambda: "go" in world.states("new") or world.changes != {}, SECOND
    )
    world.run(world.now + 5 * SECOND)
    assert ("coordinator stopped", first) in [
        (what, who) for _, who, what, _, _ in world.log
    ]
    well(world)


@pytest.mark.parametrize("out", [True, False])
def test_coordinator_cut_off_in_one_direction_is_replaced(out: bool) -> None:
    world = settled(electors=5)
    first = leader(world)
    rest = others(world, first)
    world.network.cut |= (
        {(first, n) for n in rest} if out else {(n, first) for n in rest}
    )
    assert world.run_until(lambda: world.coordinator() not in (None, first), 4 * SECOND)
    second = leader(world)
    world.network.cut.clear()
    world.run(world.now + 10 * SECOND)
    assert leader(world) == second  # no elector deposes it when the cut heals
    well(world)


def test_elector_that_receives_nothing_does_not_depose_the_coordinator() -> None:
    world = settled()
    first = leader(world)
    isolated = next(n for n in world.rules.election.electors if n != first)
    world.network.cut |= {(n, isolated) for n in others(world, isolated)}
    world.run(world.now + 20 * SECOND)
    assert leader(world) == first
    assert len(world.elected) == 1


def test_elector_cut_off_only_from_the_coordinator_does_not_depose_it() -> None:
    world = settled()
    first = leader(world)
    other = next(n for n in world.rules.election.electors if n != first)
    world.network.cut.add((first, other))
    world.run(world.now + 20 * SECOND)
    assert leader(world) == first
    assert len(world.elected) == 1
    well(world)


def test_of_two_two_and_one_nobody_coordinates_and_each_kind_of_change_is_answered_in_time() -> (
    None
):
    world = settled(7, electors=5)
    world.partition(["n0", "n1", "n5"], ["n2", "n3", "n6"], ["n4"])
    world.run(world.now + 3 * SECOND)
    assert world.coordinator() is None
    for kind in Change:
        world.request("n6", kind.value, kind)
    began = world.now
    world.run(world.now + 10 * SECOND)
    for kind in Change:
        rule = world.rules.client.no_coordinator[kind.value]
        at, outcome = world.outcomes[kind.value][0]
        assert (
            at - began <= rule.answer_after_us + SECOND
        )  # within what a part may take for its answer
        silence_us = rule.proceed_after_silence_us
        goes = silence_us is not None and silence_us <= 8 * SECOND
        assert outcome.state == ("go" if goes else "wait")
        assert outcome.token is None
        assert goes or "must run and reach each other" in outcome.reason
    world.run(world.now + 100 * SECOND)
    for kind in Change:
        world.request("n6", f"late {kind.value}", kind)
    world.run(world.now + 9 * SECOND)
    goes = {k.value for k in Change if world.states(f"late {k.value}") == ["go"]}
    assert goes == {
        k
        for k, rule in world.rules.client.no_coordinator.items()
        if rule.proceed_after_silence_us is not None
    }
    world.network.cut.clear()
    assert world.run_until(lambda: world.coordinator() is not None, 4 * SECOND)
    well(world)


@pytest.mark.parametrize("seed", range(6))
def test_electors_killed_while_granting_lose_no_announced_grant(
    seed: int,
) -> None:
    world = settled(seed=seed, write=20_000)
    first = leader(world)
    world.request("n5", "up")
    world.run(
        world.now + 3_000 * (1 + seed * 4)
    )  # before, during and after the write, and before the answers
    for name in world.rules.election.electors:
        world.kill(name)
    for name in world.rules.election.electors:
        world.start(name)
    assert world.run_until(lambda: world.coordinator() is not None, 5 * SECOND), first
    world.run(world.now + 2 * SECOND)
    world.request("n4", "beside")
    world.run(world.now + SECOND)
    if "go" in world.states("up"):
        assert "go" not in world.states("beside")
    well(world)


def test_electors_restarted_with_their_stores_keep_the_state() -> None:
    world = settled()
    world.command("n4", "c", "open", "fire")
    assert world.run_until(lambda: "go" in world.states("c"), SECOND)
    for name in world.rules.election.electors:
        world.kill(name)
        world.start(name)
    began = world.now
    assert world.run_until(lambda: world.coordinator() is not None, 4 * SECOND)
    assert (
        world.now - began >= 1.9 * SECOND
    )  # no elector votes for one lease after its start, as leases are not stored
    assert world.incident("fire") is not None
    well(world)


def test_electors_restarted_without_stores_start_empty_above_every_known_term() -> None:
    world = settled()
    world.kill(leader(world))  # a second term
    world.run(world.now + 5 * SECOND)
    world.command("n4", "c", "open", "fire")
    assert world.run_until(lambda: "go" in world.states("c"), SECOND)
    for name in world.rules.election.electors:
        world.kill(name, lose_store=True)
        world.start(name)
    assert world.run_until(lambda: world.coordinator() is not None, 6 * SECOND)
    assert max(world.elected) > 2
    world.run(world.now + 2 * SECOND)
    world.request("n4", "up")
    world.run(world.now + SECOND)
    assert (
        world.states("up")[-1] == "go"
    )  # state that all electors have lost cannot be recovered, as documented


def test_elector_without_its_store_counts_only_once_a_majority_of_others_has_reported() -> (
    None
):
    world = settled()
    first = leader(world)
    lost, third = (n for n in world.rules.election.electors if n != first)
    world.kill(third)
    world.kill(lost, lose_store=True)
    world.start(lost)
    world.run(world.now + 20 * SECOND)
    assert world.coordinator() is None  # only one other elector has a store
    world.start(third)
    assert world.run_until(lambda: world.coordinator() is not None, 6 * SECOND)
    well(world)


def test_operators_at_a_majority_may_declare_the_state_of_the_others_lost() -> None:
    world = World(6, 3)
    world.kill("n2")
    world.run(8 * SECOND)
    assert world.coordinator() is None  # the third elector may hold a newer state
    for name in ("n0", "n1"):
        world.run(world.now + 3 * SECOND)
        assert world.coordinator() is None  # one declaration is not enough
        site = world.sites[name]
        assert site.machine is not None
        world.advance(site, site.machine.declare_reset(site.local(world.now)))
    assert world.run_until(lambda: world.coordinator() is not None, 6 * SECOND)


def test_state_in_any_intact_store_is_kept_when_more_than_a_minority_is_lost() -> None:
    world = settled()
    world.command("n4", "c", "open", "fire")
    assert world.run_until(lambda: "go" in world.states("c"), SECOND)
    for name in [n for n in world.rules.election.electors if n != leader(world)]:
        world.kill(name, lose_store=True)
        world.start(name)
    assert world.run_until(
        lambda: len(world.elected) > 1 and world.coordinator() is not None, 8 * SECOND
    )
    assert world.incident("fire") is not None
    well(world)


def test_a_grant_that_runs_out_while_its_change_is_half_made_halts_it_and_lets_others_go() -> (
    None
):
    world = settled()
    world.request("n5", "slow", duration_us=3 * SECOND)
    assert world.run_until(lambda: "go" in world.states("slow"), SECOND)
    world.request("n4", "next", wait_us=10 * SECOND)
    assert world.run_until(lambda: "go" in world.states("next"), 8 * SECOND)
    assert world.states("slow") == ["go", "halt", "over"]
    assert last(world, "slow") == "the grant has expired"
    assert world.outcomes["slow"][1][0] < world.outcomes["next"][0][0]
    well(world)


def test_incident_revokes_active_changes_and_defers_requests_in_its_scope_only() -> (
    None
):
    world = settled()
    world.request("n5", "a", scope=ZONE_A)
    world.request("n4", "b", scope=ZONE_B)
    world.run(world.now + SECOND)
    world.command("n3", "c", "open", "fire", ZONE_A)
    world.run(world.now + SECOND)
    assert world.states("a") == ["go", "halt"]
    assert world.states("b") == ["go"]
    assert "fire" in world.in_force
    world.finish("n5", "a")
    world.run(world.now + SECOND)
    world.request("n3", "later", Change.SETTINGS, ZONE_A)
    world.request("n3", "mend", Change.SETTINGS, ZONE_A, resolves_incident="fire")
    world.request(
        "n3", "at once", Change.SETTINGS, ZONE_A, emergency_reason="the front is down"
    )
    world.run(world.now + SECOND)
    assert world.states("later") == ["wait"]
    assert "fire" in last(world, "later")
    assert world.states("mend") == ["go"] == world.states("at once")
    assert any(
        what == "emergency declared" and "the front is down" in why
        for _, _, what, _, why in world.log
    )
    well(world)


def test_incident_is_in_force_only_once_a_delayed_grant_can_no_longer_start() -> None:
    world = settled()
    world.network.slow[leader(world), "n5"] = 600_000
    world.request("n5", "up")
    world.run(world.now + 50_000)
    world.command("n4", "c", "open", "fire")
    assert world.run_until(lambda: "go" in world.states("c"), SECOND)
    assert "fire" not in world.in_force
    assert world.run_until(lambda: "fire" in world.in_force, 2 * SECOND)
    begun, halted = world.outcomes["up"][:2]
    assert (begun[1].state, halted[1].state) == ("go", "halt")
    assert begun[0] < world.in_force["fire"]
    well(world)


def test_grant_whose_message_was_lost_is_not_repeated_once_an_incident_is_open() -> (
    None
):
    world = settled()
    cut = (leader(world), "n5")
    world.network.cut.add(cut)
    world.request("n5", "up", wait_us=10 * SECOND)
    world.run(world.now + 50_000)
    world.command("n4", "c", "open", "fire")
    assert world.run_until(lambda: "go" in world.states("c"), SECOND)
    world.network.cut.discard(cut)
    world.run(
        world.now + 900_000
    )  # repeated before the next notification of the incident, and before it is in force
    assert world.states("up") == []
    machine = world.sites["n5"].machine
    assert machine is not None
    assert machine.client.pending["up"].reason == "incident fire"
    well(world)


def test_incidents_with_overlapping_scopes_stop_changes_until_both_are_closed() -> None:
    world = settled()
    world.command("n3", "c1", "open", "north", "region=north")
    world.command("n4", "c2", "open", "tier", "tier=front,zone=a")
    world.run(world.now + SECOND)
    for step, (closes, goes) in enumerate(
        [("", False), ("north", False), ("tier", True)]
    ):
        if closes:
            world.command("n5", f"close{step}", "close", closes)
            world.run(world.now + SECOND)
        world.request("n5", f"up{step}", scope="zone=a,tier=front")
        world.request("n5", f"south{step}", scope="zone=c")
        world.run(world.now + SECOND)
        assert world.states(f"up{step}") == (["go"] if goes else ["wait"])
        assert world.states(f"south{step}") == ["go"]
        world.finish("n5", f"south{step}")
    well(world)


def test_emergency_revokes_conflicting_changes_and_waits_for_their_end() -> None:
    world = settled()
    world.request("n5", "up")
    world.run(world.now + SECOND)
    world.request(
        "n4", "now", emergency_reason="certificate runs out", wait_us=10 * SECOND
    )
    world.run(world.now + SECOND)
    assert world.states("up") == ["go", "halt"]
    assert world.states("now") == []
    world.finish("n5", "up")
    assert world.run_until(lambda: world.states("now") == ["go"], 3 * SECOND)
    well(world)


def test_thousand_simultaneous_requests_are_all_answered_within_a_second() -> None:
    world = settled(12)
    began = world.now
    for i in range(1_000):
        world.request(f"n{3 + i % 9}", f"r{i}", Change.SETTINGS, duration_us=SECOND)
    world.run(world.now + 2 * SECOND)
    answers = [world.states(f"r{i}") for i in range(1_000)]
    assert all(answers)
    assert (
        max(at for i in range(1_000) for at, _ in world.outcomes[f"r{i}"][:1]) - began
        < SECOND
    )
    assert 256 <= sum(a[0] == "go" for a in answers) <= 512
    assert any(
        "too many changes" in o.reason
        for i in range(1_000)
        for _, o in world.outcomes[f"r{i}"]
    )
    assert all(
        o.retry_after_us > 0
        for i in range(1_000)
        for _, o in world.outcomes[f"r{i}"]
        if o.state == "wait"
    )
    well(world)


def test_repeated_requests_and_commands_get_the_same_answer() -> None:
    world = settled()
    for _ in range(2):
        world.request("n5", "up")
        world.command("n5", "c", "open", "fire", ZONE_B, 1)
        world.run(world.now + SECOND)
    tokens = [o.token for _, o in world.outcomes["up"]]
    assert len(tokens) == 2
    assert tokens[0] == tokens[1]
    world.command("n4", "c2", "open", "fire", ZONE_B, 1)
    world.run(world.now + SECOND)
    assert world.states("c2") == ["go"]
    assert "since" in last(world, "c2")
    assert sum(what == "incident opened" for _, _, what, _, _ in world.log) == 1
    well(world)


def test_queue_is_in_order_of_first_request_and_ended_changes_are_not_granted_again() -> (
    None
):
    world = settled()
    world.request("n5", "up", duration_us=3 * SECOND)
    world.run(world.now + SECOND // 2)
    world.request("n3", "first", wait_us=20 * SECOND, duration_us=SECOND)
    world.run(world.now + SECOND // 2)
    for i in range(20):  # another node that keeps requesting meanwhile
        world.at(
            world.now + i * SECOND // 5, partial(world.request, "n4", f"pushing{i}")
        )
    assert world.run_until(lambda: "go" in world.states("first"), 6 * SECOND)
    assert not any("go" in world.states(f"pushing{i}") for i in range(20))
    world.kill("n5")
    world.start("n5")
    world.request(
        "n5", "up"
    )  # the new process knows nothing of the earlier incarnation
    world.run(world.now + SECOND)
    assert world.states("up")[-1] == "no"
    assert "under another id" in last(world, "up")
    well(world)


def test_a_node_that_never_hears_of_the_freeze_makes_nothing_that_needs_a_grant() -> (
    None
):
    world = settled()
    world.request("n5", "up", duration_us=4 * SECOND)
    world.run(world.now + SECOND)
    world.network.cut |= {
        (a, b) for n in others(world, "n5") for a, b in (("n5", n), (n, "n5"))
    }
    world.command("n3", "c", "open", "fire")
    world.run(world.now + SECOND)
    assert (
        "fire" in world.in_force
    )  # nothing can begin any more; what had begun runs out
    world.request("n5", "new", scope=ZONE_A)
    world.run(world.now + 32 * SECOND)
    assert world.states("up") == ["go", "halt", "over"]
    assert world.states("new") == ["wait"]
    well(world)


def test_a_grant_held_up_in_the_network_is_given_back_instead_of_begun() -> None:
    world = settled()
    first = leader(world)
    world.network.cut |= {(first, "n5")}
    world.request("n5", "up")
    world.run(world.now + 1_500_000)  # granted by now, and its time to begin is over
    world.network.cut.clear()
    world.run(world.now + SECOND)
    begun = world.outcomes["up"][0][1]
    assert begun.state == "go"
    assert begun.token is not None
    grants = [why for _, _, what, _, why in world.log if what == "grant issued"]
    assert len(grants) == 2
    assert grants[1].strip() == "up~1"
    well(world)


def test_invariants_hold_with_lost_delayed_and_duplicated_datagrams() -> None:
    world = World(8, 5, 5)
    world.network.loss, world.network.duplicate, world.network.jitter = 0.2, 0.3, 50_000
    for i in range(60):
        world.at(
            (3 + i) * SECOND // 2,
            partial(
                world.request,
                f"n{i % 8}",
                f"r{i}",
                scope=ZONE_B,
                wait_us=5 * SECOND,
                duration_us=3 * SECOND,
            ),
        )
        world.at(
            (3 + i) * SECOND // 2,
            partial(
                world.command,
                f"n{i % 8}",
                f"c{i}",
                ("open", "close")[i % 2],
                "x",
                ZONE_A,
            ),
        )
    world.run(40 * SECOND)
    assert len(world.changes) > 5
    well(world)


def test_elector_that_lost_its_store_receives_a_large_snapshot_while_changes_continue() -> (
    None
):
    world = settled()
    world.network.loss, world.write = 0.1, 500
    for i in range(250):
        world.request(
            f"n{3 + i % 3}",
            f"r{i}",
            Change.SETTINGS,
            duration_us=600 * SECOND,
            wait_us=30 * SECOND,
        )
    first = leader(world)
    lost = next(n for n in world.rules.election.electors if n != first)
    world.kill(lost, lose_store=True)
    world.start(lost)
    for i in range(250, 500):
        at = world.now + (i - 250) * SECOND // 40
        world.at(
            at,
            partial(
                world.request,
                f"n{3 + i % 3}",
                f"r{i}",
                Change.SETTINGS,
                duration_us=600 * SECOND,
            ),
        )
    world.run(
        world.now + 6 * SECOND
    )  # two seconds for the recovery, and the rest while changes continue
    machine, other = world.sites[lost].machine, world.sites[first].machine
    assert machine is not None
    assert machine.elector is not None
    assert other is not None
    assert other.elector is not None
    assert len(other.elector.log.state.snapshot()) > 10 * 1_100
    assert (
        machine.elector.version.log_index > other.elector.version.log_index - 20 > 250
    )
    world.kill(first)
    assert world.run_until(lambda: world.coordinator() is not None, 5 * SECOND)
    well(world)


def test_a_client_drops_messages_of_an_earlier_term_and_grants_below_a_token_it_has_seen() -> (
    None
):
    rules = rules_of(["n0", "n1", "n2"]).client
    client = FreezeClient("n5", rules, {})
    scope = parse_scope(ZONE_A)

    def grant(
        id: str, token: tuple[int, int], as_of: tuple[int, int], sent_at: int = 5
    ) -> list[str]:
        client.receive(
            10,
            "n1" if as_of[0] == 2 else "n0",
            GrantIssued(
                id, StateVersion(*token), StateVersion(*as_of), sent_at, SECOND
            ),
        )
        return [o.state for o in client.drain()]

    for id in "abcdef":
        own_scope = parse_scope(ZONE_B) if id == "e" else scope
        client.request(
            5,
            RequestedChange(id, Change.SETTINGS, own_scope, SECOND, wait_us=SECOND),
        )
    client.receive(
        6,
        "n1",
        IncidentList(
            StateVersion(2, 9),
            StateVersion(2, 8),
            0,
            1,
            [IncidentNotice("fire", parse_scope(ZONE_B), 3, "")],
        ),
    )
    assert grant("a", (1, 7), (1, 7)) == []
    assert client.locator.stale_messages == 1
    client.receive(
        7, "n0", IncidentList(StateVersion(1, 20), StateVersion(1, 19), 0, 1, [])
    )  # the earlier coordinator does not know of the incident
    assert [i.id for i in client.open_incidents()] == ["fire"]
    assert grant("b", (2, 12), (2, 12)) == ["go"]
    client.receive(
        11,
        "n1",
        IncidentList(
            StateVersion(2, 13),
            StateVersion(2, 13),
            0,
            1,
            [IncidentNotice("a too", scope, 3, "")],
        ),
    )
    assert [o.state for o in client.drain()] == [
        "halt"
    ]  # by the incident notification alone
    client.receive(
        12,
        "n1",
        IncidentList(
            StateVersion(2, 14),
            StateVersion(2, 14),
            0,
            1,
            [IncidentNotice("fire", parse_scope(ZONE_B), 3, "")],
        ),
    )
    assert (
        grant("c", (2, 11), (2, 14)) == []
    )  # granted before token (2, 12); requested again
    assert client.pending["c"].message_id == "c~1"
    assert "c" in client.finishing
    assert grant("c~1", (2, 15), (2, 15)) == ["go"]
    client.receive(
        12, "n1", Revocation("d", StateVersion(2, 16), StateVersion(2, 17), "incident")
    )
    assert grant("d", (2, 16), (2, 17)) == []
    assert "d" not in client.active
    assert grant("e", (2, 20), (2, 20)) == []
    assert client.pending["e"].reason == "an incident has opened"
    assert (
        grant("f", (2, 30), (2, 30), sent_at=10**9) == []
    )  # sent by the clock of an earlier incarnation


def test_a_client_whose_rules_are_replaced_asks_the_new_electors() -> None:
    client = FreezeClient("n9", rules_of(["n0", "n1", "n2"]).client, {})
    client.set_rules(rules_of(["n3", "n4", "n5"]).client, {})
    change = RequestedChange("up", Change.UPGRADE, parse_scope("*"), SECOND)
    sends = client.request(1, change)
    for _ in range(5):
        now = client.next_deadline()
        assert now is not None
        sends += client.tick(now)
    assert {send.to for send in sends} == {"n3", "n4", "n5"}


def test_scopes_overlap_unless_a_field_that_both_set_differs() -> None:
    regions = {"a": "north", "c": "south"}

    def overlap(a: str, b: str) -> bool:
        return scopes_overlap(parse_scope(a), parse_scope(b), regions)

    assert overlap("*", "zone=a")
    assert overlap("zone=a", "tier=x")
    assert overlap("zone=a", "region=north")
    assert not overlap("zone=c", "region=north")
    assert not overlap("zone=a", "zone=c")
    assert not overlap("tier=x,zone=a", "tier=y")
    assert overlap("zone=unknown", "region=north")  # its region is not known
    for bad in ("zone", "zone=", "place=a", "zone=" + "a" * 65):
        with pytest.raises(FreezeScopeError, match="scope is"):
            parse_scope(bad)


def test_recovered_elector_votes_for_no_candidate_with_an_older_state_than_reported() -> (
    None
):
    rules = rules_of(["n0", "n1", "n2"]).election
    elector = Elector("n1", rules, FreezeState(), 1, 0, None)
    now = rules.lease_us + rules.candidacy_jitter_us
    recovery_request = next(a.message for a in elector.tick(now) if isinstance(a, Send))
    assert isinstance(recovery_request, RecoveryRequest)
    elector.receive(
        now,
        "n0",
        RecoveryResponse(
            recovery_request.nonce - 1, 9, StateVersion(9, 9), False, False
        ),
    )  # answers an earlier request
    elector.receive(
        now,
        "n0",
        RecoveryResponse(recovery_request.nonce, 5, StateVersion(5, 9), False, False),
    )
    assert elector.state_lost
    elector.receive(
        now,
        "n2",
        RecoveryResponse(recovery_request.nonce, 5, StateVersion(5, 8), False, False),
    )
    assert not elector.state_lost
    assert elector.term == 5

    def vote(term: int, held: tuple[int, int]) -> list[bool]:
        out = elector.receive(
            now, "n2", VoteRequest(term, now, StateVersion(*held), False)
        )
        return [
            a.message.granted
            for a in out
            if isinstance(a, Send) and isinstance(a.message, VoteResponse)
        ]

    assert vote(5, (5, 9)) == [False]  # the elector may have voted in this term
    assert vote(6, (5, 8)) == [False]
    assert vote(7, (5, 9)) == [True]


def test_ack_older_than_a_lease_does_not_count_towards_a_majority() -> None:
    rules = rules_of([f"n{i}" for i in range(5)]).election
    elector = Elector("n0", rules, FreezeState(), 1, 0, None)
    elector.state_lost = False
    elector.vote_guard.embargo_until = elector.candidacy.next_at = 0
    for pre in (True, False):
        elector.tick(1)
        for voter in ("n1", "n2"):
            elector.receive(1, voter, VoteResponse(1, 1, True, pre))
    elector.stored(1, elector.saves.count)
    held = elector.propose(2, b"")
    assert held is not None
    elector.flush(2)
    elector.stored(2, elector.saves.count)
    elector.receive(3, "n1", HeartbeatAck(1, 2, held, held))
    later = 2 + rules.leader_lease_us
    for name, at in (("n2", 3), ("n3", 3), ("n2", later - 1), ("n3", later - 1)):
        elector.receive(at, name, HeartbeatAck(1, at, INITIAL_VERSION, INITIAL_VERSION))
    elector.receive(later, "n2", HeartbeatAck(1, later, held, held))
    assert (
        elector.committed_version < held
    )  # n1 may have been restarted without its store since its ack
    elector.receive(later, "n3", HeartbeatAck(1, later, held, held))
    assert elector.committed_version == held


def test_malformed_record_raises_and_malformed_datagrams_are_counted() -> None:
    rules = rules_of(["n0", "n1", "n2"])
    with pytest.raises(FreezeRecordError, match="not an elector's record"):
        Elector("n0", rules.election, FreezeState(), 1, 0, b"\x00garbage")
    machine = FreezeNode("n0", rules, 1, 0, None)
    for data in (b"", b"\xc1", b"x" * 2_000, b"\x93\x02\xa2n1\x92\x06\x00"):
        assert machine.receive_datagram(1, data) == []
    assert machine.counters.malformed == 4
    assert RECORD_NAME
    with pytest.raises(ValueError, match="3, 5 or 7"):
        ElectionRules(("n0", "n1"))
