"""Implement ``key``: issue and withdraw keys."""

from damasktally.cli.common import PlatformUrl, open_commands, report_errors


@report_errors
def issue(name: str, customer: str, *, platform: PlatformUrl) -> None:
    """Issue a key and print its secret, which is not shown again.

    :param name: the name of the new key.
    :param customer: the customer that the key authenticates.
    """
    issued = open_commands(platform).issue_key(name, customer)
    print(f"Key {issued.name}, revision {issued.revision}")
    print(f"Secret, shown only now: {issued.secret}")


@report_errors
def withdraw(name: str, *, platform: PlatformUrl) -> None:
    """Withdraw a key; every host refuses it within seconds.

    :param name: the key's name.
    """
    stored = open_commands(platform).withdraw_key(name)
    print(f"Key {name}: withdrawn at revision {stored.revision}")
