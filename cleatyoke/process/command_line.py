"""How commands of this package end: exit status 2 after one line that begins with a bad option's name."""

from __future__ import annotations

from collections.abc import Sequence

import click


def run_command(command: click.Command, words: Sequence[str] | None, program: str) -> int:
    """Run a command and return its exit status; ``program``: how the usage text names it."""
    args = None if words is None else list(words)
    try:
        return int(command.main(args, prog_name=program, standalone_mode=False) or 0)
    except click.MissingParameter as error:
        click.echo(f"{option_of(error)}: missing", err=True)
    except click.BadParameter as error:
        click.echo(f"{option_of(error)}: {error.message}", err=True)
    except click.NoSuchOption as error:
        click.echo(f"{error.option_name}: no such option", err=True)
    except click.ClickException as error:
        click.echo(error.message, err=True)
    return 2


def option_of(error: click.BadParameter) -> str:
    return error.param.opts[-1] if error.param else "arguments"
