"""Implement ``explain``: show how a request was decided.

The decision is read from the hosts that still have a record of it, or from log lines.
"""

import sys
from json import loads
from pathlib import Path

from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from damasktally.cli.common import exit_with, print_json
from damasktally.cli.exit_codes import ExitCode
from damasktally.events.explanation import explain_request

ADMIN_TIMEOUT_S = 5.0
STANDARD_INPUT = Path("-")


def explain(
    request_id: str,
    admin: list[str] | None = None,
    token: str = "",
    log: Path | None = None,
) -> None:
    """Explain how a request was decided.

    :param request_id: the request's id.
    :param admin: admin addresses of the hosts to query.
    :param token: the hosts' admin token.
    :param log: a file of log lines to read instead; ``-`` is standard input.
    """
    if log is not None:
        _explain_from_log(request_id, log)
        return
    _explain_from_hosts(request_id, admin or [], token)


def _explain_from_log(request_id: str, log: Path) -> None:
    if log == STANDARD_INPUT:
        lines = explain_request(request_id, sys.stdin)
    else:
        with log.open(encoding="utf-8", errors="replace") as file:
            lines = explain_request(request_id, file)
    if not lines:
        print("The log has no line about that request.")
        exit_with(ExitCode.NOT_FOUND)
    for line in lines:
        print(line)


def _explain_from_hosts(request_id: str, admin: list[str], token: str) -> None:
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    http = PoolManager(retries=False)
    for address in admin:
        url = f"http://{address}/explain/{request_id}"
        try:
            resp = http.request("GET", url, headers=headers, timeout=ADMIN_TIMEOUT_S)
        except HTTPError as exc:
            print(f"{address} does not answer ({type(exc).__name__}).")
            continue
        if resp.status == 200:
            print_json(loads(resp.data))
            return
    print("No host has a record of that request. Each host keeps the newest 2000.")
    exit_with(ExitCode.NOT_FOUND)
