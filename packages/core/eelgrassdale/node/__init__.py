"""I/O layer of configuration and membership, shared by both programs."""

from eelgrassdale.node.context import NodeContext, new_context

__all__ = ["NodeContext", "new_context"]
