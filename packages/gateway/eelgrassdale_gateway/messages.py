"""Codec of the messages in `peers.thrift`, which is loaded at import."""

from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.transport import TCyMemoryBuffer

_module = thriftpy2.load(
    str(Path(__file__).with_name("peers.thrift")),
    module_name="eelgrassdale_peers_thrift",
)

AccountCount = _module.AccountCount
AdvisoryNotice = _module.AdvisoryNotice
CountsNotice = _module.CountsNotice
CrashNotice = _module.CrashNotice
Datagram = _module.Datagram
DutyNotice = _module.DutyNotice
GatewayEntry = _module.GatewayEntry
GatewayList = _module.GatewayList
Heartbeat = _module.Heartbeat
KindRevision = _module.KindRevision
ObjectPage = _module.ObjectPage
ObjectRecord = _module.ObjectRecord
PeerAddress = _module.PeerAddress
PromptNotice = _module.PromptNotice
QuarantineNotice = _module.QuarantineNotice
ServerAdvisory = _module.ServerAdvisory
ServerLoad = _module.ServerLoad
ServerNotice = _module.ServerNotice
SoundNotice = _module.SoundNotice
WaitingCount = _module.WaitingCount
UsageRecordNotice = _module.UsageRecordNotice

# Largest value of an `i32` field; the codec raises an error for more.
MAX_INT32 = 2**31 - 1

# The compiled codec; the default one takes ten times as long.
_protocols = TCyBinaryProtocolFactory()


def encode(message: Any) -> bytes:
    """Return a heartbeat or a notice as a datagram.

    Examples
    --------
    >>> decode(encode(Heartbeat(name="a", loads=[], known=[]))).name
    'a'

    """
    if isinstance(message, Heartbeat):
        datagram = Datagram(heartbeat=message)
    elif isinstance(message, PromptNotice):
        datagram = Datagram(prompt_notice=message)
    elif isinstance(message, AdvisoryNotice):
        datagram = Datagram(advisory_notice=message)
    elif isinstance(message, DutyNotice):
        datagram = Datagram(duty_notice=message)
    else:
        datagram = Datagram(notice=message)
    return encode_struct(datagram)


def encode_struct(struct: Any) -> bytes:
    """Return an encoded struct of `peers.thrift`."""
    buffer = TCyMemoryBuffer()
    _protocols.get_protocol(buffer).write_struct(struct)
    buffer.flush()
    return buffer.getvalue()


def decode_struct(data: bytes, empty: Any) -> Any:
    """Decode bytes into the struct `empty` and return it, or None on failure.

    Examples
    --------
    >>> decode_struct(encode_struct(ObjectPage(revision=7)), ObjectPage()).revision
    7

    """
    try:
        return _protocols.get_protocol(TCyMemoryBuffer(data)).read_struct(empty)
    except Exception:
        # The decoder raises exceptions of many types for malformed input.
        return None


def decode(data: bytes) -> Any:
    """Return the message of a datagram, or None if it is malformed.

    Examples
    --------
    >>> decode(b"no datagram") is None
    True

    """
    datagram = decode_struct(data, Datagram())
    if datagram is None:
        return None
    heartbeat = datagram.heartbeat
    if heartbeat is not None:
        is_complete = heartbeat.name and heartbeat.loads is not None
        return heartbeat if is_complete and heartbeat.known is not None else None
    if datagram.prompt_notice is not None:
        return datagram.prompt_notice
    if datagram.advisory_notice is not None:
        return datagram.advisory_notice
    if datagram.duty_notice is not None:
        return datagram.duty_notice
    notice = datagram.notice
    return notice if notice is not None and notice.host else None
