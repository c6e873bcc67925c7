"""Build a validated configuration from catalogue objects."""

from collections import Counter
from collections.abc import Iterable

from expression import Error, Ok, Result

from eelgrassdale.catalog import (
    CatalogObject,
    Configuration,
    configuration_from,
    kind_of,
    validate_configuration,
)
from eelgrassdale.results import Problem, ResultCode, ResultError


def build_configuration(
    objects: Iterable[CatalogObject],
) -> Result[Configuration, ResultError]:
    """Return the configuration of the objects, or all problems found in them.

    The error has the code `CONFIGURATION_INVALID`. An object that is defined
    more than once is a problem.

    Examples
    --------
    >>> from eelgrassdale_operators import DataCentre
    >>> xela = DataCentre(name="xela", region="occidente")
    >>> build_configuration([xela]).is_ok()
    True
    >>> [str(problem) for problem in build_configuration([xela, xela]).error.problems]
    ["data-centres/xela: got 'defined 2 times', allowed: once"]

    """
    object_list = list(objects)
    configuration = configuration_from(0, object_list)
    problems = (*_duplicates(object_list), *validate_configuration(configuration))
    if problems:
        return Error(
            ResultError(code=ResultCode.CONFIGURATION_INVALID, problems=problems)
        )
    return Ok(configuration)


def _duplicates(objects: list[CatalogObject]) -> list[Problem]:
    counts = Counter(f"{kind_of(obj)}/{obj.name}" for obj in objects)
    return [
        Problem(field=name, value=f"defined {count} times", allowed="once")
        for name, count in sorted(counts.items())
        if count > 1
    ]
