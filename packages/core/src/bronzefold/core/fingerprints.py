"""Digests by which nodes recognise a request that comes again."""

from __future__ import annotations

import hashlib

_DIGEST_BYTES = 8


def compute_fingerprint(*parts: bytes) -> str:
  """Returns the digest of a request's parts, in hexadecimal digits.

  Args:
    *parts: The parts; the digest depends on where each one ends.
  """
  digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
  for part in parts:
    digest.update(len(part).to_bytes(8, "big"))
    digest.update(part)
  return digest.hexdigest()
