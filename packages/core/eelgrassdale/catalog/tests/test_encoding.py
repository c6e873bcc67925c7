"""Tests of the stored form of catalogue objects."""

from eelgrassdale.catalog import (
    ClientAccount,
    DataCentre,
    ModelVersion,
    Service,
    ServiceKind,
    Vm,
    configuration_from,
    decode_object,
    encode_object,
    objects_of,
)

OBJECTS = (
    ClientAccount(name="anna", weight=3),
    DataCentre(name="xela", region="occidente"),
    ModelVersion(name="draft-1", manifest="0" * 32, size_bytes=10),
    Service(name="drafting", kind=ServiceKind.MODEL, model_version="draft-1"),
    Vm(name="vm-1", data_centre="xela", service="drafting"),
)


def test_decode_returns_what_was_encoded():
    for obj in OBJECTS:
        encoded = encode_object(obj)
        assert decode_object(encoded.name, encoded.body).ok == obj


def test_configuration_holds_each_object_once():
    assert objects_of(configuration_from(1, OBJECTS)) == OBJECTS


def test_all_faults_of_an_object_are_reported_together():
    body = b'{"region": 7, "state": "gone", "colour": "red"}'
    error = decode_object("data-centres/xela", body).error
    assert sorted(problem.field for problem in error.problems) == [
        "data-centres/xela.colour",
        "data-centres/xela.region",
        "data-centres/xela.state",
    ]


def test_boolean_is_not_an_integer():
    error = decode_object("accounts/anna", b'{"weight": true}').error
    assert error.problems[0].allowed == "an integer"
