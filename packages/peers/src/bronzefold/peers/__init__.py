"""Messages, links and membership between nodes."""

from bronzefold.peers.links import Frame
from bronzefold.peers.links import FrameCodec
from bronzefold.peers.links import PeerLink
from bronzefold.peers.links import PeerNetwork
from bronzefold.peers.membership import FleetContact
from bronzefold.peers.membership import Member
from bronzefold.peers.membership import Membership
from bronzefold.peers.messages import ManifestReport
from bronzefold.peers.messages import Suspicion
from bronzefold.peers.messages import UpstreamReport

__all__ = [
  "FleetContact",
  "Frame",
  "FrameCodec",
  "ManifestReport",
  "Member",
  "Membership",
  "PeerLink",
  "PeerNetwork",
  "Suspicion",
  "UpstreamReport",
]
