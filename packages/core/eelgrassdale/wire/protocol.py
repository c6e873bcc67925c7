"""Message types read from `nodes.thrift` when the module is imported."""

from pathlib import Path

import thriftpy2

_module = thriftpy2.load(
    str(Path(__file__).with_name("nodes.thrift")),
    module_name="eelgrassdale_nodes_thrift",
)

AgentService = _module.AgentService
CallRequest = _module.CallRequest
ChunkAnswer = _module.ChunkAnswer
ChunkRequest = _module.ChunkRequest
CompareAnswer = _module.CompareAnswer
CompareRequest = _module.CompareRequest
ConfigDelta = _module.ConfigDelta
ConfigObject = _module.ConfigObject
Cursor = _module.Cursor
Envelope = _module.Envelope
Frame = _module.Frame
Headroom = _module.Headroom
ManifestAnswer = _module.ManifestAnswer
NodeService = _module.NodeService
NodeStatus = _module.NodeStatus
PollAnswer = _module.PollAnswer
ProbeAnswer = _module.ProbeAnswer
SubmitAnswer = _module.SubmitAnswer
