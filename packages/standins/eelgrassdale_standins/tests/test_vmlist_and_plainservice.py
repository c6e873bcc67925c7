"""Tests of the VM list, the plain service and port conflicts."""

import subprocess

import urllib3

from eelgrassdale_standins.control import get_counts, get_json, put_json, set_faults
from eelgrassdale_standins.control import http_url as url
from eelgrassdale_standins.processes import standin_arguments


def test_vm_list_shows_a_change_after_its_lag(start_standin):
    address = start_standin("vmlist")
    put_json(address, "/vms", {"vms": [{"name": "vm-1"}]})
    set_faults(address, lag_seconds=3600)
    put_json(address, "/vms", {"vms": []})
    assert get_json(address, "/vms") == {"version": 0, "vms": []}
    set_faults(address, lag_seconds=0)
    assert get_json(address, "/vms") == {"version": 2, "vms": []}


def test_plain_service_counts_each_run(start_standin):
    address = start_standin("plainservice")
    for request_id in ("a", "b"):
        urllib3.request(
            "POST",
            url(address, "/reserve/stock"),
            json={"reservation": "r-1"},
            headers={"X-Request-Id": request_id},
        )
    counts = get_counts(address)
    assert counts["runs"] == {"a": 1, "b": 1}
    assert counts["reservations"] == {"r-1": 2}


def test_port_conflict_is_reported(start_standin):
    address = start_standin("vmlist")
    completed = subprocess.run(
        standin_arguments("vmlist", address), capture_output=True, text=True, timeout=20
    )
    assert completed.returncode == 2
    assert f"cannot bind {address}" in completed.stderr
