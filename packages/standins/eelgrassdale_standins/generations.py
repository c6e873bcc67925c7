"""Records the configuration generations that running nodes have in force."""

import threading
from collections import defaultdict
from itertools import pairwise

from eelgrassdale.wire.client import WireError
from eelgrassdale_standins.deployment import Deployment

POLL_SECONDS = 0.05


class GenerationLog:
    """Polls every node and records the generations reported by each incarnation.

    Used as a context manager. A restarted node has a new incarnation and
    starts without a configuration, so each incarnation is checked separately.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._generations: dict[tuple[str, int], list[int]] = defaultdict(list)
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    def __enter__(self) -> "GenerationLog":
        """Start polling."""
        topology = self._deployment.topology
        for node in (*topology.entries, *topology.agents):
            thread = threading.Thread(target=self._poll, args=(node.name,), daemon=True)
            self._threads.append(thread)
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop polling."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def decreases(self) -> list[tuple[str, int, int]]:
        """Return (node, before, after) of each decrease within one incarnation."""
        return [
            (name, before, after)
            for (name, _), generations in sorted(self._generations.items())
            for before, after in pairwise(generations)
            if after < before
        ]

    def count_incarnations(self) -> int:
        """Return the number of incarnations that answered a probe."""
        return len(self._generations)

    def _poll(self, name: str) -> None:
        while not self._stopping.wait(POLL_SECONDS):
            try:
                answer = self._deployment.probe(name)
            except (WireError, KeyError):
                continue
            self._generations[name, answer.incarnation].append(answer.generation)
