"""Client of the platform's VM list, which may lag behind the VMs that exist."""

import zlib
from collections.abc import Mapping
from typing import Any

import urllib3
from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.identity import Role
from eelgrassdale.jsondecoding import decode_json, is_usable, whole_number
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.settings import is_address
from eelgrassdale.validresponses import pool_manager

READ_TIMEOUT_SECONDS = 2.0
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_ERROR_CHARACTERS = 200
TEXT_FIELDS = ("name", "role", "data_centre", "region", "node_address", "state")
MAX_VERSION = 2**53
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
    """One version of the VM list; `body` is the JSON document it was parsed from.

    `skipped` says what is wrong with each entry that is left out.
    """

    version: int
    entries: Mapping[str, VmListEntry]
    body: bytes
    skipped: tuple[str, ...] = ()


def parse_vm_list(body: bytes) -> Result[VmList, ResultError]:
    """Parse the VM list in a JSON body; entries that are invalid are skipped.

    Examples
    --------
    >>> parse_vm_list(b'{"version": 3, "vms": []}').ok.version
    3
    >>> parse_vm_list(b"[]").is_error()
    True

    """
    try:
        document = decode_json(body)
        version = whole_number(document["version"], highest=MAX_VERSION)
        vms = list(document["vms"])
    except (ValueError, KeyError, TypeError) as exc:
        return Error(_unavailable(f"VM list is malformed: {exc!r}"))
    entries = {}
    skipped = []
    for fields in vms:
        try:
            entry = _parse_entry(fields)
        except (ValueError, KeyError, TypeError) as exc:
            skipped.append(repr(exc)[:MAX_ERROR_CHARACTERS])
            continue
        entries[entry.name] = entry
    return Ok(
        VmList(version=version, entries=entries, body=body, skipped=tuple(skipped))
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
        self._pool = pool_manager(
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


def _parse_entry(fields: Mapping[str, Any]) -> VmListEntry:
    if not isinstance(fields, Mapping) or not is_usable(fields):
        raise TypeError("the entry is no object, or is nested too deep")
    texts = {name: fields[name] for name in TEXT_FIELDS}
    texts["caller_address"] = fields.get("caller_address") or ""
    for name, value in texts.items():
        if not isinstance(value, str):
            raise TypeError(f"{name} is no text")
    if texts["state"] not in VM_STATES:
        raise ValueError(f"unknown VM state {texts['state']!r}")
    for address in (texts["node_address"], texts["caller_address"]):
        if address and not is_address(address):
            raise ValueError(f"invalid address {address!r}")
    return VmListEntry(
        name=texts["name"],
        role=Role(texts["role"]),
        data_centre=texts["data_centre"],
        region=texts["region"],
        node_address=texts["node_address"],
        caller_address=texts["caller_address"],
        is_leaving=texts["state"] == "leaving",
    )


def _unavailable(message: str) -> ResultError:
    return ResultError(code=ResultCode.SOURCE_UNAVAILABLE, message=message)
