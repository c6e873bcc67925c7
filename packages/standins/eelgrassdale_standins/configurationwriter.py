"""Changes of a deployment's configuration through the operators' library."""

from typing import Any

from expression import Result

from eelgrassdale.catalog import CatalogObject, encode_object, objects_of
from eelgrassdale.platform.objects import ObjectStore
from eelgrassdale.results import ResultError
from eelgrassdale.telemetry import Metrics
from eelgrassdale_operators import (
    AppliedChange,
    Configuration,
    apply_configuration,
    build_configuration,
    read_stored,
)


class ConfigurationWriter:
    """Writes configuration changes to one object API, as an operator does.

    Parameters
    ----------
    url : str
        URL of the object API.
    """

    def __init__(self, *, url: str) -> None:
        self._store = ObjectStore(url=url, metrics=Metrics())

    def put(self, *objects: CatalogObject) -> int:
        """Add objects, replacing those of the same names; return the generation.

        Raises
        ------
        RuntimeError
            The configuration is invalid or was not accepted.

        """
        return self.change(*objects).generation

    def change(self, *objects: CatalogObject) -> AppliedChange:
        """Apply objects as `put` does; the result says whether anything differed.

        Raises
        ------
        RuntimeError
            The configuration is invalid or was not accepted.

        """
        current = self.current()
        by_name = {encode_object(obj).name: obj for obj in objects_of(current)}
        by_name |= {encode_object(obj).name: obj for obj in objects}
        proposed = _unwrap(build_configuration(by_name.values()))
        # Without the expected generation, this write would overwrite a change
        # that another operator made since `current` was read.
        return _unwrap(
            apply_configuration(
                self._store, proposed, expected_generation=current.generation
            )
        )

    def current(self) -> Configuration:
        """Return the configuration that the object API holds."""
        return _unwrap(read_stored(self._store)).configuration

    def close(self) -> None:
        """Close the connections."""
        self._store.close()


def _unwrap(result: Result[Any, ResultError]) -> Any:
    if result.is_error():
        error = result.error
        problems = "; ".join(str(problem) for problem in error.problems)
        raise RuntimeError(f"{error.code.name} {error.message} {problems}")
    return result.ok
