"""Features `[membership]`, which joins the cluster, and `[spread]`, which sets this node's ring position."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from loadbalancer.config.operator_config import OperatorConfig
from loadbalancer.membership.state import Member
from loadbalancer.node.features.core_feature import CoreFeature
from loadbalancer.node.features.feature import Change
from loadbalancer.node.features.membership_host import HostOptions, MembershipHost
from loadbalancer.node.numbering import number_of
from loadbalancer.spread.ring_positions import RingPositionTracker

if TYPE_CHECKING:
    from loadbalancer.node.features.weight_updates import WeightUpdates

TIMER_MARGIN_S = 0.001  # delay of the timer after a position becomes due


class MembershipFeature(CoreFeature):
    """Takes part in the membership; changed settings restart the feature.

    Attributes:
        members: Runs the membership protocol.
    """

    name = "membership"
    needs_peers = True

    def on_start(self) -> None:
        """Joins the membership."""
        config, node = self.host.operator_config().membership, self.node
        assert config is not None
        listen, advertised, seeds = config.addresses()
        zone = self.host.zone()
        local = Member(
            node.config.name, *advertised, zone=zone, region=config.region(zone)
        )
        options = HostOptions(
            local,
            config.settings(),
            listen,
            seeds,
            node.config.seed,
            self._start_fields(),
        )
        members = MembershipHost(options, self.host.on_members_changed)
        self.members = self.host.members = members
        self.reload(self.host.operator_config())
        members.start()
        self.host.on_members_changed()

    def _start_fields(self) -> dict[str, Any]:
        """Returns the control listener's address, for the log line of the start."""
        control, listener = self.node.config.control, self.node.control
        if not control or not listener:
            return {}
        return {"control": f"{control[0]}:{listener.port}"}

    def reload(self, operation: OperatorConfig) -> None:
        """Applies the layout of cells."""
        cells = operation.cells
        self.members.set_layout(cells.layout() if cells is not None else None)

    def stop(self, graceful: bool) -> None:
        """Stops the membership; with `graceful` the node leaves the cluster."""
        self.members.stop(graceful)
        self.host.members = None

    def metrics(self) -> dict[str, Any]:
        """Returns the membership's counts, and this node's ring position among the live members."""
        return {**self.members.metrics(), "place": self.node.ring}

    def pages(self) -> Any:
        """Returns the admin page of all members."""
        return {"/admin/membership": self.members.table}


class SpreadFeature(CoreFeature):
    """Divides the servers among the live members, by the node's ring position and optional weights.

    Attributes:
        tracker: Derives the ring position from the live members.
        requested_ring: The ring position last requested, which may still wait for approval.
        weight_updates: The weight updates; None while they are off.
    """

    name = "spread"

    def on_start(self) -> None:
        """Starts to track the members, and starts the weight updates if they are on."""
        self.timer: asyncio.TimerHandle | None = None
        self.requested_ring = self.node.ring
        self.weight_updates: WeightUpdates | None = None
        self._restart_tracker()
        self._apply_weights_setting()

    def _restart_tracker(self) -> None:
        """Creates a new tracker with the rules in force."""
        config = self.host.operator_config().spread
        assert config is not None
        name = self.node.config.name
        self.tracker = RingPositionTracker(name, number_of(name), config.rules())
        self.on_members_changed()

    def reload(self, operation: OperatorConfig) -> None:
        """Applies changed rules, and starts or stops the weight updates."""
        if (
            operation.spread is not None
            and operation.spread.rules() != self.tracker.rules
        ):
            self._restart_tracker()
        self._apply_weights_setting()

    def _apply_weights_setting(self) -> None:
        """Starts or stops the weight updates according to `[spread] weights`."""
        config = self.host.operator_config().spread
        assert config is not None
        if config.weights and self.weight_updates is None:
            # Imported here because the membership alone does not need it.
            from loadbalancer.node.features.weight_updates import WeightUpdates

            self.weight_updates = WeightUpdates(self, self.host)
        elif not config.weights and self.weight_updates is not None:
            weight_updates, self.weight_updates = self.weight_updates, None
            weight_updates.stop()

    def metrics(self) -> dict[str, Any] | None:
        """Returns the metrics of the weight updates; None while they are off."""
        return (
            self.weight_updates.metrics() if self.weight_updates is not None else None
        )

    def stop(self, graceful: bool) -> None:
        """Stops the feature; the ring position from the platform's settings applies again."""
        if self.weight_updates is not None:
            self.weight_updates.stop()
        if self.timer is not None:
            self.timer.cancel()
        if not self.host.ending:
            self.host.change_approval.withdraw("place")
            self._move_to(None)

    def on_members_changed(self) -> None:
        """Updates the tracker with the live members, and requests a new position if one is due."""
        self.tracker.update_members(self.node.now(), self.host.live_members())
        self._request_due_position()

    def _request_due_position(self) -> None:
        """Requests the move to the position that is due, and sets a timer for the next one."""
        position = self.tracker.position(self.node.now())
        ring = (position.index, position.count) if position is not None else None
        if ring != self.requested_ring:
            self.requested_ring = ring
            if ring == self.node.ring:
                self.host.change_approval.withdraw("place")
            else:
                scope, fallback = self.host.scope(), "the old position stays"
                self.host.change_approval.apply_when_approved(
                    "place",
                    (Change.PLACEMENT,),
                    lambda: self._move_to(ring),
                    scope,
                    fallback,
                )
        due_at = self.tracker.due_at()
        # A timer that is already set may fire too early; it is set again then.
        if due_at is not None and self.timer is None:
            delay_s = max(0, due_at - self.node.now()) / 1e6 + TIMER_MARGIN_S
            self.timer = self.node.loop.call_later(delay_s, self._on_timer)

    def _move_to(self, ring: tuple[int, int] | None) -> None:
        """Applies a ring position, `(index, count)`; None stands for the one in the platform's settings."""
        node = self.node
        if ring != node.ring:
            node.ring = ring
            self.host.line(
                f"spread position changed position={ring[0]} members={ring[1]}"
                if ring
                else "spread position cleared"
            )
            node.apply_settings(node.table.settings)

    def _on_timer(self) -> None:
        self.timer = None
        self._request_due_position()
