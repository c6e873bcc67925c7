"""Tests of the text form of a configuration."""

import attrs

from eelgrassdale.catalog import (
    configuration_from,
    diff_configurations,
    parse_configuration,
    print_configuration,
)
from eelgrassdale.catalog.tests.test_encoding import OBJECTS


def test_text_form_is_stable(snapshot):
    assert print_configuration(configuration_from(4, reversed(OBJECTS))) == snapshot


def test_parsed_text_equals_the_configuration():
    configuration = configuration_from(0, OBJECTS)
    assert parse_configuration(print_configuration(configuration)).ok == configuration


def test_diff_shows_only_the_changed_field():
    old = configuration_from(4, OBJECTS)
    changed = [attrs.evolve(OBJECTS[0], weight=5), *OBJECTS[1:]]
    lines = diff_configurations(old, configuration_from(0, changed)).splitlines()
    assert [line for line in lines[2:] if line[0] in "+-"] == [
        '-      "weight": 3',
        '+      "weight": 5',
    ]


def test_diff_of_equal_configurations_is_empty():
    old = configuration_from(4, OBJECTS)
    assert diff_configurations(old, configuration_from(9, OBJECTS)) == ""
