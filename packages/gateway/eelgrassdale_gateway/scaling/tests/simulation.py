"""A holder of the duty over servers that boot and leave in simulated time."""

import asyncio

from prometheus_client import CollectorRegistry

from eelgrassdale.clock import ManualClock
from eelgrassdale_gateway.model import Autoscaling
from eelgrassdale_gateway.scaling.metrics import ScalingMetrics
from eelgrassdale_gateway.scaling.picture import Counts, Subject
from eelgrassdale_gateway.scaling.runner import Fleet, ScalingRunner

BOOT_SECONDS = 5.0
SLOTS = 10
BOUNDS = Autoscaling(min_servers=2, max_servers=20, boot_seconds=BOOT_SECONDS)


class CallFailed(Exception):
    def __init__(self, may_have_run):
        self.may_have_run = may_have_run


class Simulation:
    """Servers of the service `m`; `demand` has the requests in each data centre."""

    def __init__(self, servers, demand, bounds=BOUNDS):
        self.clock = ManualClock()
        self.bounds = {"m": bounds}
        self.ready = dict(servers)
        self.demand = demand
        self.booting = []
        self.orders = []
        self.out = frozenset()
        self.age_seconds = 0.0
        self.permit = "holder-1"
        self.failure = None
        self.boots = True
        self.registry = CollectorRegistry()
        self.runner = ScalingRunner(
            clock=self.clock,
            read_fleet=self._read_fleet,
            current_permit=lambda: self.permit,
            order_servers=self._order,
            metrics=ScalingMetrics(self.registry),
        )

    def run(self, seconds):
        """Decide each second; return the orders of that time as (time, zone, count)."""
        first = len(self.orders)
        for _ in range(seconds):
            self._boot()
            asyncio.run(self.runner.step())
            self.clock.advance(seconds=1.0)
        return self.orders[first:]

    def metric(self, name, data_centre="a"):
        labels = {"service": "m", "data_centre": data_centre}
        return self.registry.get_sample_value(f"eelgrassdale_{name}", labels)

    async def _order(self, _permit, _service, data_centre, count):
        now = self.clock.monotonic()
        self.orders.append((now, data_centre, count))
        if self.failure is None or self.failure.may_have_run:
            if count < self.ready.get(data_centre, 0):
                self.ready[data_centre] = count
            elif self.boots:
                self.booting.append((now + BOOT_SECONDS, data_centre, count))
        if self.failure is not None:
            raise self.failure

    def _boot(self):
        now = self.clock.monotonic()
        for booted in [item for item in self.booting if item[0] <= now]:
            self.booting.remove(booted)
            _, data_centre, count = booted
            self.ready[data_centre] = max(count, self.ready.get(data_centre, 0))

    def _read_fleet(self, _known):
        counts = {}
        for zone, ready in self.ready.items():
            running = min(self.demand[zone], SLOTS * ready)
            counts[Subject(service="m", data_centre=zone)] = Counts(
                ready_servers=ready,
                slots_per_server=SLOTS if ready else 0,
                running=running,
                waiting=self.demand[zone] - running,
            )
        return Fleet(
            bounds=self.bounds,
            counts=counts,
            data_centres_out=self.out,
            age_seconds=self.age_seconds,
        )
