"""HTTP clients of the platform: object API, VM list and weight sources."""

from eelgrassdale.platform.objects import ObjectStore, ObjectValue
from eelgrassdale.platform.vmlist import (
    VmList,
    VmListClient,
    VmListEntry,
    compress_vm_list,
    decompress_vm_list,
    parse_vm_list,
)

__all__ = [
    "ObjectStore",
    "ObjectValue",
    "VmList",
    "VmListClient",
    "VmListEntry",
    "compress_vm_list",
    "decompress_vm_list",
    "parse_vm_list",
]
