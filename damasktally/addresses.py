"""Read addresses as settings write them."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address.

    :param address: ``host:port``; brackets around an IPv6 host are left out.
    :raises ValueError: when there is no port, or it is no number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
