"""Settings of the duties; times in seconds, rates per second."""

from attrs import frozen

MAX_CANDIDATES = 3


@frozen(kw_only=True)
class DutySettings:
    """What one holder does for all gateways, and the bounds it keeps.

    `calls_per_second` is how many calls the cloud API accepts from all gateways
    together. `lease_seconds` is the time after which a silent holder is replaced.
    """

    reports_usage: bool
    orders_servers: bool
    calls_per_second: float = 1.0
    lease_seconds: float = 3.0
    thaw_seconds: float = 0.3
    window_seconds: float = 5.0
    usage_tolerance: float = 0.05
    late_seconds: float = 10.0
    requires_fence: bool = False

    @property
    def renew_seconds(self) -> float:
        """Interval between two renewals of the lease."""
        return self.lease_seconds / 3

    @property
    def valid_seconds(self) -> float:
        """How long a lease is valid, counted from before its write was sent."""
        return self.lease_seconds * 3 / 4

    @property
    def takeover_seconds(self) -> float:
        """How long a candidate observes an unchanged lease before it takes over."""
        return self.lease_seconds * 4 / 3

    @property
    def poll_seconds(self) -> float:
        """Interval between two readings of the lease by a candidate."""
        return self.lease_seconds / 2

    @property
    def store_call_seconds(self) -> float:
        """Time limit of a call for the lease, so that a lost one can be repeated."""
        return self.lease_seconds / 4

    @property
    def cloud_call_seconds(self) -> float:
        """Time limit of a call of the cloud API after it was sent.

        It is shorter than the time from the end of a lease to the earliest takeover,
        so that no call of the old holder arrives after one of the new holder.
        """
        return min(1.0, self.lease_seconds / 3)
