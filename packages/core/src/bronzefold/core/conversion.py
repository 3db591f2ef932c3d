"""Strict conversion of JSON with comments to ``attrs`` instances."""

from __future__ import annotations

import functools
import json
from typing import Any
from typing import TypeVar

import cattrs
from cattrs.strategies import configure_union_passthrough
import json5

_T = TypeVar("_T")


class StructureError(Exception):
  """A text is not JSON, or does not fit the expected class."""


@functools.cache
def _make_converter() -> cattrs.Converter:
  converter = cattrs.Converter(forbid_extra_keys=True)
  configure_union_passthrough(int | float | str | None, converter)
  for kind, accepted in (
    (int, (int,)),
    (str, (str,)),
    (bool, (bool,)),
    (float, (int, float)),
  ):
    converter.register_structure_hook(
      kind, functools.partial(_check_scalar, kind=kind, accepted=accepted)
    )
  return converter


def _check_scalar(value: Any, _: type, kind: type, accepted: tuple) -> Any:
  is_bool = isinstance(value, bool)
  if not isinstance(value, accepted) or (is_bool and kind is not bool):
    raise ValueError(f"expected {kind.__name__}, not {value!r}")
  return kind(value)


def structure(text: str, kind: type[_T]) -> _T:
  """Converts a text to an instance of an ``attrs`` class.

  Args:
    text: JSON with comments.
    kind: The class.

  Returns:
    An instance of ``kind``.

  Raises:
    StructureError: The text is not JSON (the error names the line), a key is
      unknown or missing, or a value has a wrong type (the error names the
      path).
  """
  try:
    data = json5.loads(text)
  except (ValueError, RecursionError) as error:
    raise StructureError(f"not JSON with comments: {error}") from error
  try:
    return _make_converter().structure(data, kind)
  except cattrs.BaseValidationError as error:
    problems = cattrs.transform_error(error, path="$")
    raise StructureError("\n".join(problems)) from error
  except (TypeError, AttributeError) as error:
    raise StructureError(f"expected an object @ $: {error}") from error


def unstructure(instance: Any) -> str:
  """Converts an ``attrs`` instance to JSON with sorted keys."""
  return json.dumps(_make_converter().unstructure(instance), sort_keys=True)
