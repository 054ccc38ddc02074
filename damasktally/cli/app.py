"""Put the command line together."""

from cyclopts import App

from damasktally import __version__
from damasktally.cli.commands.apply import apply
from damasktally.cli.commands.audit import audit
from damasktally.cli.commands.check import check
from damasktally.cli.commands.delete import delete
from damasktally.cli.commands.demo import demo
from damasktally.cli.commands.describe import describe
from damasktally.cli.commands.drain import cancel, start
from damasktally.cli.commands.explain import explain
from damasktally.cli.commands.get import get
from damasktally.cli.commands.key import issue, withdraw
from damasktally.cli.commands.lab import lab
from damasktally.cli.commands.lookup import lookup
from damasktally.cli.commands.serve import serve
from damasktally.cli.commands.status import status
from damasktally.cli.commands.watch import watch


def build() -> App:
    """Return the application with all commands."""
    app = App(
        name="damasktally",
        help="Steer live traffic to healthy backend servers.",
        version=__version__,
    )
    plain = (
        serve,
        demo,
        check,
        apply,
        get,
        describe,
        watch,
        delete,
        lookup,
        audit,
        explain,
        status,
        lab,
    )
    for command in plain:
        app.command(command)
    keys = App(name="key", help="Issue and withdraw customers' keys.")
    keys.command(issue)
    keys.command(withdraw)
    app.command(keys)
    drains = App(name="drain", help="Start and cancel planned drains.")
    drains.command(start)
    drains.command(cancel)
    app.command(drains)
    return app


def main() -> None:
    """Run the command line."""
    build()()
