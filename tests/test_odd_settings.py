"""Settings files that are invalid, or being written as a node reads them."""

import signal
import unittest

from bronzefold.core import exceptions
from bronzefold.platform import settings
from tests import gateways
from tests.standins import site as sites


class OddSettingsTest(unittest.TestCase):
  """Bytes that a settings file may have while it is being changed."""

  def test_they_are_refused_with_a_reason(self):
    """Guards against an error of no type, which ended the process (Fault)."""
    site = self.enterContext(sites.Site())
    node = self.enterContext(gateways.Node(site, "n0"))
    path = node.settings_path
    whole = path.read_bytes()
    node_settings = settings.load_settings(path, "9464")
    self.assertEqual(node_settings.node, "n0")
    for name, content in {
      "no UTF-8": whole.replace(b"n0", b"\xff\xfe"),
      "half a character": whole + b"x = '\xe2\x82",
      "zero bytes": bytes(len(whole)),
      "half": whole[: len(whole) // 2],
      "empty": b"",
      "deeply nested": whole + b"\nx = " + b"[" * 100_000,
      "huge number": whole.replace(b"graceS = 6", b"graceS = " + b"9" * 5000),
      "no number": whole.replace(b"graceS = 6", b"graceS = nan"),
      "negative number": whole.replace(b"graceS = 6", b"graceS = -6"),
      "infinite number": whole.replace(b"graceS = 6", b"graceS = inf"),
      "another type": whole.replace(b"graceS = 6", b"graceS = 'six'"),
      "a port that is none": whole.replace(
        b'front = "127.0.0.1:', b'front = "127.0.0.1:x'
      ),
      "no port": whole.replace(b'readiness = "127.0.0.1:', b'readiness = "'),
    }.items():
      with self.subTest(content=name):
        self.assertNotEqual(content, whole)
        path.write_bytes(content)
        with self.assertRaises(exceptions.SettingsError):
          settings.load_settings(path, "9464")
    path.unlink()
    with self.assertRaises(exceptions.SettingsError):
      settings.load_settings(path, "9464")

  def test_node_that_reloads_them_goes_on(self):
    site = self.enterContext(sites.Site())
    site.put("op/config", sites.make_configuration(1, []))
    node = self.enterContext(gateways.Node(site, "n0"))
    node.wait_ready()
    for count, content in enumerate((b"\xff\xfe\x00", b"", b"x = ["), 1):
      node.settings_path.write_bytes(content)
      node.popen.send_signal(signal.SIGHUP)
      gateways.wait_until(
        lambda count=count: len(node.read_events("settings_refused")) >= count,
        "the settings are refused",
      )
    self.assertTrue(node.is_ready())


if __name__ == "__main__":
  unittest.main()
