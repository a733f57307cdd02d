"""Multiplexes the datagrams of several features on one transport, the membership's.

A feature's datagram starts with its tag, a byte from 1 to 127, and four bytes of a hash of the cluster's
name. All other datagrams are delivered to the user that opened the shared transport, the membership: its
datagrams are MessagePack arrays, which start with 0x90 or above, and are the same with and without features.
A firewall therefore has to open only one port, and the fault tool's proxy affects all features.

Datagrams of another cluster and of unknown tags are counted and dropped.
"""

from __future__ import annotations

from hashlib import blake2b

from loadbalancer.transports.base import BaseTransport
from loadbalancer.transports.interface import (
    Address,
    DatagramReceiver,
    Transport,
    TransportError,
)

MAX_TAG = 127
CLUSTER_HASH_BYTES = 4
CHANNEL_HEADER_BYTES = 1 + CLUSTER_HASH_BYTES


class Mux(BaseTransport):
    """A shared transport. It is itself a transport, which carries untagged datagrams.

    Attributes:
        transport: The transport that carries all datagrams.
        cluster_hash: Hash of the cluster's name, as in the header of channels.
        channels: Open channels by tag.
    """

    def __init__(self, transport: Transport, cluster: str) -> None:
        super().__init__(transport.max_datagram_bytes)
        self.transport = transport
        name = cluster.encode()
        self.cluster_hash = blake2b(name, digest_size=CLUSTER_HASH_BYTES).digest()
        self.channels: dict[int, Channel] = {}

    async def open(self, receiver: DatagramReceiver) -> Address:
        """Opens the shared transport; raises TransportError if its address cannot be used."""
        self.check_unopened()
        address = await self.transport.open(self.route)
        return self.mark_open(receiver, address)

    def send(self, data: bytes, to: Address) -> bool:
        """Sends an untagged datagram; drops it if it starts with a byte from 1 to 127."""
        if not self.check_sendable(data):
            return False
        if 0 < data[0] <= MAX_TAG:
            self.traffic.drop("unknown tag")
            return False
        return self.forward(self, data, data, to)

    def forward(
        self, sender: BaseTransport, data: bytes, datagram: bytes, to: Address
    ) -> bool:
        """Sends `datagram` on the shared transport, and counts its `data` for the sender."""
        if not self.transport.send(datagram, to):
            sender.traffic.drop("unreachable")  # the shared transport counts the reason
            return False
        return sender.count_sent(data)

    def route(self, data: bytes, source: Address) -> None:
        """Delivers a received datagram to the channel of its tag, or to the receiver of untagged ones."""
        tag = data[0] if data else 0
        if not 0 < tag <= MAX_TAG:
            self.deliver(data, source)
        elif data[1:CHANNEL_HEADER_BYTES] != self.cluster_hash:
            self.traffic.drop("foreign")
        elif (channel := self.channels.get(tag)) is None:
            self.traffic.drop("unknown tag")
        else:
            channel.deliver(data[CHANNEL_HEADER_BYTES:], source)

    def channel(self, tag: int, receiver: DatagramReceiver | None = None) -> Channel:
        """Creates a feature's transport.

        Args:
            tag: Tag of its datagrams, from 1 to 127.
            receiver: If given, the channel is open whenever the shared transport is.

        Raises:
            ValueError: The tag is out of range or in use.
        """
        if not 0 < tag <= MAX_TAG or tag in self.channels:
            raise ValueError(
                f"tag {tag} of a channel is not from 1 to {MAX_TAG}, or is in use"
            )
        channel = Channel(self, tag)
        if receiver is not None:
            channel.listen(receiver)
        return channel

    def close(self) -> None:
        """Closes the shared transport and all channels."""
        self.transport.close()
        self.mark_closed()
        for channel in list(self.channels.values()):
            channel.close()


class Channel(BaseTransport):
    """The transport of one feature. Its address is that of the shared transport: None until that is open."""

    def __init__(self, mux: Mux, tag: int) -> None:
        super().__init__(mux.max_datagram_bytes - CHANNEL_HEADER_BYTES)
        self.mux = mux
        self.tag = tag
        self._header = bytes((tag,)) + mux.cluster_hash

    @property
    def local_address(self) -> Address | None:
        """The shared transport's address, while both are open."""
        return self.mux.local_address if self.receiver is not None else None

    @local_address.setter
    def local_address(self, address: Address | None) -> None:
        pass  # the base class sets the address, but it always is the shared transport's

    def listen(self, receiver: DatagramReceiver) -> None:
        """Starts to receive the datagrams of the tag."""
        self.receiver = receiver
        self.mux.channels[self.tag] = self

    async def open(self, receiver: DatagramReceiver) -> Address:
        """Starts to receive; raises TransportError unless the shared transport is open."""
        self.check_unopened()
        if self.mux.local_address is None:
            raise TransportError("the shared transport is not open")
        self.listen(receiver)
        return self.mux.local_address

    def send(self, data: bytes, to: Address) -> bool:
        """Sends a datagram with the channel's header."""
        if not self.check_sendable(data):
            return False
        return self.mux.forward(self, data, self._header + data, to)

    def close(self) -> None:
        """Closes the channel and releases its tag."""
        if self.mux.channels.get(self.tag) is self:
            del self.mux.channels[self.tag]
        self.mark_closed()
