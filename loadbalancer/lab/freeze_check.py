"""A check of all small worlds of `FreezeNode`: three electors, all that can happen in any order.

What can happen: any datagram under way arrives, now or after any others, or never; one arrives twice; a
node's timer is due; a write to its store is done; a process is killed, before or after that, and starts anew,
with its store or without; one is paused, while time passes for the others, and resumes; time passes to the
next timer; nodes request two changes that conflict; an operator opens an incident. Faults are bounded by
`Budget`.

n0's clock is slow, the others' are fast, by all that the rules allow. `search` goes through all worlds
breadth first, `draw` plays random runs, also with five electors. The invariants are in
`freeze_check_invariants`; `freeze_check_kinds.MUTANTS` are faults put in on purpose, which the check has to
find.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Iterator
from dataclasses import replace
from random import Random

from loadbalancer.freeze.actions import Action, Save
from loadbalancer.freeze.changes import Change
from loadbalancer.freeze.client_state import RequestedChange, RequestState
from loadbalancer.freeze.elector_record import (
    RECORD_FORMAT,
    ElectorRecord,
    encode_record,
)
from loadbalancer.freeze.machine import FreezeNode
from loadbalancer.freeze.messages import (
    INITIAL_VERSION,
    OperatorCommand,
    Scope,
    decode,
    encode,
)
from loadbalancer.lab.freeze_check_invariants import (
    active_changes,
    any_conflict,
    forget_counts,
    is_leading,
    load_node,
    observe,
)
from loadbalancer.lab.freeze_check_kinds import CORRECT, DRIFT_RATIO, MachineKind
from loadbalancer.lab.freeze_check_state import (
    Budget,
    Datagram,
    PendingWrite,
    PlayResult,
    RandomRun,
    SearchResult,
    Step,
    StepKind,
    WorldState,
)

EVERYWHERE = Scope()
CHANGE_DURATION_US = 4_000
WAIT_US = 20_000
MAX_CACHED_DEADLINES = 500_000
MAX_PLAIN_STEPS = 200
MAX_SEEDS = 1_000
NO_LIMIT = 10**9
SENDER = "n"  # in datagrams; who really sent one stands beside it
REQUEST_PREFIX = "g"

# Random runs: datagrams mostly arrive in some order, one in ten is lost.
ARRIVAL_RATIO = 0.88
PLAIN_RATIO = 0.97
REQUEST_RATIO = 0.99
LOSS_RATIO = 0.1

PLAIN_STEPS = (StepKind.WRITTEN, StepKind.ARRIVAL, StepKind.TIMER, StepKind.TIME)
UNFORCED_STEPS = (StepKind.WRITTEN, StepKind.TIMER, StepKind.TIME, StepKind.RESUME)
REQUEST_STEPS = (StepKind.REQUEST, StepKind.INCIDENT)


class FreezeCheck:
    """The worlds of one kind of machine."""

    def __init__(self, kind: MachineKind = CORRECT, electors: int = 3) -> None:
        self.kind, self.electors = kind, electors
        self.rules = kind.rules(electors)
        self.names = self.rules.election.electors
        self._index = {name: index for index, name in enumerate(self.names)}
        self._deadlines: dict[bytes, int | None] = {}  # by pickle, by the node's clock

    # ---- clocks ---------------------------------------------------------------------------------------

    def local(self, node: int, time: int) -> int:
        """The node's clock at a true time."""
        return int(time * _clock_rate(node))

    def due_at(self, state: WorldState, node: int) -> int | None:
        """The true time at which a node's next timer is due."""
        data = state.nodes[node]
        if data not in self._deadlines:
            if len(self._deadlines) > MAX_CACHED_DEADLINES:
                self._deadlines.clear()
            self._deadlines[data] = load_node(data).next_deadline()
        deadline = self._deadlines[data]
        if deadline is None:
            return None
        time = int(deadline / _clock_rate(node))
        while self.local(node, time) < deadline:
            time += 1
        return time

    # ---- steps ----------------------------------------------------------------------------------------

    def begin(self, budget: Budget, first: int = 0) -> WorldState:
        """All electors have run before, hold nothing, and may vote; `first` is due before the others."""
        record = encode_record(
            ElectorRecord(RECORD_FORMAT, 0, "", INITIAL_VERSION, INITIAL_VERSION, b"")
        )
        for seed in range(MAX_SEEDS):
            nodes = tuple(
                self._start(
                    index,
                    seed * 10 + index,
                    self.local(index, 0) - self.rules.election.lease_us,
                    record,
                )
                for index in range(self.electors)
            )
            state = WorldState(
                0,
                tuple(map(pickle.dumps, nodes)),
                (record,) * self.electors,
                (),
                budget,
                writes=(None,) * self.electors,
            )
            due = [self.due_at(state, index) or 0 for index in range(self.electors)]
            if min(due) == due[first] and due.count(due[first]) == 1:
                return state
        raise RuntimeError(f"no seed has node {first} first")

    def _start(
        self, node: int, seed: int, now: int, record: bytes | None
    ) -> FreezeNode:
        return FreezeNode(
            self.names[node], self.rules, seed, now, record, self.kind.elector_type
        )

    def steps(self, state: WorldState) -> Iterator[Step]:
        """All that can happen next."""
        yield from self._arrivals(state)
        next_time: int | None = None
        timer_due = False
        for node in range(self.electors):
            if node in state.paused:
                continue
            if state.writes[node] is not None:
                yield Step(StepKind.WRITTEN, node)
            due_at = self.due_at(state, node)
            if due_at is None:
                continue
            if due_at <= state.time:
                timer_due = True
                yield Step(StepKind.TIMER, node)
            elif next_time is None or due_at < next_time:
                next_time = due_at
        if not timer_due and next_time is not None:
            yield Step(StepKind.TIME, next_time)
        for node in range(self.electors):
            yield from self._faults_and_requests(state, node)

    @staticmethod
    def _arrivals(state: WorldState) -> Iterator[Step]:
        for index, datagram in enumerate(state.network):
            is_first_copy = state.network.index(datagram) == index
            if datagram.receiver not in state.paused and is_first_copy:
                yield Step(StepKind.ARRIVAL, index)
                if state.budget.duplicates:
                    yield Step(StepKind.DUPLICATE_ARRIVAL, index)

    @staticmethod
    def _faults_and_requests(state: WorldState, node: int) -> Iterator[Step]:
        budget = state.budget
        if node in state.paused:
            yield Step(StepKind.RESUME, node)
            return
        if budget.kills:
            yield Step(StepKind.KILL, node)
        if budget.store_losses:
            yield Step(StepKind.KILL_LOSING_STORE, node)
        if budget.pauses:
            yield Step(StepKind.PAUSE, node)
        if node in budget.requesters:
            yield Step(StepKind.REQUEST, node)
        if budget.incident:
            yield Step(StepKind.INCIDENT, node)

    def play(self, state: WorldState, step: Step) -> PlayResult:
        """Takes one step."""
        kind, target = step
        if kind in (StepKind.TIME, StepKind.PAUSE, StepKind.RESUME):
            return PlayResult(_play_around_nodes(state, step), [])
        if kind in (StepKind.ARRIVAL, StepKind.DUPLICATE_ARRIVAL):
            return self._play_arrival(state, step)
        if kind in (StepKind.KILL, StepKind.KILL_LOSING_STORE):
            return self._play_kill(state, step)
        if kind is StepKind.WRITTEN:
            return self._play_written(state, target)
        return self._play_at_node(state, step)

    def _play_arrival(self, state: WorldState, step: Step) -> PlayResult:
        datagram = state.network[step.target]
        node = datagram.receiver
        if step.kind is StepKind.ARRIVAL:
            state = state.without_datagram(step.target)
        else:
            budget = replace(state.budget, duplicates=state.budget.duplicates - 1)
            state = replace(state, budget=budget)
        machine = load_node(state.nodes[node])
        message = decode(datagram.data).message
        now = self.local(node, state.time)
        actions = machine.receive(now, self.names[datagram.sender], message)
        return self._after(state, node, machine, actions)

    def _play_kill(self, state: WorldState, step: Step) -> PlayResult:
        node, budget = step.target, state.budget
        if step.kind is StepKind.KILL:
            record = state.stores[node]
            budget = replace(budget, kills=budget.kills - 1)
        else:
            record = None
            budget = replace(budget, store_losses=budget.store_losses - 1)
        now = self.local(node, state.time)
        machine = self._start(node, 10 + state.restarts, now, record)
        state = replace(state, budget=budget, restarts=state.restarts + 1)
        return self._after(state.with_store(node, record), node, machine, [])

    def _play_written(self, state: WorldState, node: int) -> PlayResult:
        write = state.writes[node]
        assert write is not None
        state = state.with_store(node, write.record)
        state = replace(state, network=(*state.network, *write.parked))
        machine = load_node(state.nodes[node])
        actions = machine.stored(self.local(node, state.time), write.number)
        return self._after(state, node, machine, actions)

    def _play_at_node(self, state: WorldState, step: Step) -> PlayResult:
        """A timer, a request or an operator's command."""
        node, budget = step.target, state.budget
        now = self.local(node, state.time)
        machine = load_node(state.nodes[node])
        if step.kind is StepKind.TIMER:
            actions = machine.tick(now)
        elif step.kind is StepKind.REQUEST:
            requesters = tuple(other for other in budget.requesters if other != node)
            budget = replace(budget, requesters=requesters)
            change = RequestedChange(
                f"{REQUEST_PREFIX}{node}",
                Change.UPGRADE,
                EVERYWHERE,
                CHANGE_DURATION_US,
                wait_us=WAIT_US,
            )
            actions = machine.request(now, change)
        else:
            budget = replace(budget, incident=False)
            command = OperatorCommand(
                "c", "open", "fire", EVERYWHERE, 3, "a test", "operator"
            )
            actions = machine.command(now, command, WAIT_US)
        return self._after(replace(state, budget=budget), node, machine, actions)

    def _after(
        self, state: WorldState, node: int, machine: FreezeNode, actions: list[Action]
    ) -> PlayResult:
        """Executes what a machine answered, and checks the invariants."""
        state = self._execute(state, node, actions)
        violations: list[str] = []
        events, outcomes = machine.drain()
        for event in events:
            state = observe(state, node, machine, event, violations)
        begins = any(
            outcome.state is RequestState.ALLOWED
            and outcome.id.startswith(REQUEST_PREFIX)
            for outcome in outcomes
        )
        if state.in_force and begins:
            violations.append("a change begins after the incident is in force")
        forget_counts(machine)
        state = state.with_node(node, pickle.dumps(machine))
        violations += self._check_one_at_a_time(state, node, machine)
        return PlayResult(state, violations)

    def _execute(
        self, state: WorldState, node: int, actions: list[Action]
    ) -> WorldState:
        network, write = list(state.network), state.writes[node]
        for action in actions:
            if isinstance(action, Save):
                parked = write.parked if write is not None else ()
                write = PendingWrite(action.number, action.data, parked)
                continue
            receiver = self._index[action.to]
            datagram = Datagram(node, receiver, encode(SENDER, action.message))
            if action.after_save and write is not None:
                write = write._replace(parked=(*write.parked, datagram))
            else:
                network.append(datagram)
        network.sort()
        return replace(state, network=tuple(network)).with_write(node, write)

    def _check_one_at_a_time(
        self, state: WorldState, node: int, machine: FreezeNode
    ) -> list[str]:
        """What must not hold of two nodes at one time; a paused node does nothing."""
        now = self.local(node, state.time)
        leads = is_leading(machine, now)
        active = active_changes(machine, now)
        if not leads and not active:
            return []
        violations = []
        for other in range(self.electors):
            if other == node or other in state.paused:
                continue
            rival = load_node(state.nodes[other])
            now = self.local(other, state.time)
            if leads and is_leading(rival, now):
                violations.append(f"n{node} and n{other} coordinate at one time")
            if any_conflict(active, active_changes(rival, now)):
                violations.append(
                    f"n{node} and n{other} make changes that conflict at one time"
                )
        return violations

    # ---- searches -------------------------------------------------------------------------------------

    def follow(
        self,
        state: WorldState,
        is_done: Callable[[WorldState], bool],
        *,
        lose_all: bool = False,
    ) -> WorldState:
        """Plays everything in order until a condition holds; with `lose_all` not one datagram arrives."""
        for _ in range(MAX_PLAIN_STEPS):
            if is_done(state):
                return state
            if lose_all:
                state = replace(state, network=())
            step = next(step for step in self.steps(state) if step.kind in PLAIN_STEPS)
            state, violations = self.play(state, step)
            if violations:
                raise RuntimeError(f"the plain course is wrong: {violations}")
        raise RuntimeError("the plain course does not get there")

    def until_candidacy(self, state: WorldState, node: int) -> WorldState:
        """The same world, its datagrams lost, when a node's lease is over and it may be elected."""

        def may_start(state: WorldState) -> bool:
            elector = load_node(state.nodes[node]).elector
            return elector is not None and elector.candidacy_due() <= self.local(
                node, state.time
            )

        state = self.follow(replace(state, network=()), may_start, lose_all=True)
        return replace(state, network=())

    def search(
        self, root: WorldState, depth: int, most: int = NO_LIMIT
    ) -> SearchResult:
        """Goes through all states up to `depth` steps from `root`, or about `most`."""
        seen: dict[WorldState, tuple[WorldState, Step] | None] = {root: None}
        layer = [root]
        for _ in range(depth):
            next_layer: list[WorldState] = []
            for state in layer:
                for step in self.steps(state):
                    found, violations = self.play(state, step)
                    if violations:
                        path = [*_path(seen, state), step]
                        return SearchResult(violations, path, len(seen))
                    if found not in seen:
                        seen[found] = (state, step)
                        next_layer.append(found)
                if len(seen) > most:
                    return SearchResult([], [], len(seen))
            layer = next_layer
        return SearchResult([], [], len(seen))

    def draw(self, root: WorldState, seed: int, depth: int) -> RandomRun:
        """Plays one random run of up to `depth` steps."""
        random = Random(seed)
        state, path = root, []
        for _ in range(depth):
            steps = list(self.steps(state))
            if not steps:
                break
            step = _draw_step(random, state, steps)
            if step.kind is StepKind.ARRIVAL and random.random() < LOSS_RATIO:
                state = state.without_datagram(step.target)
                path.append(Step(StepKind.LOSS, step.target))
                continue
            state, violations = self.play(state, step)
            path.append(step)
            if violations:
                return RandomRun(violations, path, state)
        return RandomRun([], path, state)


