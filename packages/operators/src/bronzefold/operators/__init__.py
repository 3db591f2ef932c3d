"""The operators' command line."""

from bronzefold.operators.commands import COMMANDS
from bronzefold.operators.commands import Context
from bronzefold.operators.commands import ExitCode

__all__ = ["COMMANDS", "Context", "ExitCode"]
