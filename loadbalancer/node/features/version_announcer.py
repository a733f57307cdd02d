"""Announces the versions that the node acts on to every feature, once for each new version."""

from __future__ import annotations

import json
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

import loadbalancer
from loadbalancer.config.operator_config import OperatorConfig
from loadbalancer.node.features.feature import Version, VersionSource

if TYPE_CHECKING:
    from loadbalancer.node.config import Config
    from loadbalancer.node.features.host import NodeFeatureHost

# Settings that differ from node to node. They are left out of the digest, so that nodes that act on the same
# file announce the same digest.
NODE_SETTINGS = frozenset(("self_index", "zone"))
# Settings of the operator configuration that differ likewise, because the environment overrides them.
NODE_MEMBERSHIP = {"listen": "", "advertise": ""}
# Radix in which the components of the program's version form one number.
PROGRAM_NUMBER_BASE = 1_000
DIGEST_BYTES = 8  # length of a digest


class VersionAnnouncer:
    """Announces versions to all features while at least one of them is a follower (see `NodeEvents`).

    Attributes:
        in_force: The last version announced, by source.
    """

    def __init__(self, host: NodeFeatureHost) -> None:
        self.host = host
        self.in_force: dict[VersionSource, Version] = {}

    def announce(self, version: Version) -> None:
        """Announces a version to all features, unless it equals the last one of its source."""
        if self.in_force.get(version.source) == version:
            return
        self.in_force[version.source] = version
        for feature in list(self.host.features.values()):
            self.host.run_guarded(feature, feature.on_version, version)

    def restart(self) -> None:
        """Announces all versions in force, when there is a follower after there was none."""
        self.in_force.clear()
        self._announce_program()
        self.announce_settings(self.host.node.config)
        self.announce_operator_config(self.host.lifecycle.operator_config)
        self.announce_members()

    def _announce_program(self) -> None:
        number = 0
        for component in loadbalancer.__version__.split("."):
            number = number * PROGRAM_NUMBER_BASE + int(component)
        digest = digest_of(loadbalancer.__version__)
        self.announce(Version(VersionSource.PROGRAM, "", number, digest))

    def announce_settings(self, config: Config) -> None:
        """Announces the platform's settings, if they have changed."""
        if not self.host.events.has_followers:
            return
        settings = config.filed.get("settings") or {}
        shared = {
            key: value for key, value in settings.items() if key not in NODE_SETTINGS
        }
        content = json.dumps(shared, sort_keys=True)
        self._announce_file(VersionSource.SETTINGS, "platform", content)

    def announce_operator_config(self, operator_config: OperatorConfig | None) -> None:
        """Announces the operator configuration, if it has changed."""
        if not self.host.events.has_followers or operator_config is None:
            return
        shared = msgspec.to_builtins(operator_config)
        if shared["cells"] is None:
            # Without this table the digest equals that of releases that do not know the table.
            del shared["cells"]
        if shared.get("membership"):
            shared["membership"] |= NODE_MEMBERSHIP
        content = json.dumps(shared, sort_keys=True)
        self._announce_file(VersionSource.OPERATION, "operators", content)

    def _announce_file(self, source: VersionSource, origin: str, content: str) -> None:
        """Announces a file if its content has changed; the version's number is the count of reloads."""
        digest, last = digest_of(content), self.in_force.get(source)
        if last is None or last.digest != digest:
            number = self.host.node.metrics.sighup_applied
            self.announce(Version(source, origin, number, digest))

    def announce_members(self) -> None:
        """Announces the live members as this node sees them, if they have changed."""
        if not self.host.events.has_followers or self.host.members is None:
            return
        digest = digest_of("\n".join(sorted(self.host.live_members())))
        last = self.in_force.get(VersionSource.MEMBERS)
        if last is None or last.digest != digest:
            number = last.number + 1 if last is not None else 1
            self.announce(
                Version(VersionSource.MEMBERS, self.host.name, number, digest)
            )


def digest_of(text: str) -> str:
    """Returns the digest of a text, 16 hex digits."""
    data = text.encode(errors="surrogatepass")
    return blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
