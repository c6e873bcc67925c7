"""Tests of the administration API with an in-memory store."""

import io
import json
from wsgiref.util import setup_testing_defaults

import attrs
import pytest
import urllib3

from eelgrassdale.catalog import ClientAccount, DataCentre, encode_object
from eelgrassdale.identity import Role
from eelgrassdale.node.context import new_context
from eelgrassdale.settings import NodeSettings
from eelgrassdale.spread.head import commit_change, fetch_delta, read_head
from eelgrassdale.spread.tests.test_head import FaultyStore
from eelgrassdale.wire.tests.test_wire import free_address
from eelgrassdale_entry.admin import AdminContext, AdminServer, new_application

TOKEN = "operator-token"
OBJECTS = (
    DataCentre(name="north-1", region="north"),
    ClientAccount(name="anna"),
)


class AdminHarness:
    """An administration application with an in-memory store and a client."""

    def __init__(self) -> None:
        self.store = FaultyStore()
        cfg = NodeSettings(
            name="e1",
            data_centre="north-1",
            region="north",
            node_address=free_address(),
            object_api_url="http://127.0.0.1:1",
            vm_list_url="http://127.0.0.1:1",
        )
        self.node = new_context(cfg=cfg, role=Role.ENTRY)
        self.commit(*OBJECTS)
        self.apply_stored_head()
        self.context = AdminContext(
            node=self.node, store=self.store, operator_tokens=(TOKEN,)
        )
        self.application = new_application(self.context)

    def commit(self, *objects) -> None:
        """Commit a configuration to the store as another operator would."""
        bodies = {encode_object(obj).name: encode_object(obj).body for obj in objects}
        base = read_head(self.store).ok
        commit_change(self.store, base=base, bodies=bodies, operation="other")

    def apply_stored_head(self) -> None:
        """Put the head of the store in force at the node."""
        head = read_head(self.store).ok.head
        delta = fetch_delta(self.store, head, self.node.replica.state()).ok
        self.node.replica.apply_if_newer(delta)

    def call(self, method, path, body=None, *, token=TOKEN, headers=None):
        """Return (status, JSON) of a call."""
        data = b"" if body is None else json.dumps(body).encode()
        environ = {
            "REQUEST_METHOD": method,
            "SCRIPT_NAME": "",
            "PATH_INFO": f"/v1/{path}",
            "CONTENT_LENGTH": str(len(data)),
            "wsgi.input": io.BytesIO(data),
            "HTTP_AUTHORIZATION": f"Bearer {token}",
            **(headers or {}),
        }
        setup_testing_defaults(environ)
        statuses = []
        answer = b"".join(
            self.application(environ, lambda status, _: statuses.append(status))
        )
        return int(statuses[0].split()[0]), json.loads(answer)


@pytest.fixture
def admin():
    return AdminHarness()


def test_server_answers_over_http(admin):
    address = free_address()
    server = AdminServer(address=address, context=admin.context)
    server.start_serving()
    try:
        url = f"http://{address}/v1/accounts/anna"
        headers = {"Authorization": f"Bearer {TOKEN}"}
        answer = urllib3.request("PUT", url, body=b"{}", headers=headers, timeout=10)
        assert (answer.status, answer.json()["changed"]) == (200, False)
    finally:
        server.stop()


@pytest.mark.parametrize("token", ["", "wrong-token", "operator-token2"])
def test_call_without_a_valid_token_is_refused(admin, token):
    status, body = admin.call("GET", "configuration", token=token)
    assert (status, body["name"]) == (401, "UNAUTHORISED")


def test_configuration_is_returned(admin):
    status, body = admin.call("GET", "configuration")
    assert status == 200
    assert list(body["configuration"]["data-centres"]) == ["north-1"]


def test_generation_in_force_and_accepted_are_returned(admin):
    admin.commit(OBJECTS[0])
    assert admin.call("GET", "generation") == (200, {"in_force": 1, "accepted": 2})


