"""A TCP forwarder that can interrupt its connections, for tests."""

from __future__ import annotations

import asyncio
import threading


class Forwarder:
  """Forwards connections to an address, in a separate thread.

  Args:
    port: Port of 127.0.0.1 to listen on.
    target: IP:port to forward to.
  """

  def __init__(self, port: int, target: str) -> None:
    self._port, self._target = port, target
    self._is_interrupted = False
    self._writers: set[asyncio.StreamWriter] = set()
    self._loop = asyncio.new_event_loop()
    self._listening = threading.Event()
    self._stop = asyncio.Event()
    self._thread = threading.Thread(target=self._run, daemon=True)
    self._thread.start()
    self._listening.wait(5.0)

  def set_interrupted(self, interrupted: bool) -> None:
    """Starts or ends an interruption.

    Args:
      interrupted: True to reset all connections and each new one, False to
        forward new connections again.
    """
    self._loop.call_soon_threadsafe(self._apply_interruption, interrupted)

  def close(self) -> None:
    """Stops the thread, and with it the forwarding."""
    self._loop.call_soon_threadsafe(self._stop.set)
    self._thread.join()

  def _apply_interruption(self, interrupted: bool) -> None:
    self._is_interrupted = interrupted
    for writer in list(self._writers) if interrupted else ():
      writer.transport.abort()

  def _run(self) -> None:
    with asyncio.Runner(loop_factory=lambda: self._loop) as runner:
      runner.run(self._forward())

  async def _forward(self) -> None:
    """Forwards connections until the stop, then closes all of them."""
    server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
    self._listening.set()
    await self._stop.wait()
    server.close()
    for writer in self._writers:
      writer.transport.abort()
    others = asyncio.all_tasks() - {asyncio.current_task()}
    if others:
      await asyncio.wait(others, timeout=1.0)

  async def _serve(self, reader, writer) -> None:
    """Forwards a connection in both directions until they end."""
    if self._is_interrupted:
      writer.transport.abort()
      return
    host, _, port = self._target.partition(":")
    try:
      target_streams = await asyncio.open_connection(host, int(port))
    except OSError:
      writer.transport.abort()
      return
    self._writers |= {writer, target_streams[1]}
    await asyncio.gather(
      self._copy(reader, target_streams[1]),
      self._copy(target_streams[0], writer),
    )
    self._writers -= {writer, target_streams[1]}

  async def _copy(self, reader, writer) -> None:
    """Copies one direction; at its end the writer's connection is reset."""
    try:
      while data := await reader.read(65536):
        writer.write(data)
        await writer.drain()
    except OSError:
      pass
    finally:
      writer.transport.abort()
