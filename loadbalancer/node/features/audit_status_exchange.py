"""Exchange of status records: publishes this node's record and reads those of the other members."""

from __future__ import annotations

from typing import NamedTuple

import loadbalancer
from loadbalancer.audit import status as audit_status
from loadbalancer.audit.fleet_view import ReceivedStatus
from loadbalancer.audit.status import KIND, FileVersion, QuarantineState, StatusRecord
from loadbalancer.node.features.audit_context import AuditContext
from loadbalancer.node.features.feature import FeatureHost, Version, VersionSource
from loadbalancer.records.interface import Records

NO_FILE = FileVersion(0, "")  # the version of a file that the node does not have
# Published prefix of the ledger's chain head, which other nodes witness.
CHAIN_HEAD_BYTES = 8


class DecodedStatus(NamedTuple):
    """A member's decoded status record, kept so that each version is decoded once."""

    record_version: int
    status: StatusRecord | None  # None if the record cannot be decoded


class LedgerLength(NamedTuple):
    """The length of a member's ledger, ordered by incarnation and entries; it must not decrease."""

    incarnation: int
    entries: int


class PublishedChain(NamedTuple):
    """The state of this node's ledger chain as it was last published."""

    published_at: int = 0  # in monotonic microseconds
    entries: int = 0
    chain_head: bytes = b""


class StatusReceiver:
    """Reads the members' status records, and decodes each version once.

    Attributes:
        host: The services of the node.
        decoded: The decoded records by member.
    """

    def __init__(self, host: FeatureHost) -> None:
        self.host = host
        self.decoded: dict[str, DecodedStatus] = {}
        self._ledger_lengths: dict[str, LedgerLength] = {}  # by member

    def forget(self) -> None:
        """Discards the decoded records, because the node has moved to other members."""
        self.decoded.clear()

    def receive(self, records: Records) -> dict[str, ReceivedStatus]:
        """Returns the other members' statuses by member, in the order of their records.

        Args:
            records: The members' records.
        """
        received: dict[str, ReceivedStatus] = {}
        for record in records.of(KIND):
            if record.owner == self.host.name:
                continue
            known = self.decoded.get(record.owner)
            if known is None or known.record_version != record.version:
                status = audit_status.decode(record.body)
                known = DecodedStatus(record.version, status)
                self.decoded[record.owner] = known
                self._check_chain(record.owner, status)
            if known.status is not None:
                received[record.owner] = ReceivedStatus(known.status, record.stale)
        for owner in self.decoded.keys() - received.keys():
            if records.get(owner, KIND) is None:
                del self.decoded[owner]
        return received

    def _check_chain(self, member: str, status: StatusRecord | None) -> None:
        """Logs a ledger that has become shorter: an older store replaced it, or its end was cut off."""
        if status is None or not status.ledger_entries:
            return
        length = LedgerLength(status.incarnation, status.ledger_entries)
        previous = self._ledger_lengths.get(member, LedgerLength(0, 0))
        if length < previous:
            self.host.log_event(
                "audit ledger regressed", member=member, before=previous, now=length
            )
        self._ledger_lengths[member] = length


class StatusReporter:
    """Publishes this node's status to the members whenever it has changed.

    Attributes:
        context: State that the modules of the audit share.
        versions: The versions in force by source.
    """

    def __init__(self, context: AuditContext) -> None:
        self.context = context
        self.versions: dict[VersionSource, Version] = {}
        self._published = b""
        self._chain = PublishedChain()
        self._membership_epoch = 0  # updated together with `_chain`

    def forget(self) -> None:
        """Makes `publish` publish the next status in any case, because the record has been withdrawn."""
        self._published = b""

    def status(self) -> StatusRecord:
        """Returns this node's current status."""
        endpoints, evaluator = self.context.endpoints, self.context.evaluator
        remediator, quarantine = evaluator.remediator, evaluator.remediator.quarantine
        term = self.versions.get(VersionSource.TERM)
        has_requested = quarantine.state != QuarantineState.SERVING
        return StatusRecord(
            incarnation=self.context.store.ledger.state.incarnation,
            ledger_entries=self._chain.entries,
            chain_head=self._chain.chain_head,
            list_versions=endpoints.versions,
            adopted=endpoints.local.adopted,
            settings=self._file_version(VersionSource.SETTINGS),
            operator_config=self._file_version(VersionSource.OPERATION),
            program=loadbalancer.__version__,
            membership_epoch=self._membership_epoch,
            known_members=evaluator.view.known_count
            if evaluator.view is not None
            else 0,
            term=term.number if term is not None else 0,
            ready=endpoints.local.list_version is not None,
            step=remediator.step,
            quarantine=quarantine.state,
            slot=quarantine.slot,
            request_number=quarantine.request_number if has_requested else 0,
            votes=remediator.ballots(),
        )

    def publish(self, now: int, records: Records) -> None:
        """Publishes the status, if it differs from the last one.

        Args:
            now: Current time in monotonic microseconds.
            records: The members' records, in which the status is written.
        """
        if not self._published:
            self._claim_incarnation(now, records)
        interval = audit_status.renewal_interval_us(
            len(self.context.host.cell_members())
        )
        if now - self._chain.published_at >= interval:
            self._refresh_chain(now)
        body = audit_status.encode(self.status())
        if body != self._published:
            self._published = body
            records.put(KIND, body)

    def _refresh_chain(self, now: int) -> None:
        state = self.context.store.ledger.state
        self._chain = PublishedChain(now, state.entries, state.head[:CHAIN_HEAD_BYTES])
        # The epoch is updated only together with the chain head. Failure prevented: the failure of any member
        # makes all nodes publish their status again.
        members = self.versions.get(VersionSource.MEMBERS)
        if members is not None:
            self._membership_epoch = members.number

    def _claim_incarnation(self, now: int, records: Records) -> None:
        """Advances the incarnation past the one that others know, before the first status.

        The store may be older than the status record that the members still hold.
        """
        host, ledger = self.context.host, self.context.store.ledger
        record = records.get(host.name, KIND)
        previous = audit_status.decode(record.body) if record is not None else None
        if previous is None or previous.incarnation < ledger.state.incarnation:
            return
        note = f"others know of life {previous.incarnation} with {previous.ledger_entries} entries"
        host.log_event(
            "audit incarnation advanced",
            incarnation=previous.incarnation + 1,
            reason=note,
        )
        in_force = [row.key for row in ledger.state.in_force.values()]
        ledger.write_counts()
        ledger.start_incarnation(
            host.name, now, host.wall_clock(), note, previous.incarnation
        )
        for key in in_force:
            ledger.activate(key, now)

    def _file_version(self, source: VersionSource) -> FileVersion:
        version = self.versions.get(source)
        if version is None:
            return NO_FILE
        return FileVersion(version.number, version.digest)
