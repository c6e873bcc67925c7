"""A client account: one customer, whose callers get a share of each service."""

from attrs import frozen


@frozen(kw_only=True)
class ClientAccount:
    """A client account.

    `weight` is its share of a full service relative to other accounts;
    accounts of higher `priority` are refused last.
    """

    name: str
    weight: int = 1
    priority: int = 1
