"""Start and cancel drains."""

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
    """Send no new work to a server, a data centre's servers, or an entry host.

    :param server: a backend server.
    :param data_centre: all backend servers of a data centre.
    :param host: an entry host, which look-ups then leave out.
    :param reason: shown to other operators.
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

    :param name: the drain's name, as ``get Drain`` lists it.
    """
    open_commands(platform).delete("Drain", name)
    print(f"Drain {name}: cancelled")
