"""Kinds of objects that operators write, and the immutable view of all of them."""

from damasktally.resources.kinds import (
    KINDS,
    OPERATOR_KINDS,
    VIEW_KINDS,
    BackendServer,
    Customer,
    DataCentre,
    Drain,
    Key,
    Link,
    Member,
    Pool,
    Region,
    Roster,
    Route,
    SteeringPolicy,
)
from damasktally.resources.view import View

__all__ = [
    "KINDS",
    "OPERATOR_KINDS",
    "VIEW_KINDS",
    "BackendServer",
    "Customer",
    "DataCentre",
    "Drain",
    "Key",
    "Link",
    "Member",
    "Pool",
    "Region",
    "Roster",
    "Route",
    "SteeringPolicy",
    "View",
]
