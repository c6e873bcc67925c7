"""Finds the longest of many path prefixes that begins a path."""

from collections.abc import Iterable
from typing import Generic, TypeVar

T = TypeVar("T")


class PrefixTree(Generic[T]):
    """Values by prefix; prefixes end with a slash, others match no path.

    A lookup goes from segment to segment and stops at the first that no prefix has. So
    it takes as many steps as the longest prefix has segments, whatever the path.

    Parameters
    ----------
    values : iterable of (str, T)
        Prefixes and their values; the last one of equal prefixes counts.

    Examples
    --------
    >>> tree = PrefixTree([("/a/", 1), ("/a/b/", 2)])
    >>> tree.find("/a/b/c"), tree.find("/a/b"), tree.find("/b/a/")
    (2, 1, None)

    """

    def __init__(self, values: Iterable[tuple[str, T]]) -> None:
        self._root: _Node[T] = _Node()
        for prefix, value in values:
            if prefix.endswith("/"):
                self._add(prefix, value)

    def find(self, path: str) -> T | None:
        """Return the value of the longest prefix that begins a path, or None."""
        node, found, start = self._root, None, 0
        while node.children and (end := path.find("/", start)) >= 0:
            node = node.children.get(path[start:end])
            if node is None:
                break
            if node.value is not None:
                found = node.value
            start = end + 1
        return found

    def _add(self, prefix: str, value: T) -> None:
        node = self._root
        for segment in prefix[:-1].split("/"):
            node = node.children.setdefault(segment, _Node())
        node.value = value


class _Node(Generic[T]):
    """A segment; `value` is that of the prefix that ends with it, None without one."""

    __slots__ = ("children", "value")

    def __init__(self) -> None:
        self.children: dict[str, _Node[T]] = {}
        self.value: T | None = None
