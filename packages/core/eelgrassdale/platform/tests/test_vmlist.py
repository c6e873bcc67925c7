"""Tests of VM lists that hold an odd entry of another writer."""

import json

import pytest

from eelgrassdale.platform import parse_vm_list

FIELDS = {
    "name": "a2",
    "role": "backend",
    "data_centre": "n-1",
    "region": "n",
    "node_address": "127.0.0.1:7000",
    "caller_address": "",
    "state": "live",
}


def entry(**fields):
    return json.dumps(FIELDS | fields).encode()


def nested(depth):
    return b"[" * depth + b"]" * depth


def extra(value):
    return entry()[:-1] + b', "extra": ' + value + b"}"


ODD_ENTRIES = {
    "deeply nested": nested(200_000),
    "nested field": extra(nested(3000)),
    "nested as far as parsers go": extra(nested(700)),
    "no object": b"7",
    "nothing": b"null",
    "no name": b"{}",
    "name that is no text": entry(name=["a"]),
    "unknown role": entry(role="other"),
    "role that is no text": entry(role={}),
    "unknown state": entry(state="gone"),
    "port out of range": entry(node_address="127.0.0.1:70000"),
    "port with many digits": entry(node_address="127.0.0.1:" + "9" * 5000),
    "address without port": entry(caller_address="127.0.0.1"),
    "address that is a number": entry(node_address=7),
    "no address": entry(node_address=None),
}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_entry_costs_no_other_vm(name):
    """Guards against a list that ends its readers, or that they follow no more."""
    body = b'{"version": 3, "vms": [%s, %s]}' % (ODD_ENTRIES[name], entry(name="a1"))
    vm_list = parse_vm_list(body).ok
    assert (set(vm_list.entries), len(vm_list.skipped)) == ({"a1"}, 1)


@pytest.mark.parametrize("value", [b"9" * 5000, b"1e999", b"1", b'"\xff"'])
def test_odd_field_that_is_not_read_costs_nothing(value):
    body = b'{"version": 3, "vms": [%s, %s]}' % (extra(value), entry(name="a1"))
    assert set(parse_vm_list(body).ok.entries) == {"a1", "a2"}


@pytest.mark.parametrize("version", [b"1e999", b"9" * 5000, b"null", b"-1", nested(9)])
def test_list_without_a_version_is_refused(version):
    assert parse_vm_list(b'{"version": %s, "vms": []}' % version).is_error()
