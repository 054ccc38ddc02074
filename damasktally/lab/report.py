"""Format results side by side, as a table and as a plot over time."""

from collections.abc import Sequence

from damasktally.lab.simulation import WINDOW_S, Result

SHADES = " .:-=+*#%@"


def format_table(results: Sequence[Result]) -> list[str]:
    """Return a line of titles, and one line for each result."""
    titles = ("load", "policy", "worth", "on time", "late", "refused")
    lines = ["{:<11}{:<14}{:>7}{:>9}{:>9}{:>9}".format(*titles)]
    for item in results:
        ratios = [
            count / item.requests for count in (item.on_time, item.late, item.refused)
        ]
        lines.append(
            f"{item.load:<11}{item.policy:<14}{item.worth:>7.3f}"
            + "".join(f"{100 * ratio:>8.1f}%" for ratio in ratios)
        )
    return lines


def format_plot(results: Sequence[Result]) -> list[str]:
    """Return a line of explanation, and a plot of the served worth for each result.

    Each character represents one window; the darker it is, the larger the ratio of the
    requested worth that was served.
    """
    lines = [f"worth served in each {WINDOW_S:g} s, from ' ' for none to '@' for all"]
    for item in results:
        characters = ""
        for number in sorted(item.windows):
            served, requested = item.windows[number]
            level = int(served / max(requested, 1e-9) * (len(SHADES) - 1) + 0.5)
            characters += SHADES[min(level, len(SHADES) - 1)]
        lines.append(f"{item.load:<11}{item.policy:<14}|{characters}|")
    return lines
