"""Runs the Lidwright deployment on loopback until Ctrl-C, as a quick start."""

import sys

from eelgrassdale.stopping import catch_stop_signals
from eelgrassdale_standins.commands import OBJECT_API, VM_LIST
from eelgrassdale_standins.control import http_url
from eelgrassdale_standins.demo import demo_topology
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.processes import ProcessError
from eelgrassdale_standins.topology import LID_ASSISTANT

CURL_COMMAND = """\
curl --no-buffer {url} \\
  -H 'X-Client-Account: {account}' -H 'Content-Type: application/json' \\
  -d '{{"prompt": "Which lid fits a 24 cm pot?", "max_tokens": 12}}'"""


EXPORT_COMMANDS = """\
export EELGRASSDALE_OBJECT_API_URL={object_api}
export EELGRASSDALE_VM_LIST_URL={vm_list}
export EELGRASSDALE_WEIGHT_SOURCE={weight_source}"""


def operator_exports(deployment: Deployment) -> str:
    """Return shell commands that point the operator commands at the deployment."""
    platform = deployment.addresses.platform
    return EXPORT_COMMANDS.format(
        object_api=http_url(platform[OBJECT_API]),
        vm_list=http_url(platform[VM_LIST]),
        weight_source=http_url(platform[deployment.topology.weight_sources[0]]),
    )


def example_request(deployment: Deployment) -> str:
    """Return a curl command that calls the model service through an entry node."""
    address = next(iter(deployment.addresses.caller.values()))
    return CURL_COMMAND.format(
        url=http_url(address, f"/v1/services/{LID_ASSISTANT}/generate"),
        account=deployment.topology.accounts[0].name,
    )


def main() -> int:
    """Run the deployment; return 1 when it does not start."""
    wait_for_stop = catch_stop_signals()
    try:
        with Deployment(demo_topology()) as deployment:
            print(operator_exports(deployment))
            print(example_request(deployment))
            print("Ctrl-C ends the deployment.", flush=True)
            wait_for_stop()
            deployment.stop_nodes()
    except ProcessError as exc:
        print(f"deployment did not start: {exc}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
