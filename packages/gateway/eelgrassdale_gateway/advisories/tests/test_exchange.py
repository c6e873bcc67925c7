"""Tests of gateways that tell each other what backend servers said."""

from random import Random

import pytest

from eelgrassdale.clock import ManualClock
from eelgrassdale_gateway.advisories import (
    Advisory,
    AdvisoryExchange,
    AdvisoryRegistry,
)
from eelgrassdale_gateway.advisories.exchange import (
    INTERVAL_SECONDS,
    MAX_ADVISORIES_PER_DATAGRAM,
)
from eelgrassdale_gateway.messages import (
    AdvisoryNotice,
    ServerAdvisory,
    decode,
    encode,
)

LEAVING = Advisory(is_leaving=True)
SERVER = ("s-1", 1)


class Network:
    """Gateways that exchange advisories over a network that loses datagrams."""

    def __init__(self, *, count, loss=0.0, seed=1, listed=()):
        self.clock = ManualClock()
        self.sizes = []
        self.listed = set(listed)
        self._rng = Random(seed)
        self._loss = loss
        self.registries = {}
        self.exchanges = {}
        for number in range(count):
            self.add(("10.0.0.1", number))

    def add(self, address):
        registry = self.registries[address] = AdvisoryRegistry()
        self.exchanges[address] = AdvisoryExchange(
            clock=self.clock,
            registry=registry,
            peers=lambda: [peer for peer in self.exchanges if peer != address],
            send=self._send,
            is_listed_as_leaving=self.listed.__contains__,
            seed=address[1],
        )
        return registry

    def _send(self, data, address):
        self.sizes.append(len(data))
        if self._rng.random() >= self._loss:
            self.exchanges[address].handle(decode(data))

    def hear(self, number, server, advisory=LEAVING):
        registry = list(self.registries.values())[number]
        now = self.clock.monotonic()
        registry.record(server, advisory, sent_at=now, now=now)

    def limits(self, server):
        now = self.clock.monotonic()
        return {r.rate_limit(server, now=now) for r in self.registries.values()}

    def run(self, *, intervals, with_samples=False):
        for _ in range(intervals):
            self.clock.advance(seconds=INTERVAL_SECONDS)
            for exchange in self.exchanges.values():
                exchange.send_news()
                if with_samples:
                    exchange.send_sample()

    def know(self, server):
        return sum(r.is_leaving(server) for r in self.registries.values())


def test_gateway_that_heard_it_only_from_others_avoids_the_server():
    network = Network(count=5)
    network.hear(0, SERVER)
    network.run(intervals=1)
    assert network.know(SERVER) == 5


@pytest.mark.parametrize("seed", range(5))
def test_lost_datagrams_delay_the_news_only(seed):
    network = Network(count=9, loss=0.4, seed=seed)
    network.hear(0, SERVER)
    network.run(intervals=40, with_samples=True)
    assert network.know(SERVER) == 9


def test_restarted_gateway_learns_what_it_forgot():
    """Guards against a new process that sends to servers that leave."""
    network = Network(count=3)
    network.hear(0, SERVER)
    network.run(intervals=4)
    address = ("10.0.0.1", 2)
    registry = network.add(address)
    assert not registry.is_leaving(SERVER)
    next(iter(network.exchanges.values())).send_all(address)
    assert registry.is_leaving(SERVER)


def test_gateways_repeat_only_what_they_heard_themselves():
    """Guards against news that all gateways pass on to all others for ever."""
    network = Network(count=4)
    network.hear(0, SERVER)
    network.run(intervals=20)
    assert len(network.sizes) == 3 * 3


def test_nothing_is_sent_of_servers_that_the_list_shows_as_leaving():
    """Guards against datagrams between all gateways at each planned replacement."""
    network = Network(count=4)
    network.hear(0, SERVER)
    network.listed.add(SERVER)
    network.run(intervals=4, with_samples=True)
    assert network.sizes == []


def test_sample_of_many_servers_stays_small():
    """Guards against traffic that grows with the number of servers."""
    network = Network(count=2)
    for number in range(1000):
        network.hear(0, (f"server-{number:08}", 1_700_000_000_000 + number))
    network.exchanges[("10.0.0.1", 0)].send_sample()
    assert len(network.sizes) == 1
    assert network.sizes[0] < 64 * MAX_ADVISORIES_PER_DATAGRAM


@pytest.mark.parametrize("seed", range(5))
def test_limits_and_their_ends_reach_all_gateways(seed):
    """Guards against a limit that stays at gateways which send the server nothing."""
    network = Network(count=9, loss=0.4, seed=seed)
    network.hear(0, SERVER, Advisory(rate_limit=3.5))
    network.run(intervals=40, with_samples=True)
    assert network.limits(SERVER) == {3.5}
    network.hear(4, SERVER, Advisory())
    network.run(intervals=40, with_samples=True)
    assert network.limits(SERVER) == {None}


def test_server_that_names_a_slightly_different_limit_each_time_costs_few_datagrams():
    """Guards against news of each response to all gateways."""
    network = Network(count=4)
    for number in range(100):
        network.hear(0, SERVER, Advisory(rate_limit=4.0 + 0.01 * (number % 10)))
        network.run(intervals=1)
    assert len(network.sizes) == 3 * 3


@pytest.mark.parametrize("rate", [float("nan"), float("inf"), -1.0])
def test_invalid_limits_of_others_are_dropped(rate):
    network = Network(count=1)
    entry = ServerAdvisory(server="s", is_limited=True, rate_limit=rate, age_ms=0)
    notice = decode(encode(AdvisoryNotice(advisories=[entry])))
    network.exchanges[("10.0.0.1", 0)].handle(notice)
    assert network.registries[("10.0.0.1", 0)].all(now=0.0) == []


def test_malformed_advisories_are_dropped():
    network = Network(count=1)
    exchange = network.exchanges[("10.0.0.1", 0)]
    entries = [ServerAdvisory(), ServerAdvisory(server="s", is_leaving=False)]
    exchange.handle(decode(encode(AdvisoryNotice(advisories=entries))))
    exchange.handle(decode(encode(AdvisoryNotice())))
    assert network.registries[("10.0.0.1", 0)].all(now=0.0) == []
