"""Implement ``lookup``: query a host for the hosts that a caller should use."""

from json import loads
from urllib.parse import quote

from urllib3 import PoolManager

from damasktally.cli.common import Json, exit_with, print_json, print_table
from damasktally.cli.exit_codes import ExitCode

LOOKUP_TIMEOUT_S = 5.0


def lookup(entry: str, *, client: str = "", key: str = "", json: Json = False) -> None:
    """Query an entry host for the hosts that a caller should use.

    :param entry: the caller address of the host to query.
    :param client: the caller's address; this machine's address without it.
    :param key: the caller's secret.
    """
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    url = f"http://{entry}/v1/lookup?client={quote(client)}"
    try:
        resp = PoolManager(retries=False).request(
            "GET", url, headers=headers, timeout=LOOKUP_TIMEOUT_S
        )
    except Exception as exc:
        print(f"Error: {entry} does not answer ({exc}). Ask another host.")
        exit_with(ExitCode.UNREACHABLE)
    result = loads(resp.data)
    if json:
        print_json(result)
        return
    rows = [(h["host"], h["address"], h["region"]) for h in result["hosts"]]
    print_table(("HOST", "ADDRESS", "REGION"), rows)
    print(f"Valid for {result['lifetime_s']} s; the host is {result['isolation']}.")
