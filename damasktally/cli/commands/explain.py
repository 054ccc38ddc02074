"""Explain how a request was decided."""

from json import loads

from urllib3 import PoolManager

from damasktally.cli.common import leave, print_json
from damasktally.cli.exit_codes import ExitCode

TIMEOUT_S = 5.0


def explain(request_id: str, admin: list[str], token: str = "") -> None:
    """Ask hosts how a request was decided.

    :param request_id: the ``X-Request-Id`` of its answer.
    :param admin: admin addresses of the hosts to ask.
    :param token: the hosts' admin token.
    """
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    http = PoolManager(retries=False)
    for address in admin:
        url = f"http://{address}/explain/{request_id}"
        try:
            resp = http.request("GET", url, headers=headers, timeout=TIMEOUT_S)
        except Exception:
            print(f"{address} does not answer.")
            continue
        if resp.status == 200:
            print_json(loads(resp.data))
            return
    print("No host remembers that request. Hosts keep the newest 2000 each.")
    leave(ExitCode.NOT_FOUND)
