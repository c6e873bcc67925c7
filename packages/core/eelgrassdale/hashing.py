"""Digests and rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def digest_of(data: bytes) -> str:
    """Return the xxh3_128 digest of `data` as 32 hexadecimal characters.

    Examples
    --------
    >>> len(digest_of(b"weights"))
    32

    """
    return xxhash.xxh3_128_hexdigest(data)


def rendezvous_weight(*, key: str, member: str) -> int:
    """Return the 64-bit rendezvous weight of `member` for `key`."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def rendezvous_order(*, key: str, members: Iterable[str]) -> list[str]:
    """Return the members from highest to lowest rendezvous weight.

    All nodes compute the same order from the same members. Adding or removing
    one member leaves the relative order of the others unchanged.

    Examples
    --------
    >>> full = rendezvous_order(key="t", members=["a", "b", "c"])
    >>> fewer = rendezvous_order(key="t", members=set(full) - {full[0]})
    >>> fewer == full[1:]
    True

    """
    return sorted(
        members,
        key=lambda member: (rendezvous_weight(key=key, member=member), member),
        reverse=True,
    )
