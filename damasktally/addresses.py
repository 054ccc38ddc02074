"""Parse network addresses of the form ``host:port``."""


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    :param address: ``host:port``, or ``[host]:port`` for an IPv6 host.
    :returns: the host without brackets, and the port.
    :raises ValueError: when the port is missing or is not a number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
