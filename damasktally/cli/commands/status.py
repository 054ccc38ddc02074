"""Implement ``status``: show the status of several hosts as one table."""

from json import loads
from time import sleep

from urllib3 import PoolManager

from damasktally.cli.common import Json, print_json, print_table

ADMIN_TIMEOUT_S = 5.0
REFRESH_INTERVAL_S = 2.0


def status(
    admin: list[str], token: str = "", watch: bool = False, json: Json = False
) -> None:
    """Query hosts for their status and show it as a table.

    :param admin: admin addresses of the hosts.
    :param token: the hosts' admin token.
    :param watch: repeat the query until interrupted.
    """
    while True:
        statuses = {address: _fetch_status(address, token) for address in admin}
        if json:
            print_json(statuses)
        else:
            _print_statuses(statuses)
        if not watch:
            return
        sleep(REFRESH_INTERVAL_S)


def _fetch_status(address: str, token: str) -> dict | None:
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    try:
        resp = PoolManager(retries=False).request(
            "GET", f"http://{address}/status", headers=headers, timeout=ADMIN_TIMEOUT_S
        )
        return loads(resp.data)
    except Exception:
        return None


def _print_statuses(statuses: dict[str, dict | None]) -> None:
    rows = []
    for address, host in statuses.items():
        if host is None:
            rows.append((address, "-", "no answer", "-", "-", "-", "-", "Check it."))
            continue
        rows.append(
            (
                host["host"],
                host["region"],
                host["isolation"],
                host["revision"],
                host["generation"],
                f"{host['headroom']:.0%}",
                host["in_flight"],
                _suggest_remedy(host),
            )
        )
    column_titles = (
        "HOST",
        "REGION",
        "PLATFORM",
        "REVISION",
        "ROSTER",
        "HEADROOM",
        "IN FLIGHT",
        "REMEDY",
    )
    print_table(column_titles, rows)
    drained = {s for host in statuses.values() if host for s in host["drained_servers"]}
    if drained:
        print(f"Drained servers: {', '.join(sorted(drained))}")


def _suggest_remedy(host: dict) -> str:
    if host["isolation"] == "isolated":
        return "Repair the network to the platform's region."
    if not host["member"]:
        return "Wait until it has joined; the platform must be up."
    if not host["shares_settled"]:
        return "Wait until the change of the roster has settled."
    if host["problems"]:
        return host["problems"][0]
    return ""
