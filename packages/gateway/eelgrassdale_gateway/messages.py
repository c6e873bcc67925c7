"""Datagrams between agents and gateways, read from `peers.thrift` at import."""

from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.transport import TCyMemoryBuffer

_module = thriftpy2.load(
    str(Path(__file__).with_name("peers.thrift")),
    module_name="eelgrassdale_peers_thrift",
)

Datagram = _module.Datagram
Heartbeat = _module.Heartbeat
PeerAddress = _module.PeerAddress
ServerLoad = _module.ServerLoad
ServerNotice = _module.ServerNotice

# The compiled codec; the default one takes ten times as long.
_protocols = TCyBinaryProtocolFactory()


def encode(message: Any) -> bytes:
    """Return a `Heartbeat` or `ServerNotice` as a datagram.

    Examples
    --------
    >>> decode(encode(Heartbeat(name="a", loads=[], known=[]))).name
    'a'

    """
    if isinstance(message, Heartbeat):
        datagram = Datagram(heartbeat=message)
    else:
        datagram = Datagram(notice=message)
    buffer = TCyMemoryBuffer()
    _protocols.get_protocol(buffer).write_struct(datagram)
    buffer.flush()
    return buffer.getvalue()


def decode(data: bytes) -> Any:
    """Return the message of a datagram, or None for anything else.

    Examples
    --------
    >>> decode(b"no datagram") is None
    True

    """
    try:
        protocol = _protocols.get_protocol(TCyMemoryBuffer(data))
        datagram = protocol.read_struct(Datagram())
    except Exception:
        # The decoder raises many types for damaged input, all with one meaning.
        return None
    heartbeat = datagram.heartbeat
    if heartbeat is not None:
        is_whole = heartbeat.name and heartbeat.loads is not None
        return heartbeat if is_whole and heartbeat.known is not None else None
    notice = datagram.notice
    return notice if notice is not None and notice.host else None
