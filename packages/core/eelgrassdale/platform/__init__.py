"""HTTP clients of the platform: object API, VM list and weight sources."""

from eelgrassdale.platform.objects import ObjectStore, ObjectValue
from eelgrassdale.platform.vmlist import (
    VmList,
    VmListClient,
    VmListEntry,
    pack_vm_list,
    parse_vm_list,
    unpack_vm_list,
)

__all__ = [
    "ObjectStore",
    "ObjectValue",
    "VmList",
    "VmListClient",
    "VmListEntry",
    "pack_vm_list",
    "parse_vm_list",
    "unpack_vm_list",
]
