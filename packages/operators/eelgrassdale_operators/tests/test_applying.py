"""Tests of applying a configuration against an object API in memory."""

import attrs
from expression import Error, Ok

from eelgrassdale.platform.objects import ObjectValue
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale_operators import (
    ClientAccount,
    apply_configuration,
    build_configuration,
    read_stored,
)


class MemoryStore:
    """Object API with versions; `before_put` runs once before a head update."""

    def __init__(self):
        self.values = {}
        self.before_put = None
        self.lose_answer = False

    def get(self, name):
        """Return a stored value or None."""
        return Ok(self.values.get(name))

    def put(self, name, body, *, if_version):
        """Write under a condition, like the object API."""
        if name == "head" and self.before_put is not None:
            race, self.before_put = self.before_put, None
            race()
        held = self.values.get(name)
        if (held.version if held else None) != if_version:
            return Error(ResultError(code=ResultCode.CONFIGURATION_CONFLICT))
        version = (if_version or 0) + 1
        self.values[name] = ObjectValue(name=name, version=version, body=body)
        if name == "head" and self.lose_answer:
            self.lose_answer = False
            return Error(ResultError(code=ResultCode.STORE_UNAVAILABLE))
        return Ok(version)


def configuration(weight):
    """Return a configuration with one account."""
    return build_configuration([ClientAccount(name="anna", weight=weight)]).ok


def test_applied_configuration_is_read_back():
    store = MemoryStore()
    assert apply_configuration(store, configuration(2)).ok.generation == 1
    stored = read_stored(store).ok.configuration
    assert stored == attrs.evolve(configuration(2), generation=1)


def test_unchanged_configuration_keeps_its_generation():
    store = MemoryStore()
    apply_configuration(store, configuration(2))
    again = apply_configuration(store, configuration(2)).ok
    assert (again.generation, again.changed) == (1, False)


def test_loser_of_a_race_gets_a_conflict_with_a_diff():
    store = MemoryStore()
    apply_configuration(store, configuration(2))
    store.before_put = lambda: apply_configuration(store, configuration(3))
    error = apply_configuration(store, configuration(4)).error
    assert error.code is ResultCode.CONFIGURATION_CONFLICT
    assert '-      "weight": 3' in error.problems[0].value
    assert read_stored(store).ok.configuration.accounts["anna"].weight == 3


def test_lost_answer_is_resolved_by_reading_back():
    store = MemoryStore()
    store.lose_answer = True
    assert apply_configuration(store, configuration(2)).ok.generation == 1


def test_unexpected_generation_is_refused():
    store = MemoryStore()
    apply_configuration(store, configuration(2))
    refused = apply_configuration(store, configuration(3), expected_generation=7)
    assert refused.error.code is ResultCode.CONFIGURATION_CONFLICT