def _play_around_nodes(state: WorldState, step: Step) -> WorldState:
    """A step that no node takes notice of: time passes, or a process is paused or resumes."""
    if step.kind is StepKind.TIME:
        return replace(state, time=step.target)
    if step.kind is StepKind.RESUME:
        return replace(state, paused=state.paused - {step.target})
    budget = replace(state.budget, pauses=state.budget.pauses - 1)
    return replace(state, paused=state.paused | {step.target}, budget=budget)


def _clock_rate(node: int) -> float:
    return 1 - DRIFT_RATIO if node == 0 else 1 + DRIFT_RATIO


def _draw_step(random: Random, state: WorldState, steps: list[Step]) -> Step:
    arrivals = [step for step in steps if step.kind is StepKind.ARRIVAL]
    unforced = [step for step in steps if step.kind in UNFORCED_STEPS]
    requests = [step for step in steps if state.elected and step.kind in REQUEST_STEPS]
    lot = random.random()
    if arrivals and lot < ARRIVAL_RATIO:
        return random.choice(arrivals)
    if unforced and lot < PLAIN_RATIO:
        return random.choice(unforced)
    return random.choice(requests if requests and lot < REQUEST_RATIO else steps)


def _path(
    seen: dict[WorldState, tuple[WorldState, Step] | None], state: WorldState
) -> list[Step]:
    steps: list[Step] = []
    origin = seen[state]
    while origin is not None:
        steps.append(origin[1])
        origin = seen[origin[0]]
    return steps[::-1]
