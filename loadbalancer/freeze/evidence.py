"""Opens and closes incidents on the evidence that the nodes report.

Each node counts the results of its attempts over a window and publishes a report of the faults it observes
(`FaultWitness`). The coordinator combines the reports of all members (`EvidenceEvaluator`). A single report
never opens an incident: more than half of the live members must have reported, and of the nodes with enough
data on a fault (at least two) more than half must observe it. The incident opens when this has been the case
for `confirm_us`. It closes when, for `clear_us`, never more than a quarter of these nodes have observed
the fault, so the incident of an intermittent fault stays open.

This module does no I/O. All times are monotonic microseconds that the caller passes in.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Set
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

RECORD_KIND = "evidence"  # kind of the published records that carry the reports
MAX_ZONES = 24  # zones in a report
MAX_SERVERS = 4_096  # servers whose attempts a node counts in a window
MIN_ATTEMPTS_PER_SERVER = 3  # in a window, not rejected; a server with fewer is ignored
MIN_ATTEMPTS_FOR_REJECTIONS = 30  # in a window, at all servers
MIN_OBSERVERS = 2  # nodes with enough data on a fault; with fewer, it counts as absent
OPEN_RATIO = 0.5  # fraction of observers above which the fault is present
CLEAR_RATIO = 0.25  # fraction of observers up to which the fault is absent
TENTHS = 10  # tenths in 1
UNKNOWN = -1  # in place of tenths, with too few attempts
NEVER = 0  # in place of a time


@dataclass(frozen=True)
class EvidenceRules:
    """When nodes report a fault, and when reports open and close an incident.

    Attributes:
        window_us: Length of the window over which a node counts attempts.
        zone_failure_ratio: A zone fails if at least this fraction of its servers fails; a server fails if
            more attempts at it fail than succeed.
        rejection_ratio: Servers are overloaded if they reject at least this fraction of attempts.
        confirm_us: How long a fault must be present before an incident opens.
        clear_us: How long a fault must be absent before its incident closes.
        severity: Severity of these incidents, from 1 (minor) to 3 (critical).
    """

    window_us: int = 5_000_000
    zone_failure_ratio: float = 0.5
    rejection_ratio: float = 0.5
    confirm_us: int = 2_000_000
    clear_us: int = 30_000_000
    severity: int = 2


class EndpointListVersion(NamedTuple):
    """The endpoint list that a node uses: who issued it, its number there, and a digest of its content."""

    origin: str = ""
    number: int = 0
    digest: str = ""


class FaultReport(msgspec.Struct, array_like=True, frozen=True):
    """A node's published report.

    Fractions are in tenths, so that a small difference does not cause a new record to be published.

    Attributes:
        zone_failure_tenths: By zone, the fraction of its servers that fail, of those with enough attempts.
        rejected_tenths: Fraction of attempts that servers rejected; UNKNOWN with too few attempts.
        endpoint_list: Version of the endpoint list that the node uses.
    """

    zone_failure_tenths: dict[str, int] = {}
    rejected_tenths: int = UNKNOWN
    endpoint_list: EndpointListVersion = EndpointListVersion()


def encode(report: FaultReport) -> bytes:
    """Encodes a report as the body of a record."""
    return msgspec.msgpack.encode(report)


def decode(body: bytes) -> FaultReport | None:
    """Decodes the report in a record's body; returns None if the body is malformed."""
    try:
        return msgspec.msgpack.decode(body, type=FaultReport)
    except msgspec.DecodeError:
        return None


# ---- on each node -------------------------------------------------------------------------------------


@dataclass(slots=True)
class AttemptCounts:
    """Results of the attempts at one server within a window."""

    succeeded: int = 0
    failed: int = 0
    rejected: int = 0

    @property
    def total(self) -> int:
        """Number of all attempts."""
        return self.succeeded + self.failed + self.rejected

    @property
    def conclusive(self) -> int:
        """Number of attempts that show whether the server works; a rejection does not."""
        return self.succeeded + self.failed


