"""A model version and the identity of its weights."""

from attrs import frozen


@frozen(kw_only=True)
class ModelVersion:
    """A model version; `manifest` is the digest of its chunk manifest."""

    name: str
    manifest: str
    size_bytes: int
    priority: int = 1
