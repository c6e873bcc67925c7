"""Writes a configuration to the object API as an operator does."""

import uuid
from collections.abc import Callable, Iterable

from eelgrassdale.catalog.encoding import (
    CatalogObject,
    configuration_from,
    decode_object,
    encode_object,
    objects_of,
)
from eelgrassdale.platform.objects import ObjectStore
from eelgrassdale.spread.head import OBJECT_PREFIX, commit_change, read_head
from eelgrassdale.telemetry import Metrics
from eelgrassdale_operators import Configuration, build_configuration


class ConfigurationWriter:
    """The operators' side of the object API.

    Parameters
    ----------
    url : str
        URL of the object API.
    """

    def __init__(self, *, url: str) -> None:
        self._store = ObjectStore(url=url, metrics=Metrics())

    def apply(self, objects: Iterable[CatalogObject]) -> int:
        """Replace the configuration and return the accepted generation.

        Raises
        ------
        RuntimeError
            The configuration is invalid or was not accepted.

        """
        checked = _value(build_configuration(objects))
        bodies = {}
        for obj in objects_of(checked):
            encoded = encode_object(obj)
            bodies[encoded.name] = encoded.body
        head = _value(
            commit_change(
                self._store,
                base=_value(read_head(self._store)),
                bodies=bodies,
                operation=uuid.uuid4().hex,
            )
        )
        return head.generation

    def change(self, edit: Callable[[CatalogObject], CatalogObject]) -> int:
        """Apply `edit` to every object in force and return the new generation."""
        return self.apply([edit(obj) for obj in objects_of(self.current())])

    def add(self, *objects: CatalogObject) -> int:
        """Add objects, replacing those of the same kind and name."""
        added = {encode_object(obj).name for obj in objects}
        kept = [
            obj
            for obj in objects_of(self.current())
            if encode_object(obj).name not in added
        ]
        return self.apply([*kept, *objects])

    def current(self) -> Configuration:
        """Return the configuration that the object API holds."""
        head = _value(read_head(self._store)).head
        objects = [
            _value(decode_object(name, self._body(digest)))
            for name, digest in head.objects.items()
        ]
        return configuration_from(head.generation, objects)

    def close(self) -> None:
        """Close the connections."""
        self._store.close()

    def _body(self, digest: str) -> bytes:
        return _value(self._store.get(OBJECT_PREFIX + digest)).body


def _value(result):
    if result.is_error():
        problems = "; ".join(str(problem) for problem in result.error.problems)
        raise RuntimeError(
            f"{result.error.code.name} {result.error.message} {problems}"
        )
    return result.ok
