"""The text form of a configuration, in a stable order so that a diff is useful."""

import difflib
import json

from expression import Error, Ok, Result

from eelgrassdale.catalog.configuration import Configuration
from eelgrassdale.catalog.encoding import (
    CLASS_BY_KIND,
    configuration_from,
    json_fields_of,
    kind_of,
    object_from_fields,
    objects_of,
)
from eelgrassdale.results import Problem, ResultCode, ResultError


def print_configuration(configuration: Configuration) -> str:
    """Return the objects of a configuration as indented JSON by kind and name.

    The generation is left out, because it is assigned when the configuration
    is accepted.

    Examples
    --------
    >>> from eelgrassdale.catalog.datacentre import DataCentre
    >>> xela = DataCentre(name="xela", region="occidente")
    >>> print(print_configuration(configuration_from(1, [xela])))
    {
      "data-centres": {
        "xela": {
          "region": "occidente",
          "state": "in_service"
        }
      }
    }

    """
    kinds: dict[str, dict[str, object]] = {}
    for obj in objects_of(configuration):
        fields = json_fields_of(obj)
        name = fields.pop("name")
        kinds.setdefault(kind_of(obj), {})[name] = fields
    return json.dumps(kinds, indent=2, sort_keys=True)


def parse_configuration(text: str) -> Result[Configuration, ResultError]:
    """Return the configuration written by `print_configuration`.

    Examples
    --------
    >>> parse_configuration('{"accounts": {"anna": {"weight": 2}}}').ok.accounts
    {'anna': ClientAccount(name='anna', weight=2, priority=1)}

    """
    try:
        kinds = json.loads(text)
    except ValueError as exc:
        return _invalid(Problem(field="configuration", value=str(exc), allowed="JSON"))
    if not isinstance(kinds, dict):
        return _invalid(
            Problem(field="configuration", value=kinds, allowed="a JSON object")
        )
    objects = []
    problems: list[Problem] = []
    for kind, by_name in kinds.items():
        if kind not in CLASS_BY_KIND or not isinstance(by_name, dict):
            problems.append(
                Problem(
                    field=kind,
                    value=type(by_name).__name__,
                    allowed=f"objects by name, under one of {', '.join(CLASS_BY_KIND)}",
                )
            )
            continue
        for name, fields in by_name.items():
            if not isinstance(fields, dict):
                problems.append(
                    Problem(
                        field=f"{kind}/{name}", value=fields, allowed="a JSON object"
                    )
                )
                continue
            decoded = object_from_fields(kind, {**fields, "name": name})
            if decoded.is_ok():
                objects.append(decoded.ok)
            else:
                problems.extend(decoded.error.problems)
    if problems:
        return _invalid(*problems)
    return Ok(configuration_from(0, objects))


def diff_configurations(old: Configuration, new: Configuration) -> str:
    """Return a unified diff of the text forms, empty when they are equal."""
    lines = difflib.unified_diff(
        print_configuration(old).splitlines(),
        print_configuration(new).splitlines(),
        fromfile=f"generation {old.generation}",
        tofile="proposed",
        lineterm="",
    )
    return "\n".join(lines)


def _invalid(*problems: Problem) -> Result[Configuration, ResultError]:
    return Error(
        ResultError(code=ResultCode.CONFIGURATION_INVALID, problems=tuple(problems))
    )