def test_store_outage_leaves_reads_available(admin):
    admin.store.faults = ["down"] * 10
    assert admin.call("GET", "generation") == (200, {"in_force": 1, "accepted": None})


def test_accepted_change_is_in_force_without_reading_it_back(admin):
    """Guards against an accepted change that waits for the store to be read.

    It was delayed when the store went down right after accepting it.
    """
    admin.call("PUT", "accounts/anna", {"weight": 3})
    assert admin.node.replica.current().accounts["anna"].weight == 3


def test_object_is_changed(admin):
    status, body = admin.call("PUT", "accounts/anna", {"weight": 3})
    assert (status, body["generation"], body["changed"]) == (200, 2, True)
    assert admin.call("GET", "accounts/anna")[1]["object"]["weight"] == 3


def test_equal_object_is_no_change(admin):
    status, body = admin.call("PUT", "accounts/anna", {})
    assert (status, body["generation"], body["changed"]) == (200, 1, False)


def test_whole_kind_is_replaced(admin):
    status, _ = admin.call("PUT", "accounts", {"berta": {"weight": 2}})
    assert status == 200
    assert list(admin.call("GET", "accounts")[1]["objects"]) == ["berta"]


def test_invalid_objects_are_refused_with_all_problems(admin):
    vm = {"data_centre": "nowhere", "service": "nothing"}
    status, body = admin.call("PUT", "vms/vm-1", vm)
    assert (status, body["name"]) == (400, "CONFIGURATION_INVALID")
    assert len(body["problems"]) == 2


@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("GET", "unknown"),
        ("GET", "accounts/unknown"),
        ("DELETE", "accounts/anna"),
        ("POST", "data-centres/unknown/take-out"),
        ("POST", "data-centres/north-1/explode"),
    ],
)
def test_unknown_paths_and_names_are_refused(admin, method, path):
    assert admin.call(method, path)[0] == 400


def test_unreadable_body_is_refused(admin):
    assert admin.call("PUT", "accounts/anna", ["x"])[0] == 400


def test_lost_race_is_a_conflict_with_a_diff(admin):
    # One entry per store call: the read of `head` succeeds, then an object is written.
    admin.store.faults = ["ok", "ok", "race"]
    status, body = admin.call("PUT", "accounts/anna", {"weight": 3})
    assert (status, body["name"]) == (409, "CONFIGURATION_CONFLICT")
    assert '+      "weight": 3' in body["diff"]


def test_old_expected_generation_is_a_conflict(admin):
    admin.commit(OBJECTS[0], attrs.evolve(OBJECTS[1], weight=9))
    status, body = admin.call(
        "PUT", "accounts/anna", {"weight": 3}, headers={"HTTP_IF_MATCH": '"1"'}
    )
    assert status == 409
    assert '-      "weight": 9' in body["diff"]


def test_data_centre_is_taken_out_and_returned(admin):
    assert admin.call("POST", "data-centres/north-1/take-out")[0] == 200
    assert not admin.node.replica.current().is_in_service("north-1")
    assert admin.call("POST", "data-centres/north-1/return")[0] == 200
    assert admin.node.replica.current().is_in_service("north-1")


def test_store_of_a_lower_generation_is_not_changed(admin):
    """Guards against a change based on a store that lost data."""
    admin.store.versions.clear()
    status, body = admin.call("PUT", "accounts/anna", {"weight": 3})
    assert (status, body["name"]) == (503, "STORE_UNAVAILABLE")
    assert not admin.store.versions


def test_status_names_unreachable_nodes(admin):
    vm = {
        "name": "gone",
        "role": "backend",
        "data_centre": "north-1",
        "region": "north",
        "node_address": free_address(),
        "state": "live",
    }
    admin.node.members.apply_vm_list(json.dumps({"version": 1, "vms": [vm]}).encode())
    status, body = admin.call("GET", "status")
    assert (status, body["unreachable"], body["generation"]) == (200, ["gone"], 1)
