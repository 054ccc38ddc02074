"""Build the command-line application from its commands."""

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


def build_app() -> App:
    """Return the application with every command registered."""
    app = App(
        name="damasktally",
        help="Steer live traffic to healthy backend servers.",
        version=__version__,
    )
    plain_commands = (
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
    for command in plain_commands:
        app.command(command)
    key_app = App(name="key", help="Issue and withdraw customers' keys.")
    key_app.command(issue)
    key_app.command(withdraw)
    app.command(key_app)
    drain_app = App(name="drain", help="Start and cancel planned drains.")
    drain_app.command(start)
    drain_app.command(cancel)
    app.command(drain_app)
    return app


def main() -> None:
    """Run the command line."""
    build_app()()
