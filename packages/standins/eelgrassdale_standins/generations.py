"""Observation of the generations that running nodes have in force."""

import threading
from collections import defaultdict
from itertools import pairwise

from eelgrassdale.wire.client import WireError
from eelgrassdale_standins.deployment import Deployment

POLL_SECONDS = 0.05


class GenerationLog:
    """Probes every node again and again and keeps what each life answered.

    Used as a context manager. A restarted node has a new incarnation and
    starts from nothing, so each incarnation is judged by itself.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._seen: dict[tuple[str, int], list[int]] = defaultdict(list)
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    def __enter__(self) -> "GenerationLog":
        """Start to probe."""
        topology = self._deployment.topology
        for node in (*topology.entries, *topology.agents):
            thread = threading.Thread(target=self._run, args=(node.name,), daemon=True)
            self._threads.append(thread)
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop to probe."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def decreases(self) -> list[tuple[str, int, int]]:
        """Return (node, before, after) of each decrease within one life."""
        return [
            (name, before, after)
            for (name, _), seen in sorted(self._seen.items())
            for before, after in pairwise(seen)
            if after < before
        ]

    def lives(self) -> int:
        """Return the number of processes that answered."""
        return len(self._seen)

    def _run(self, name: str) -> None:
        while not self._stopping.wait(POLL_SECONDS):
            try:
                answer = self._deployment.probe(name)
            except (WireError, KeyError):
                continue
            self._seen[name, answer.incarnation].append(answer.generation)
