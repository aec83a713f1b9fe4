"""How commands of this package report an invalid option: one line that names it, and exit status 2."""

from __future__ import annotations

from collections.abc import Sequence

import click


def run_command(command: click.Command, arguments: Sequence[str] | None, program: str) -> int:
    """Run a command and return its exit status; ``program`` is its name in the usage text.

    Where ``arguments`` is ``None``, the arguments of the process are used.
    """
    args = None if arguments is None else list(arguments)
    try:
        return int(command.main(args, prog_name=program, standalone_mode=False) or 0)
    except click.MissingParameter as error:
        click.echo(f"{_option_name(error)}: missing", err=True)
    except click.BadParameter as error:
        click.echo(f"{_option_name(error)}: {error.message}", err=True)
    except click.NoSuchOption as error:
        click.echo(f"{error.option_name}: no such option", err=True)
    except click.ClickException as error:
        click.echo(error.message, err=True)
    return 2


def _option_name(error: click.BadParameter) -> str:
    return error.param.opts[-1] if error.param else "arguments"
