"""Tests of gateways that share what they know of deadly prompts."""

import asyncio
from random import Random

import pytest

from eelgrassdale.clock import SystemClock
from eelgrassdale_gateway.messages import (
    CrashNotice,
    PromptNotice,
    QuarantineNotice,
    SoundNotice,
    decode,
    encode,
)
from eelgrassdale_gateway.quarantine import PromptQuarantine, QuarantineExchange
from eelgrassdale_gateway.quarantine.exchange import MAX_PARTS_PER_QUARANTINE
from eelgrassdale_gateway.shares import single_gateway_group

TIMEOUT_SECONDS = 5.0
LOSS = 0.3


class Network:
    """Exchanges of several gateways over a network that loses datagrams."""

    def __init__(self, *, count, loss=LOSS, seed=1):
        self._rng = Random(seed)
        self._loss = loss
        self.sent_bytes = 0
        self.quarantines = {}
        self.exchanges = {}
        for number in range(count):
            self.add(("10.0.0.1", number))

    def add(self, address):
        clock = SystemClock()
        quarantine = PromptQuarantine(clock=clock, gateway_group=single_gateway_group)
        self.quarantines[address] = quarantine
        self.exchanges[address] = QuarantineExchange(
            clock=clock,
            quarantine=quarantine,
            peers=lambda: [peer for peer in self.exchanges if peer != address],
            send=self._send,
            seed=address[1],
        )

    def _send(self, data, address):
        self.sent_bytes += len(data)
        if self._rng.random() >= self._loss:
            self.exchanges[address].handle(decode(data))

    async def all_refuse(self, parts):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not all(q.is_refused(parts) for q in self.quarantines.values()):
                await asyncio.sleep(0.01)


def run_network(scenario, **options):
    async def run():
        network = Network(**options)
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(e.run()) for e in network.exchanges.values()]
            await scenario(network)
            for task in tasks:
                task.cancel()
        return network

    return asyncio.run(run())


def crash(quarantine, number):
    """Record one of several crashes, a second after the next lower one."""
    at = SystemClock().monotonic() - 10.0 + number
    quarantine.record_crash(f"s-{number}", frozenset({"x", f"o-{number}"}), at=at)


@pytest.mark.parametrize("seed", range(5))
def test_crashes_seen_by_different_gateways_are_put_together(seed):
    async def scenario(network):
        for number, quarantine in enumerate(network.quarantines.values()):
            crash(quarantine, number)
        await network.all_refuse(frozenset({"x"}))

    run_network(scenario, count=3, seed=seed)


def test_gateway_that_starts_later_learns_of_a_quarantine():
    """Guards against a restarted gateway that lets deadly requests through again."""

    async def scenario(network):
        first = next(iter(network.quarantines.values()))
        for number in range(3):
            crash(first, number)
        await asyncio.sleep(1.0)
        network.add(("10.0.0.1", 99))
        await network.all_refuse(frozenset({"x"}))

    run_network(scenario, count=4)


def test_no_datagrams_without_findings():
    async def scenario(network):
        quarantine = next(iter(network.quarantines.values()))
        for number in range(100):
            quarantine.record_answer(frozenset({f"p-{number % 7}"}))
        await asyncio.sleep(0.6)

    assert run_network(scenario, count=4).sent_bytes == 0


def test_malformed_findings_are_dropped():
    """Guards against a quarantine of no parts, which would refuse all requests."""
    network = Network(count=1)
    exchange = next(iter(network.exchanges.values()))
    quarantine = next(iter(network.quarantines.values()))
    notice = PromptNotice(
        crashes=[CrashNotice(), CrashNotice(server="s-1", parts=[])],
        sound_starts=[SoundNotice()],
        quarantines=[
            QuarantineNotice(is_active=True),
            QuarantineNotice(parts=[], is_active=True, sequence=9),
            QuarantineNotice(parts=[""], is_active=True, sequence=9),
        ],
    )
    exchange.handle(decode(encode(notice)))
    exchange.handle(decode(encode(PromptNotice())))
    assert quarantine.states() == []
    assert not quarantine.is_suspect(frozenset({"x"}))


def test_datagrams_of_a_large_incident_stay_small():
    """Guards against datagrams that links drop because of their size."""
    sizes = []

    async def scenario(network):
        exchange = next(iter(network.exchanges.values()))
        exchange._send = lambda data, _address: sizes.append(len(data))
        quarantine = next(iter(network.quarantines.values()))
        for number in range(60):
            parts = frozenset(f"model/{number}-{part:016x}" for part in range(4))
            quarantine.record_crash(f"server-{number}", parts)
        await asyncio.sleep(0.1)

    run_network(scenario, count=2)
    assert 0 < max(sizes) < 4096


def test_crash_under_a_prompt_of_many_parts_is_shared_whole():
    """Guards against a deadly part that is left out behind many others."""
    names = [f"o-{number:02}" for number in range(100)]

    async def scenario(network):
        for number, quarantine in enumerate(network.quarantines.values()):
            at = SystemClock().monotonic() - 10.0 + number
            own = {f"own-{number}"}
            quarantine.record_crash(f"s-{number}", frozenset(names) | own, at=at)
        await network.all_refuse(frozenset(names))
        assert not any(
            quarantine.is_refused(frozenset(names[:-1]))
            for quarantine in network.quarantines.values()
        )

    run_network(scenario, count=3, loss=0.0)


def test_quarantine_of_too_many_parts_is_dropped_whole():
    """Guards against a quarantine that refuses more prompts as it lacks some parts."""
    network = Network(count=1)
    exchange = next(iter(network.exchanges.values()))
    parts = [f"o-{number:03}" for number in range(MAX_PARTS_PER_QUARANTINE + 1)]
    notice = QuarantineNotice(parts=parts, is_active=True, sequence=1)
    exchange.handle(decode(encode(PromptNotice(quarantines=[notice]))))
    assert next(iter(network.quarantines.values())).states() == []
