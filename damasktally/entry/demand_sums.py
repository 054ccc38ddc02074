"""Add up the demand of each customer over hosts and data centres."""

from collections.abc import Mapping
from operator import is_

Table = Mapping[str, float]


class DemandSums:
    """Sums of tables by customer, computed again when one of the tables is replaced."""

    def __init__(self) -> None:
        self._tables: list[Table] = []
        self._sums: dict[str, float] = {}

    def update(self, tables: list[Table], base: Table | None = None) -> Table:
        """Return the sums over tables, which must not change after they were given.

        :param base: sums over other tables that come first.
        :returns: the same table as before if all tables are the same.
        """
        given = tables if base is None else [base, *tables]
        if len(given) == len(self._tables) and all(map(is_, given, self._tables)):
            return self._sums
        sums = {} if base is None else dict(base)
        for table in tables:
            for name, value in table.items():
                if value:
                    sums[name] = sums.get(name, 0.0) + value
        self._tables, self._sums = given, sums
        return sums


def rounded(sums: Table) -> dict[str, float]:
    """Return sums as messages carry them."""
    return {name: round(value, 2) for name, value in sums.items()}


def largest_by_customer(first: Table, second: Table) -> dict[str, float]:
    """Return the larger value of each customer in two tables."""
    return {
        name: max(first.get(name, 0.0), second.get(name, 0.0))
        for name in {**first, **second}
    }
