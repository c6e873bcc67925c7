"""Tests of the distinction between a server that ended and a closed connection."""

import asyncio

import pytest

from eelgrassdale.http1 import ConnectFailed
from eelgrassdale_gateway.model import BackendServer
from eelgrassdale_gateway.serverends import ServerEndDetector
from eelgrassdale_gateway.tests.harness import ScriptedBackend, reply_with

SERVER = BackendServer(
    id="s-1",
    service="engine",
    address=("127.0.0.1", 1),
    data_centre="n1",
    region="n",
    slots=4,
)


class FakeConnection:
    def close(self):
        pass


def scripted_detector(results):
    """Return a detector whose connections end as listed, and the number opened."""
    opened = []

    async def open_connection(_address):
        result = results[min(len(opened), len(results) - 1)]
        opened.append(result)
        await asyncio.sleep(0.01)
        if result is None:
            return FakeConnection()
        raise ConnectFailed("scripted") from result

    return ServerEndDetector(open_connection=open_connection), opened


def test_server_that_refuses_connections_has_ended():
    async def scenario():
        backend = ScriptedBackend(reply=reply_with(lambda _req: b""))
        await backend.start()
        server = BackendServer(
            id="s-1",
            service="engine",
            address=backend.address,
            data_centre="n1",
            region="n",
            slots=4,
        )
        detector = ServerEndDetector()
        before = await detector.has_ended(server)
        backend.end()
        return before, await detector.has_ended(server)

    assert asyncio.run(scenario()) == (False, True)


@pytest.mark.parametrize("error", [TimeoutError(), OSError("unreachable"), None])
def test_server_that_cannot_be_reached_may_run(error):
    """Guards against prompts that are blamed for a network that is cut."""
    detector, _ = scripted_detector([error])
    assert not asyncio.run(detector.has_ended(SERVER))


def test_requests_that_lose_a_server_together_share_one_connection():
    """Guards against a burst of connections to a server that has too many."""

    async def scenario():
        detector, opened = scripted_detector([ConnectionRefusedError()])
        ended = await asyncio.gather(*(detector.has_ended(SERVER) for _ in range(20)))
        return set(ended), len(opened), await detector.has_ended(SERVER), len(opened)

    assert asyncio.run(scenario()) == ({True}, 1, True, 1)


def test_server_found_running_before_a_connection_was_lost_is_asked_again():
    """Guards against an end that is missed as an earlier check was under way."""

    async def scenario():
        detector, opened = scripted_detector([None, ConnectionRefusedError()])
        first = asyncio.ensure_future(detector.has_ended(SERVER))
        await asyncio.sleep(0.005)
        later = await asyncio.gather(*(detector.has_ended(SERVER) for _ in range(20)))
        return await first, set(later), len(opened)

    assert asyncio.run(scenario()) == (False, {True}, 2)


def test_request_that_meets_a_check_as_it_ends_starts_another():
    """Guards against a loop that never lets the event loop go on."""

    async def scenario():
        detector, opened = scripted_detector([None, ConnectionRefusedError()])
        results = []

        async def ask_once_the_check_is_done():
            while not (check := detector._checks.get(SERVER.incarnation)):
                await asyncio.sleep(0)
            check.task.add_done_callback(
                lambda _: results.append(
                    asyncio.ensure_future(detector.has_ended(SERVER))
                )
            )
            while not check.task.done():
                await asyncio.sleep(0)
            return await detector.has_ended(SERVER)

        first = asyncio.ensure_future(detector.has_ended(SERVER))
        late = await ask_once_the_check_is_done()
        return await first, late, await results[0], len(opened)

    async def run():
        async with asyncio.timeout(2):
            return await scenario()

    assert asyncio.run(run()) == (False, True, True, 2)
