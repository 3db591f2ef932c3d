"""A forwarder of connections that can cut them."""

from __future__ import annotations

import asyncio
import threading


class Forwarder:
  """Forwards connections to an address until it is cut.

  Args:
    port: Port of 127.0.0.1 to listen on.
    target: IP:port to forward to.
  """

  def __init__(self, port: int, target: str) -> None:
    self._port, self._target = port, target
    self._cut = False
    self._writers: set[asyncio.StreamWriter] = set()
    self._loop = asyncio.new_event_loop()
    self._ready = threading.Event()
    self._thread = threading.Thread(target=self._run, daemon=True)
    self._thread.start()
    self._ready.wait(5.0)

  def set_cut(self, cut: bool) -> None:
    """Cuts all connections and refuses new ones, or stops doing so."""
    self._loop.call_soon_threadsafe(self._set_cut, cut)

  def close(self) -> None:
    self._loop.call_soon_threadsafe(self._loop.stop)
    self._thread.join()

  def _set_cut(self, cut: bool) -> None:
    self._cut = cut
    for writer in list(self._writers) if cut else ():
      writer.transport.abort()

  def _run(self) -> None:
    asyncio.set_event_loop(self._loop)
    self._loop.run_until_complete(
      asyncio.start_server(self._serve, "127.0.0.1", self._port)
    )
    self._ready.set()
    self._loop.run_forever()

  async def _serve(self, reader, writer) -> None:
    if self._cut:
      writer.transport.abort()
      return
    host, _, port = self._target.partition(":")
    try:
      there = await asyncio.open_connection(host, int(port))
    except OSError:
      writer.transport.abort()
      return
    self._writers |= {writer, there[1]}
    await asyncio.gather(
      self._copy(reader, there[1]), self._copy(there[0], writer)
    )
    self._writers -= {writer, there[1]}

  async def _copy(self, reader, writer) -> None:
    try:
      while data := await reader.read(65536):
        writer.write(data)
        await writer.drain()
    except OSError:
      pass
    finally:
      writer.transport.abort()
