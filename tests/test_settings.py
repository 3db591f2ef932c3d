"""Settings, documents and the pages that describe them."""

import json
import logging
import pathlib
import tempfile
import unittest

import attrs

from bronzefold.core import documents
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.core import settings
from tests import fleet

DOCS = fleet.ROOT / "docs"
GOOD = {
  "node": "n0",
  "zone": "a",
  "fleet": "f",
  "secret": "s",
  "caller_address": "127.0.0.1:1",
  "peer_address": "127.0.0.1:2",
  "platform_addresses": ["127.0.0.1:3"],
}
DOCUMENT = {
  "service": "fuel",
  "owner": "team",
  "routes": {"top": {"kind": "search"}},
  "upstreams": [
    {"name": "u", "address": "127.0.0.1:9", "zone": "a", "version": "v1"}
  ],
  "versions": {"v1": {"share": 1}},
  "zones": {"a": "in"},
}


class SettingsTest(unittest.TestCase):
  """Settings files."""

  def load(self, text: str) -> settings.Settings:
    with tempfile.TemporaryDirectory() as directory:
      path = pathlib.Path(directory) / "settings.json"
      path.write_text(text)
      return settings.load_settings(path)

  def test_comments_are_allowed(self):
    loaded = self.load("// a node\n" + json.dumps(GOOD))
    self.assertEqual(loaded.node, "n0")

  def test_every_problem_is_named_with_its_path(self):
    cases = [
      ({"nodes": 1}, "nodes"),
      ({"node": ""}, "$.node"),
      ({"node": 3}, "$.node"),
      ({"caller_address": "localhost"}, "$.caller_address"),
      ({"platform_addresses": []}, "$.platform_addresses"),
      ({"lease_renewal_s": 3.0}, "$.lease_renewal_s"),
      ({"max_searches": True}, "$.max_searches"),
      ({"stop_limit_s": 1.0}, "$.stop_limit_s"),
    ]
    for changed, named in cases:
      with (
        self.subTest(changed=changed),
        self.assertRaises(exceptions.SettingsError) as raised,
      ):
        self.load(json.dumps({**GOOD, **changed}))
      self.assertIn(named, raised.exception.detail)
      self.assertIn("settings.json", raised.exception.detail)

  def test_missing_key_and_bad_syntax_are_named(self):
    missing = {k: v for k, v in GOOD.items() if k != "secret"}
    for text, named in ((json.dumps(missing), "secret"), ("{\n,}", ":2")):
      with self.assertRaises(exceptions.SettingsError) as raised:
        self.load(text)
      self.assertIn(named, raised.exception.detail)


class DocumentsTest(unittest.TestCase):
  """Service documents."""

  def test_good_document_comes_back_as_it_was(self):
    read = documents.read_document(json.dumps(DOCUMENT), "f").ok
    again = documents.read_document(documents.write_document(read), "f").ok
    self.assertEqual(read, again)

  def test_bad_documents_are_refused_with_paths(self):
    upstream = DOCUMENT["upstreams"][0]
    timed = {"share": 1, "start": 5, "by": 5}
    cases = [
      ({"service": "Fuel!"}, "$.service"),
      ({"routes": {}}, "$.routes"),
      ({"routes": {"top": {"kind": "serch"}}}, "$.routes.top.kind"),
      ({"upstreams": [upstream, upstream]}, "$.upstreams[1].name"),
      ({"upstreams": [{**upstream, "zone": "z"}]}, "$.upstreams[0].zone"),
      ({"upstreams": [{**upstream, "address": "x"}]}, "$.upstreams[0].address"),
      ({"versions": {"v1": {"share": 0.5}}}, "$.versions"),
      ({"versions": {"v1": timed}}, "$.versions.v1.by"),
      ({"versions": {"v1": {"share": 1, "by": 5}}}, "$.versions.v1"),
      ({"zones": {"a": "maybe"}}, "$.zones.a"),
      ({"limits": {"slots": 0}}, "$.limits.slots"),
      ({"limits": {"slot": 1}}, "slot"),
      ({"objectives": {"latency_share": 1}}, "$.objectives.latency_share"),
    ]
    for changed, named in cases:
      with self.subTest(changed=changed):
        text = json.dumps({**DOCUMENT, **changed})
        result = documents.read_document(text, "fuel.json")
        self.assertTrue(result.is_error())
        self.assertIn(named, result.error.detail)
        self.assertIn("fuel.json", result.error.detail)


class PagesTest(unittest.TestCase):
  """The pages name everything that the code has."""

  def test_catalogue_lists_every_event(self):
    page = (DOCS / "events.md").read_text("utf-8")
    for event in events.CATALOGUE.values():
      level = logging.getLevelName(event.level)
      line = f"| {event.number} | `{event.name}` | {level} | {event.meaning} |"
      self.assertIn(line, page)

  def test_reference_lists_every_key(self):
    page = (DOCS / "reference.md").read_text("utf-8")
    for kind in (
      settings.Settings,
      documents.Limits,
      documents.Objectives,
      documents.Version,
      documents.UpstreamEntry,
    ):
      for field in attrs.fields(kind):
        self.assertIn(field.name, page, kind)


if __name__ == "__main__":
  unittest.main()
