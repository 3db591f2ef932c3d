"""Tests of the translation between the users' platform and bronzefold."""

import json
import pathlib
import tempfile
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bronzefold import store
from bronzefold.core import exceptions
from bronzefold.gateway import changes
from bronzefold.platform import documents
from bronzefold.platform import settings as platform_settings
from bronzefold.platform import store as platform_store
from tests.standins import site as sites

_KEYS = strategies.sampled_from(
  ("op/config", "op/evacuate/a", "op/rollout/s", "servers/i", "bronzefold/x")
)
_JSON = strategies.recursive(
  strategies.none()
  | strategies.booleans()
  | strategies.integers()
  | strategies.floats()
  | strategies.text(max_size=8),
  lambda inner: (
    strategies.lists(inner, max_size=4)
    | strategies.dictionaries(
      strategies.sampled_from(
        ("version", "routes", "services", "limits", "state", "address", "born")
      ),
      inner,
      max_size=5,
    )
  ),
  max_leaves=12,
)


def read(key, value):
  """Translates an entry; a value that is not text is encoded as JSON."""
  text = value if isinstance(value, str) else json.dumps(value)
  return documents.read_change(store.Entry(key, text, 1), 100.0)


class DocumentsTest(unittest.TestCase):
  """Translation of entries of the store."""

  @given(key=_KEYS, text=strategies.text(max_size=40))
  @settings(derandomize=True, deadline=None)
  def test_any_text_is_read_or_refused(self, key, text):
    self.check(key, read(key, text))

  @given(key=_KEYS, value=_JSON)
  @settings(derandomize=True, deadline=None)
  def test_any_json_is_read_or_refused(self, key, value):
    self.check(key, read(key, value))

  def check(self, key, change):
    allowed = {
      "op/config": (changes.ConfigurationUpdate, changes.InvalidEntry),
      "op/evacuate/a": (changes.ZoneUpdate,),
      "op/rollout/s": (changes.OrderUpdate, changes.InvalidEntry),
      "status/rollout/s": (changes.RecordUpdate, changes.InvalidEntry),
      "servers/i": (changes.InstanceUpdate, changes.InvalidEntry),
    }
    self.assertIsInstance(change, allowed.get(key, (type(None),)))

  def test_configuration_entry_is_translated(self):
    routes = [
      sites.make_route("plain", service="a"),
      sites.make_route("search", gather=["a", "b"], topK=5, minCoverage=0.75),
    ]
    change = read("op/config", sites.make_configuration(3, routes))
    plain, search = change.configuration.routes
    self.assertEqual([part.service for part in plain.weighted_services], ["a"])
    self.assertEqual(search.shards, ("a", "b"))
    self.assertTrue(search.is_idempotent)
    self.assertEqual((search.top_k, search.min_coverage), (5, 0.75))
    self.assertEqual((plain.timeout_s, plain.latency_objective_s), (2.0, 0.4))
    service = change.configuration.services["a"]
    self.assertEqual((service.max_connections, service.warm_up_s), (26, 3.0))

  def test_warm_up_left_is_counted_from_now(self):
    report = {
      "service": "a",
      "address": "10.0.0.1:1",
      "zone": "z",
      "concurrency": 2,
      "state": "ready",
      "warmupLeftMs": 1500,
      "sequence": 4,
      "born": 7,
    }
    instance = read("servers/i", report).instance
    self.assertEqual((instance.cold_until, instance.born_ms), (101.5, 7))
    for broken in ({"born": 1.5}, {"concurrency": "2"}, {"state": "asleep"}):
      change = read("servers/i", {**report, **broken})
      self.assertIsInstance(change, changes.InvalidEntry)


class StoreDialectTest(unittest.TestCase):
  """Decoding of responses of the store."""

  @given(body=strategies.binary(max_size=60))
  @settings(derandomize=True, deadline=None)
  def test_unreadable_responses_are_typed_errors(self, body):
    dialect = platform_store.StoreDialect()
    for read_body in (
      dialect.read_listing,
      dialect.read_changes,
      dialect.read_lease,
      dialect.read_revision,
    ):
      with self.assertRaises(exceptions.StoreUnavailableError):
        read_body(body)

  def test_value_that_is_not_utf8_is_an_invalid_entry(self):
    body = b'{"items":[{"key":"servers/i","value":"/w==","revision":2}],"at":3}'
    (entry,) = platform_store.StoreDialect().read_listing(body).entries
    change = documents.read_change(entry, 0.0)
    self.assertIsInstance(change, changes.InvalidEntry)


class SettingsTest(unittest.TestCase):
  """Loading of the settings file."""

  def test_settings_error_names_file_and_field(self):
    with tempfile.TemporaryDirectory() as directory:
      path = pathlib.Path(directory) / "boot.toml"
      for text, expected in (("nodeName = 3", "nodeName"), ("[", "boot.toml")):
        path.write_text(text, "utf-8")
        with self.assertRaises(exceptions.SettingsError) as caught:
          platform_settings.load_settings(path, "1")
        self.assertIn(str(path), caught.exception.detail)
        self.assertIn(expected, caught.exception.detail)


if __name__ == "__main__":
  unittest.main()
