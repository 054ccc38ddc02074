"""Implement ``delete``: delete an object."""

from damasktally.cli.common import PlatformUrl, open_commands, report_errors


@report_errors
def delete(kind: str, name: str, *, platform: PlatformUrl) -> None:
    """Delete an object.

    :param kind: the object's kind, for example Customer.
    :param name: the object's name.
    """
    open_commands(platform).delete(kind, name)
    print(f"{kind} {name}: deleted")
