"""Play loads against models of servers and callers, to compare ways of choosing."""

from damasktally.lab.loads import LOADS, Load
from damasktally.lab.play import Result, play
from damasktally.lab.policies import POLICIES
from damasktally.lab.report import plot, table

__all__ = ["LOADS", "POLICIES", "Load", "Result", "play", "plot", "table"]
