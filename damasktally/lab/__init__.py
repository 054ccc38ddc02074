"""Simulate servers and callers under load, to compare ways of choosing a server."""

from damasktally.lab.loads import LOADS, Load
from damasktally.lab.policies import POLICIES
from damasktally.lab.report import format_plot, format_table
from damasktally.lab.simulation import Result, simulate

__all__ = [
    "LOADS",
    "POLICIES",
    "Load",
    "Result",
    "format_plot",
    "format_table",
    "simulate",
]
