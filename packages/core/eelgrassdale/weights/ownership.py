"""Assignment of the chunks of a model version to the members of a group."""

from collections.abc import Collection

from eelgrassdale.hashing import rendezvous_order


def chunk_key(manifest: str, index: int) -> str:
    """Return the rendezvous hashing key of a chunk."""
    return f"{manifest}/{index}"


def assign_owners(
    *, manifest: str, count: int, members: Collection[str]
) -> tuple[str, ...]:
    """Return the owner of each chunk, with at most ceil(count/N) chunks each.

    Each chunk goes to the first member in its rendezvous order that owns fewer
    than that. All nodes compute the same owners from the same members.

    Parameters
    ----------
    manifest : str
        Digest of the manifest.
    count : int
        Number of chunks.
    members : collection of str
        Names of the members; empty gives an empty result.

    Examples
    --------
    >>> owners = assign_owners(manifest="m", count=4, members=["a", "b"])
    >>> sorted(owners)
    ['a', 'a', 'b', 'b']

    """
    if not members:
        return ()
    capacity = dict.fromkeys(members, -(-count // len(members)))
    owners = []
    for index in range(count):
        order = candidates(manifest=manifest, index=index, members=members)
        owner = next(member for member in order if capacity[member] > 0)
        capacity[owner] -= 1
        owners.append(owner)
    return tuple(owners)


def candidates(*, manifest: str, index: int, members: Collection[str]) -> list[str]:
    """Return the members in rendezvous order for a chunk."""
    return rendezvous_order(key=chunk_key(manifest, index), members=members)
