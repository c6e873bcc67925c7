"""I/O layer of configuration and membership, shared by both programs."""

from eelgrassdale.node.context import NodeContext, new_context
from eelgrassdale.node.runtime import NodeRuntime

__all__ = ["NodeContext", "NodeRuntime", "new_context"]
