"""Client of the platform's VM list, which may lag behind the VMs that exist."""

import json
import zlib
from collections.abc import Mapping

import urllib3
from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.identity import Role
from eelgrassdale.results import ResultCode, ResultError

READ_TIMEOUT_SECONDS = 2.0
MAX_BODY_BYTES = 4 * 1024 * 1024
VM_STATES = ("live", "leaving")


@frozen(kw_only=True)
class VmListEntry:
    """One VM of the list."""

    name: str
    role: Role
    data_centre: str
    region: str
    node_address: str
    caller_address: str
    is_leaving: bool


@frozen(kw_only=True)
class VmList:
    """One version of the VM list; `body` is the JSON document it was parsed from."""

    version: int
    entries: Mapping[str, VmListEntry]
    body: bytes


def parse_vm_list(body: bytes) -> Result[VmList, ResultError]:
    """Parse the VM list in a JSON body.

    Examples
    --------
    >>> parse_vm_list(b'{"version": 3, "vms": []}').ok.version
    3
    >>> parse_vm_list(b"[]").is_error()
    True

    """
    try:
        document = json.loads(body)
        entries = [_parse_entry(fields) for fields in document["vms"]]
        version = int(document["version"])
    except (ValueError, KeyError, TypeError) as exc:
        return Error(_unavailable(f"VM list is malformed: {exc!r}"))
    return Ok(
        VmList(
            version=version, entries={entry.name: entry for entry in entries}, body=body
        )
    )


def compress_vm_list(vm_list: VmList) -> bytes:
    """Return a VM list as compressed JSON for transfer between nodes."""
    return zlib.compress(vm_list.body)


def decompress_vm_list(packed: bytes) -> bytes:
    """Return the JSON body of a packed VM list, or empty bytes if it is corrupt.

    Examples
    --------
    >>> body = b'{"version": 3, "vms": []}'
    >>> decompress_vm_list(compress_vm_list(parse_vm_list(body).ok)) == body
    True
    >>> decompress_vm_list(b"no")
    b''

    """
    try:
        return zlib.decompressobj().decompress(packed, MAX_BODY_BYTES)
    except zlib.error:
        return b""


class VmListClient:
    """HTTP client of the VM list; each `read` is one call without retries.

    Parameters
    ----------
    url : str
        Base URL of the VM list.
    """

    def __init__(self, *, url: str) -> None:
        self._url = f"{url.rstrip('/')}/vms"
        self._pool = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(total=READ_TIMEOUT_SECONDS)
        )

    def read(self) -> Result[VmList, ResultError]:
        """Return the current list."""
        try:
            resp = self._pool.request("GET", self._url)
        except urllib3.exceptions.HTTPError as exc:
            return Error(_unavailable(f"VM list: {exc!r}"))
        if resp.status != 200:
            return Error(_unavailable(f"VM list: HTTP status {resp.status}"))
        if len(resp.data) > MAX_BODY_BYTES:
            return Error(_unavailable("VM list exceeds its size limit"))
        return parse_vm_list(resp.data)

    def close(self) -> None:
        """Close the connections."""
        self._pool.clear()


def _parse_entry(fields: Mapping[str, str]) -> VmListEntry:
    if fields["state"] not in VM_STATES:
        raise ValueError(f"unknown VM state {fields['state']!r}")
    return VmListEntry(
        name=fields["name"],
        role=Role(fields["role"]),
        data_centre=fields["data_centre"],
        region=fields["region"],
        node_address=fields["node_address"],
        caller_address=fields.get("caller_address") or "",
        is_leaving=fields["state"] == "leaving",
    )


def _unavailable(message: str) -> ResultError:
    return ResultError(code=ResultCode.SOURCE_UNAVAILABLE, message=message)
