"""Entry point of sillctl."""

import sys

import fire

from bramleysill_kernel.common.exceptions import SillError
from sillctl import output
from sillctl.commands import Commands
from sillctl.exceptions import EXIT_OK
from sillctl.exceptions import exit_code

JSON_FLAGS = ('--json', '-j', '--json=True')
HELP_FLAGS = ('--help', '-h')


def _find_command(words):
    """Return the command in a command line, or an empty string."""
    return next((w for w in words if hasattr(Commands, w)), '')


def run(args):
    """Run one command line; print its result and return the exit code."""
    # The JSON flag is moved to the end as --json=True, since fire takes the
    # word after a bare flag as its value. A leading help flag clears the line,
    # since fire lists the commands only for an empty command line.
    as_json = any(a in JSON_FLAGS for a in args)
    words = [a for a in args if a not in JSON_FLAGS]
    if words and words[0] in HELP_FLAGS:
        words = []
    if as_json:
        words.append(JSON_FLAGS[-1])
    try:
        fire.Fire(Commands, command=words, name='sillctl')
    except SillError as exc:
        if as_json:
            error = {'error': output.error_fields(exc)}
            print(output.to_json(_find_command(words), error))
        else:
            print(output.error_text(exc), file=sys.stderr)
        return exit_code(exc)
    return EXIT_OK


def main():
    """Run the command line of this process."""
    sys.exit(run(sys.argv[1:]))


if __name__ == '__main__':
    main()
