"""Nodes that exchange reports, for the tests of limits."""

import random

from basilwinch.admission import Admission, AdmissionConfig, AdmitRequest
from basilwinch.catalog import Organisation
from basilwinch.observability import DecisionLog

__all__ = ["Nodes", "send_poisson_requests"]


class Nodes:
    """Admission of several nodes, with reports on a virtual clock.

    :param loss: fraction of the reports that are lost, 0 to 1
    """

    def __init__(self, count, organisations, config=None, loss=0.0, seed=0):
        log = DecisionLog.for_benchmark()
        config = config or AdmissionConfig(max_queued_per_organisation=10**6, max_queued=10**6)
        self.rules = {rules.name: rules for rules in organisations}
        self.nodes = [Admission.from_config(config, log) for _ in range(count)]
        self.rng = random.Random(seed)
        self.loss = loss
        self.connected = lambda i, j: True
        for node in self.nodes:
            node.update(self.rules, count, 0.0)
        self.interval = self.nodes[0].report_interval(count)

    def report(self, now):
        reports = [node.collect_usage(now) for node in self.nodes]
        for j, receiver in enumerate(self.nodes):
            for i, usages in enumerate(reports):
                if i != j and self.connected(i, j) and self.rng.random() >= self.loss:
                    receiver.record_peer_usage(f"n{i}", usages, now)

    def ask(self, node, organisation, now, tokens=1):
        request = AdmitRequest("r", organisation, "m", tokens)
        entry = self.nodes[node].offer(request, now)
        if entry:
            self.nodes[node].finish(request, entry, tokens, now)
        return bool(entry)


def send_poisson_requests(nodes, demand, seconds, pick=None, seed=1, start=0.0):
    """Send Poisson requests of organisation "o" to random nodes.

    :returns: (requests, times of the granted ones)
    """
    rng = random.Random(seed)
    now, next_report, asked, granted = start, start, 0, []
    while True:
        now += rng.expovariate(demand)
        if now > start + seconds:
            return asked, granted
        while next_report <= now:
            nodes.report(next_report)
            next_report += nodes.interval
        asked += 1
        node = pick(rng, now) if pick else rng.randrange(len(nodes.nodes))
        if nodes.ask(node, "o", now):
            granted.append(now)


def organisation(requests_per_s=0.0, tokens_per_s=0.0, **rules):
    return Organisation("o", "", requests_per_s, tokens_per_s, **rules)
