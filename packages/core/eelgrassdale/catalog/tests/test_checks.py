"""Tests of the validation of a configuration."""

import attrs
import pytest

from eelgrassdale.catalog import configuration_from, validate_configuration
from eelgrassdale.catalog.tests.test_encoding import OBJECTS


def faulty_fields(index: int, **changes: object) -> list[str]:
    """Return the fields with problems after a change to one object."""
    objects = list(OBJECTS)
    objects[index] = attrs.evolve(objects[index], **changes)
    return [
        problem.field
        for problem in validate_configuration(configuration_from(1, objects))
    ]


def test_valid_configuration_has_no_problem():
    assert validate_configuration(configuration_from(1, OBJECTS)) == []


@pytest.mark.parametrize(
    ("index", "changes", "field"),
    [
        (0, {"weight": 0}, "accounts/anna.weight"),
        (1, {"region": "Occidente"}, "data-centres/xela.region"),
        (2, {"manifest": "xyz"}, "model-versions/draft-1.manifest"),
        (3, {"cold_slots": 9}, "services/drafting.max_slots"),
        (3, {"model_version": "draft-2"}, "services/drafting.model_version"),
        (4, {"service": "dispatch"}, "vms/vm-1.service"),
        (0, {"name": "Anna Maria"}, "accounts/Anna Maria.name"),
    ],
)
def test_fault_is_reported_with_its_field(index, changes, field):
    assert faulty_fields(index, **changes) == [field]
