"""Counters, gauges and timings, kept in the process and sent to statsd."""

import threading

from statsd import StatsClient


class Metrics:
    """Metrics of a process, sent to a statsd server if one is configured.

    Counters are kept as totals since the start, so that the `status` command can
    report them without a statsd server. Thread-safe.

    Parameters
    ----------
    statsd_address : str
        `host:port` of the statsd server, or empty for none.
    prefix : str
        Prefix of all metric names on the statsd server.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count("requests")
    >>> metrics.count("requests", 2)
    >>> metrics.totals()["requests"]
    3

    """

    def __init__(
        self, *, statsd_address: str = "", prefix: str = "eelgrassdale"
    ) -> None:
        self._lock = threading.Lock()
        self._totals: dict[str, int] = {}
        self._client = _statsd_client(statsd_address, prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a counter."""
        with self._lock:
            self._totals[name] = self._totals.get(name, 0) + amount
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to its current value."""
        with self._lock:
            self._totals[name] = int(value)
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Send one duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, milliseconds)

    def totals(self) -> dict[str, int]:
        """Return all counters and gauges by name."""
        with self._lock:
            return dict(self._totals)


def _statsd_client(address: str, prefix: str) -> StatsClient | None:
    if not address:
        return None
    host, _, port = address.rpartition(":")
    return StatsClient(host=host, port=int(port), prefix=prefix)
