"""Implement ``drain``: start and cancel drains."""

from damasktally.cli.common import PlatformUrl, open_commands, report_errors


@report_errors
def start(
    *,
    platform: PlatformUrl,
    server: str | None = None,
    data_centre: str | None = None,
    host: str | None = None,
    reason: str = "",
) -> None:
    """Stop sending new work to a server, a data centre's servers or an entry host.

    :param server: the backend server to drain.
    :param data_centre: the data centre whose backend servers are all drained.
    :param host: the entry host to drain, which look-ups then omit.
    :param reason: a text that other operators are shown.
    """
    spec = {
        "server": server,
        "data_centre": data_centre,
        "host": host,
        "reason": reason,
    }
    name = f"drain-{server or data_centre or host}"
    stored = open_commands(platform).apply("Drain", name, spec)
    print(f"Drain {name}: revision {stored.revision}")


@report_errors
def cancel(name: str, *, platform: PlatformUrl) -> None:
    """Cancel a drain.

    :param name: the drain's name as listed by ``get Drain``.
    """
    open_commands(platform).delete("Drain", name)
    print(f"Drain {name}: cancelled")
