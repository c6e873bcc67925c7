"""Encoding of catalogue objects as canonical JSON, and validating decoding."""

import json
from collections.abc import Iterable, Mapping
from enum import Enum

import attrs
from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.catalog.account import ClientAccount
from eelgrassdale.catalog.configuration import Configuration
from eelgrassdale.catalog.datacentre import DataCentre
from eelgrassdale.catalog.model import ModelVersion
from eelgrassdale.catalog.service import Service
from eelgrassdale.catalog.vm import Vm
from eelgrassdale.results import Problem, ResultCode, ResultError

CatalogObject = ClientAccount | DataCentre | ModelVersion | Service | Vm

# Kind in the stored name of an object -> its class. The attribute of
# `Configuration` is the kind with `-` replaced by `_`.
CLASS_BY_KIND: dict[str, type[CatalogObject]] = {
    "accounts": ClientAccount,
    "data-centres": DataCentre,
    "model-versions": ModelVersion,
    "services": Service,
    "vms": Vm,
}

_TYPE_NAMES = {str: "a string", int: "an integer", bool: "true or false"}


@frozen(kw_only=True)
class EncodedObject:
    """One object under its stored name `kind/name`."""

    name: str
    body: bytes


def kind_of(obj: CatalogObject) -> str:
    """Return the kind under which an object is stored.

    Examples
    --------
    >>> kind_of(DataCentre(name="xela", region="occidente"))
    'data-centres'

    """
    for kind, cls in CLASS_BY_KIND.items():
        if type(obj) is cls:
            return kind
    raise TypeError(f"not a catalogue object: {obj!r}")


def encode_object(obj: CatalogObject) -> EncodedObject:
    """Return the canonical JSON of an object; equal objects give equal bytes.

    Examples
    --------
    >>> encode_object(DataCentre(name="xela", region="occidente")).body
    b'{"name":"xela","region":"occidente","state":"in_service"}'

    """
    return EncodedObject(
        name=f"{kind_of(obj)}/{obj.name}", body=canonical_json(json_fields_of(obj))
    )


def json_fields_of(obj: CatalogObject) -> dict[str, object]:
    """Return the fields of an object as values that JSON can hold."""
    return attrs.asdict(obj, value_serializer=_enum_value)


def canonical_json(value: object) -> bytes:
    """Return JSON with sorted keys and no white space."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def decode_object(name: str, body: bytes) -> Result[CatalogObject, ResultError]:
    """Return the object stored under `kind/name`, or all problems of its body.

    Examples
    --------
    >>> decode_object("accounts/anna", b'{"name":"anna","weight":"2"}').error.problems
    (Problem(field='accounts/anna.weight', value='2', allowed='an integer'),)

    """
    kind, _, short_name = name.partition("/")
    if kind not in CLASS_BY_KIND:
        return _invalid(_problem(name, kind, f"one of {', '.join(CLASS_BY_KIND)}"))
    try:
        fields = json.loads(body)
    except ValueError:
        return _invalid(_problem(name, body[:80], "a JSON object"))
    if not isinstance(fields, dict):
        return _invalid(_problem(name, fields, "a JSON object"))
    return object_from_fields(kind, {"name": short_name, **fields})


def object_from_fields(
    kind: str, fields: Mapping[str, object]
) -> Result[CatalogObject, ResultError]:
    """Return the object of a kind from decoded JSON fields, or all their problems."""
    cls = CLASS_BY_KIND[kind]
    label = f"{kind}/{fields.get('name', '')}"
    known = {field.name: field for field in attrs.fields(cls)}
    problems = [
        _problem(f"{label}.{name}", value, f"one of {', '.join(sorted(known))}")
        for name, value in fields.items()
        if name not in known
    ]
    values: dict[str, object] = {}
    for name, field in known.items():
        if name not in fields:
            if field.default is attrs.NOTHING:
                problems.append(_problem(f"{label}.{name}", None, "a value"))
            continue
        converted = _convert(f"{label}.{name}", fields[name], field.type)
        if isinstance(converted, Problem):
            problems.append(converted)
        else:
            values[name] = converted
    if problems:
        return _invalid(*problems)
    return Ok(cls(**values))


def objects_of(configuration: Configuration) -> tuple[CatalogObject, ...]:
    """Return all objects of a configuration, ordered by kind and name."""
    return tuple(
        obj
        for kind in sorted(CLASS_BY_KIND)
        for _, obj in sorted(getattr(configuration, _attribute_name(kind)).items())
    )


def configuration_from(
    generation: int, objects: Iterable[CatalogObject]
) -> Configuration:
    """Return the configuration that the objects make up.

    Examples
    --------
    >>> xela = DataCentre(name="xela", region="occidente")
    >>> configuration_from(3, [xela]).data_centres["xela"] is xela
    True

    """
    by_kind: dict[str, dict[str, CatalogObject]] = {
        _attribute_name(kind): {} for kind in CLASS_BY_KIND
    }
    for obj in objects:
        by_kind[_attribute_name(kind_of(obj))][obj.name] = obj
    return Configuration(generation=generation, **by_kind)


def _attribute_name(kind: str) -> str:
    return kind.replace("-", "_")


def _enum_value(_obj: object, _field: object, value: object) -> object:
    return value.value if isinstance(value, Enum) else value


def _convert(field: str, value: object, expected: type) -> object:
    if issubclass(expected, Enum):
        allowed = [member.value for member in expected]
        if value in allowed:
            return expected(value)
        return _problem(field, value, f"one of {', '.join(allowed)}")
    if type(value) is expected:
        return value
    return _problem(field, value, _TYPE_NAMES[expected])


def _problem(field: str, value: object, allowed: str) -> Problem:
    return Problem(field=field, value=value, allowed=allowed)


def _invalid(*problems: Problem) -> Result[CatalogObject, ResultError]:
    return Error(
        ResultError(code=ResultCode.CONFIGURATION_INVALID, problems=tuple(problems))
    )
