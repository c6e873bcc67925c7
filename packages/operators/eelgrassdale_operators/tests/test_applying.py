"""Tests of applying a configuration to an in-memory object API."""

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
    """In-memory object API with versions.

    `before_head_put` is called once, before the next write of the head. With
    `lose_answer` the next write of the head succeeds but returns an error.
    """

    def __init__(self):
        self.values = {}
        self.before_head_put = None
        self.lose_answer = False

    def get(self, name):
        """Return the stored value, or None."""
        return Ok(self.values.get(name))

    def put(self, name, body, *, expected_version):
        """Store the body if its version is `expected_version`, else a conflict."""
        if name == "head" and self.before_head_put is not None:
            concurrent_change, self.before_head_put = self.before_head_put, None
            concurrent_change()
        current = self.values.get(name)
        if (current.version if current else None) != expected_version:
            return Error(ResultError(code=ResultCode.CONFIGURATION_CONFLICT))
        version = (expected_version or 0) + 1
        self.values[name] = ObjectValue(name=name, version=version, body=body)
        if name == "head" and self.lose_answer:
            self.lose_answer = False
            return Error(ResultError(code=ResultCode.STORE_UNAVAILABLE))
        return Ok(version)


def configuration_with_weight(weight):
    """Return a configuration with one client account of this weight."""
    return build_configuration([ClientAccount(name="anna", weight=weight)]).ok


def test_applied_configuration_is_read_back():
    store = MemoryStore()
    assert apply_configuration(store, configuration_with_weight(2)).ok.generation == 1
    stored = read_stored(store).ok.configuration
    assert stored == attrs.evolve(configuration_with_weight(2), generation=1)


def test_unchanged_configuration_keeps_its_generation():
    store = MemoryStore()
    apply_configuration(store, configuration_with_weight(2))
    second = apply_configuration(store, configuration_with_weight(2)).ok
    assert (second.generation, second.changed) == (1, False)


def test_concurrent_change_is_refused_with_a_diff():
    store = MemoryStore()
    apply_configuration(store, configuration_with_weight(2))
    store.before_head_put = lambda: apply_configuration(
        store, configuration_with_weight(3)
    )
    error = apply_configuration(store, configuration_with_weight(4)).error
    assert error.code is ResultCode.CONFIGURATION_CONFLICT
    assert '-      "weight": 3' in error.problems[0].value
    assert read_stored(store).ok.configuration.accounts["anna"].weight == 3


def test_lost_write_answer_is_resolved_by_reading_back():
    store = MemoryStore()
    store.lose_answer = True
    assert apply_configuration(store, configuration_with_weight(2)).ok.generation == 1


def test_unexpected_generation_is_refused():
    store = MemoryStore()
    apply_configuration(store, configuration_with_weight(2))
    refused = apply_configuration(
        store, configuration_with_weight(3), expected_generation=7
    )
    assert refused.error.code is ResultCode.CONFIGURATION_CONFLICT
