"""The judges beside the decision module, of zones and of storms, as parts of the node."""

from __future__ import annotations

from brackenladder.balance import Balancer
from brackenladder.net.inner import Inner
from brackenladder.operation import Operation
from brackenladder.storms import Storms
from brackenladder.zones import Judge


class ZonesPart(Inner):
    """`[zones]`: who decides between zones."""

    name = "zones"

    def begin(self) -> None:
        self.give(self.judge(self.hosting.operation()))

    def reload(self, operation: Operation) -> None:
        self.give(self.judge(operation))

    def stop(self, farewell: bool) -> None:
        if not self.hosting.ending:
            self.give(None)

    def judge(self, operation: Operation) -> Judge:
        """A judge by the operators' rules; the one there is keeps what it learned."""
        assert operation.zones is not None
        zones, here = self.node.zones, self.node.settings.zone
        rules = operation.zones.rules(self.hosting.zone(), lambda name: zones.setdefault(name, len(zones)))
        judge = self.node.balancer.judge
        if isinstance(judge, Judge) and judge.here == here:
            judge.renew(rules)
            return judge
        return Judge(rules, here)

    def give(self, judge: Judge | None) -> None:
        """The module asks this judge from now on; one that is told of nothing yet begins with it."""
        node = self.node
        if node.started:
            node.post(node.balancer.new_zones, judge)
        else:
            node.balancer = Balancer(node.settings, node.config.seed, node, judge)


class StormsPart(Inner):
    """`[storms]`: who is let in during a storm; the first tier alone refuses."""

    name = "storms"

    def begin(self) -> None:
        self.reload(self.hosting.operation())

    def reload(self, operation: Operation) -> None:
        node = self.node
        assert operation.storms is not None
        rules, judge = operation.storms.rules(), node.balancer.storms
        if node.settings.tier > 0:
            judge = None
        elif isinstance(judge, Storms):  # what it has learned stays
            judge.rules = rules
        else:
            worth = [c.worth for c in node.settings.classes]
            judge = Storms(rules, worth, node.config.seed, node.now())
        node.post(node.balancer.new_storms, judge)

    def stop(self, farewell: bool) -> None:
        if not self.hosting.ending:
            self.node.post(self.node.balancer.new_storms, None)
