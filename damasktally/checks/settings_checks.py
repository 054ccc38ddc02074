"""Check combinations of options."""

from collections.abc import Iterator
from ipaddress import ip_address

from damasktally.addresses import split_address
from damasktally.checks.registry import CheckMessage, register
from damasktally.conf import Settings

MIN_HEARTBEATS_PER_FENCE = 3
MAX_CONFIRMATION_HOPS = 2


@register
def check_ports_differ(settings: Settings) -> Iterator[CheckMessage]:
    """Report two ports that share an address."""
    sections = {
        "caller": settings.caller.address,
        "peer": settings.peer.address,
        "admin": settings.admin.address,
    }
    if len(set(sections.values())) < len(sections):
        yield CheckMessage(
            "checks.E101",
            "Two of [caller], [peer] and [admin] share an address.",
            "Give each a port of its own.",
        )


@register
def check_admin_token(settings: Settings) -> Iterator[CheckMessage]:
    """Report an admin port that is not on loopback and requires no token."""
    host, _ = split_address(settings.admin.address)
    if not settings.admin.token and not ip_address(host).is_loopback:
        yield CheckMessage(
            "checks.E102",
            "[admin] address is not on loopback and there is no token.",
            "Set [admin] token, or listen on 127.0.0.1.",
        )


@register
def check_fence_duration(settings: Settings) -> Iterator[CheckMessage]:
    """Report a fence so short that a few lost heartbeats fence a host."""
    member = settings.membership
    if member.fence_s < MIN_HEARTBEATS_PER_FENCE * member.heartbeat_s:
        yield CheckMessage(
            "checks.E103",
            "[membership] fence_s is under three heartbeats.",
            "Raise fence_s or lower heartbeat_s.",
        )


@register
def check_isolation_bound(settings: Settings) -> Iterator[CheckMessage]:
    """Report a bound shorter than the age of a confirmation relayed by two peers.

    Such a confirmation is up to two heartbeats and one watch old when it arrives.
    """
    relay_delay_s = MAX_CONFIRMATION_HOPS * settings.membership.heartbeat_s
    if settings.isolation.bound_s < relay_delay_s + settings.platform.watch_wait_s:
        yield CheckMessage(
            "checks.W104",
            "[isolation] bound_s is shorter than two heartbeats and a watch.",
            "A host cut off from the platform will refuse keys; raise bound_s.",
        )


@register
def check_keyed_requests(settings: Settings) -> Iterator[CheckMessage]:
    """Warn when withdrawn keys are accepted while the host is isolated."""
    if settings.isolation.keyed == "serve":
        yield CheckMessage(
            "checks.W105",
            "[isolation] keyed = serve lets withdrawn keys work while cut off.",
            "Use 'refuse' unless you accept that.",
        )


ALL = (
    check_ports_differ,
    check_admin_token,
    check_fence_duration,
    check_isolation_bound,
    check_keyed_requests,
)
