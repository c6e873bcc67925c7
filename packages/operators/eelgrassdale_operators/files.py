"""Load a configuration from an operator's file."""

import runpy
from pathlib import Path

from expression import Error, Result

from eelgrassdale.catalog import Configuration, objects_of, parse_configuration
from eelgrassdale.results import Problem, ResultCode, ResultError
from eelgrassdale_operators.building import build_configuration

OBJECTS_VARIABLE = "objects"


def load_configuration(path: Path) -> Result[Configuration, ResultError]:
    """Return the validated configuration that a file defines.

    A Python file (`.py`) is executed and must assign an iterable of catalogue
    objects to the variable `objects`; any other file must hold the text form
    that `print_configuration` returns.

    Raises
    ------
    OSError
        The file cannot be read.

    """
    if path.suffix == ".py":
        return _load_python_file(path)
    return parse_configuration(path.read_text()).bind(
        lambda parsed: build_configuration(objects_of(parsed))
    )


def _load_python_file(path: Path) -> Result[Configuration, ResultError]:
    try:
        variables = runpy.run_path(str(path))
    except OSError:
        raise
    except Exception as exc:
        return _invalid_file(
            path, repr(exc), "a Python file that runs without an error"
        )
    if OBJECTS_VARIABLE not in variables:
        return _invalid_file(path, None, f"a variable `{OBJECTS_VARIABLE}`")
    try:
        return build_configuration(variables[OBJECTS_VARIABLE])
    except TypeError as exc:
        return _invalid_file(path, str(exc), "an iterable of catalogue objects")


def _invalid_file(
    path: Path, value: object, allowed: str
) -> Result[Configuration, ResultError]:
    problem = Problem(field=path.name, value=value, allowed=allowed)
    return Error(
        ResultError(code=ResultCode.CONFIGURATION_INVALID, problems=(problem,))
    )