class FaultWitness:
    """Counts one node's attempts in the current window, and holds its report on the previous one.

    Attributes:
        rules: Length of the window.
        zones: The zone of each server, set by the host.
        window_ends_at: When the current window ends, in monotonic microseconds.
    """

    def __init__(self, rules: EvidenceRules) -> None:
        self.rules = rules
        self.zones: dict[str, str] = {}
        self._counts: dict[str, AttemptCounts] = {}
        self.window_ends_at = 0
        self._report = FaultReport()

    def record_attempt(self, server: str, *, succeeded: bool, rejected: bool) -> None:
        """Counts a completed attempt.

        An attempt that neither succeeded nor was rejected has failed. Attempts at further servers are ignored
        once MAX_SERVERS servers are counted in a window.
        """
        counts = self._counts.get(server)
        if counts is None:
            if len(self._counts) >= MAX_SERVERS:
                return
            counts = self._counts[server] = AttemptCounts()
        if succeeded:
            counts.succeeded += 1
        elif rejected:
            counts.rejected += 1
        else:
            counts.failed += 1

    def report(self, now: int, endpoint_list: EndpointListVersion) -> FaultReport:
        """Returns the report on the last complete window, with the current endpoint list.

        Starts a new window when the current one is over.
        """
        if now >= self.window_ends_at:
            self.window_ends_at = now + self.rules.window_us
            self._report = FaultReport(
                self._zone_failure_tenths(), self._rejected_tenths()
            )
            self._counts.clear()
        return msgspec.structs.replace(self._report, endpoint_list=endpoint_list)

    def _zone_failure_tenths(self) -> dict[str, int]:
        observed: dict[str, int] = {}
        failing: dict[str, int] = {}
        for server, counts in self._counts.items():
            zone = self.zones.get(server)
            if zone is None or counts.conclusive < MIN_ATTEMPTS_PER_SERVER:
                continue
            if zone not in observed and len(observed) >= MAX_ZONES:
                continue
            observed[zone] = observed.get(zone, 0) + 1
            failing[zone] = failing.get(zone, 0) + (counts.failed > counts.succeeded)
        return {zone: TENTHS * failing[zone] // observed[zone] for zone in observed}

    def _rejected_tenths(self) -> int:
        total = sum(counts.total for counts in self._counts.values())
        rejected = sum(counts.rejected for counts in self._counts.values())
        if total < MIN_ATTEMPTS_FOR_REJECTIONS:
            return UNKNOWN
        return TENTHS * rejected // total


# ---- on the coordinator -------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class IncidentDecision:
    """The decision to open or close an incident.

    Attributes:
        opens: Whether the incident is opened; otherwise it is closed.
        incident_id: Id of the incident.
        scope: Its scope as `parse_scope` reads it.
        reason: Explanation for operators.
    """

    opens: bool
    incident_id: str
    scope: str
    reason: str


class FaultFinding(NamedTuple):
    """The combined reports on one fault.

    Attributes:
        ratio: Fraction of the observers that report it.
        scope: Scope of an incident for it, as `parse_scope` reads it.
        reason: Explanation for operators.
    """

    ratio: float
    scope: str
    reason: str


@dataclass(slots=True)
class TrackedFault:
    """A fault that nodes report: an open incident, or one that may be opened.

    Attributes:
        scope: Scope of the incident.
        reason: Explanation for operators.
        present_since: Since when the fault has been present; NEVER if it is not.
        absent_since: Since when the fault has been absent; NEVER if it is not.
        opened: Whether the incident is open.
    """

    scope: str
    reason: str
    present_since: int = NEVER
    absent_since: int = NEVER
    opened: bool = False

    def update(self, now: int, finding: FaultFinding) -> None:
        """Applies the current finding."""
        if finding.ratio > OPEN_RATIO:
            self.present_since, self.absent_since = self.present_since or now, NEVER
            self.reason = finding.reason
        elif finding.ratio <= CLEAR_RATIO:
            self.mark_absent(now)
        elif self.opened:
            # Between the two thresholds the incident stays open.
            self.absent_since = NEVER
        else:
            self.present_since = NEVER

    def mark_absent(self, now: int) -> None:
        """Records that the fault is absent."""
        self.present_since, self.absent_since = NEVER, self.absent_since or now


class EvidenceEvaluator:
    """Decides which incidents to open and close from the reports of all nodes.

    Each coordinator creates its own when its term starts.

    Attributes:
        rules: Thresholds and times.
        faults: Tracked faults by incident id.
    """

    def __init__(self, rules: EvidenceRules) -> None:
        self.rules = rules
        self.faults: dict[str, TrackedFault] = {}

    def adopt(self, now: int, open_scopes: Mapping[str, str]) -> None:
        """Takes over the incidents that an earlier coordinator opened.

        `open_scopes` has the scope of each, by incident id. The time until they clear starts again at `now`.
        """
        for incident_id, scope in open_scopes.items():
            self.faults.setdefault(
                incident_id, TrackedFault(scope, "", absent_since=now, opened=True)
            )

    def evaluate(
        self, now: int, reports: Mapping[str, FaultReport], live: Collection[str]
    ) -> list[IncidentDecision]:
        """Returns the incidents to open and to close now.

        Args:
            now: Current time in monotonic microseconds.
            reports: The latest report of each node.
            live: Names of the live members.
        """
        members = live if isinstance(live, Set) else frozenset(live)
        current = {name: report for name, report in reports.items() if name in members}
        # Too few reports to decide whether a fault is present or absent
        if 2 * len(current) <= len(live):
            for fault in self.faults.values():
                fault.present_since = fault.absent_since = NEVER
            return []
        findings = self.findings(current)
        for incident_id, finding in findings.items():
            fault = self.faults.setdefault(
                incident_id,
                TrackedFault(finding.scope, finding.reason, absent_since=now),
            )
            fault.update(now, finding)
        return self._decisions(now, findings)

    def _decisions(
        self, now: int, findings: Mapping[str, FaultFinding]
    ) -> list[IncidentDecision]:
        decisions: list[IncidentDecision] = []
        for incident_id, fault in list(self.faults.items()):
            if incident_id not in findings:
                fault.mark_absent(now)
            if not fault.opened and self._is_confirmed(now, fault):
                fault.opened = True
                decisions.append(
                    IncidentDecision(True, incident_id, fault.scope, fault.reason)
                )
            elif fault.opened and self._is_cleared(now, fault):
                del self.faults[incident_id]
                decisions.append(
                    IncidentDecision(
                        False, incident_id, fault.scope, "the fault has cleared"
                    )
                )
            elif not fault.opened and fault.absent_since:
                del self.faults[incident_id]
        return decisions

    def _is_confirmed(self, now: int, fault: TrackedFault) -> bool:
        present_since = fault.present_since
        return present_since != NEVER and now >= present_since + self.rules.confirm_us

    def _is_cleared(self, now: int, fault: TrackedFault) -> bool:
        absent_since = fault.absent_since
        return absent_since != NEVER and now >= absent_since + self.rules.clear_us

    def findings(self, reports: Mapping[str, FaultReport]) -> dict[str, FaultFinding]:
        """Combines the reports; returns the findings by incident id."""
        return (
            self._zone_findings(reports)
            | self._rejection_finding(reports)
            | self._endpoint_list_finding(reports)
        )

    def _zone_findings(
        self, reports: Mapping[str, FaultReport]
    ) -> dict[str, FaultFinding]:
        tenths_by_zone: dict[str, list[int]] = {}
        for report in reports.values():
            for zone, tenths in report.zone_failure_tenths.items():
                tenths_by_zone.setdefault(zone, []).append(tenths)
        threshold = TENTHS * self.rules.zone_failure_ratio
        findings = {}
        for zone, observed in sorted(tenths_by_zone.items()):
            failing = sum(tenths >= threshold for tenths in observed)
            ratio = failing / len(observed) if len(observed) >= MIN_OBSERVERS else 0.0
            reason = (
                f"{failing} of {len(observed)} nodes report"
                f" {self.rules.zone_failure_ratio:.0%} of its servers as failing"
            )
            findings[f"zone-{zone}-fails"] = FaultFinding(ratio, f"zone={zone}", reason)
        return findings

    def _rejection_finding(
        self, reports: Mapping[str, FaultReport]
    ) -> dict[str, FaultFinding]:
        observed = [
            report.rejected_tenths
            for report in reports.values()
            if report.rejected_tenths >= 0
        ]
        if len(observed) < MIN_OBSERVERS:
            return {}
        threshold = TENTHS * self.rules.rejection_ratio
        rejected = sum(tenths >= threshold for tenths in observed)
        reason = (
            f"{rejected} of {len(observed)} nodes report"
            f" {self.rules.rejection_ratio:.0%} of attempts as rejected"
        )
        finding = FaultFinding(rejected / len(observed), "*", reason)
        return {"servers-refuse": finding}

    def _endpoint_list_finding(
        self, reports: Mapping[str, FaultReport]
    ) -> dict[str, FaultFinding]:
        """Finds endpoint lists of the same origin and number whose content differs."""
        digests: dict[tuple[str, int], set[str]] = {}
        for report in reports.values():
            origin, number, digest = report.endpoint_list
            if digest:
                digests.setdefault((origin, number), set()).add(digest)
        diverging = [version for version, found in digests.items() if len(found) > 1]
        if not diverging:
            return {}
        affected = sum(
            report.endpoint_list[:2] in diverging for report in reports.values()
        )
        origin, number = diverging[0]
        reason = f"nodes hold different content of endpoint list {number} of {origin}"
        ratio = affected / len(reports) if affected >= MIN_OBSERVERS else 0.0
        return {"lists-diverge": FaultFinding(ratio, "*", reason)}
