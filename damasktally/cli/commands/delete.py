"""Delete an object."""

from damasktally.cli.common import PlatformUrl, commands, explained


@explained
def delete(kind: str, name: str, *, platform: PlatformUrl) -> None:
    """Delete an object.

    :param kind: for example Customer.
    :param name: the object's name.
    """
    commands(platform).delete(kind, name)
    print(f"{kind} {name}: deleted")
