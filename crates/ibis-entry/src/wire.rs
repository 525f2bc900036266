//! Encodes and decodes datagrams between entries.

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::Bytes;
use flow::{Id, Key, Message};
use packet::Protocol;
use peer_proto::v1;
use peer_proto::v1::datagram::Kind;

/// IP protocol numbers.
const TCP: u32 = 6;
const UDP: u32 = 17;

/// Content of a datagram from another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerDatagram {
    /// A relayed packet of a flow.
    Relay {
        /// The relaying entry, the packet's source and the number of relays.
        relay: flow::action::Relay,
        /// The packet.
        packet: Bytes,
    },
    /// A message about a single flow.
    Message(Message),
}

/// Builds the datagram that relays a packet; `upstream` is the upstream that sent the packet.
pub fn encode_relay(packet: &[u8], upstream: Option<Ipv4Addr>, hops: u8) -> Kind {
    Kind::Relay(v1::Relay {
        packet: Bytes::copy_from_slice(packet),
        upstream: upstream.map(Ipv4Addr::to_bits),
        hops: u32::from(hops),
    })
}

/// Builds the datagram of a message.
pub fn encode_message(message: Message) -> Kind {
    match message {
        Message::Ask(key) => Kind::Ask(encode_key(key)),
        Message::Known { key, upstream, opening } => Kind::Known(v1::Known {
            key: Some(encode_key(key)),
            upstream: upstream.to_bits(),
            opening,
        }),
        Message::Unknown(key) => Kind::Unknown(encode_key(key)),
        Message::Forget { key, upstream } => {
            Kind::Forget(v1::Forget { key: Some(encode_key(key)), upstream: upstream.to_bits() })
        }
    }
}

/// Decodes a datagram from the entry `from`; `None` if it is malformed or of an unknown kind.
pub fn decode(from: Id, bytes: Bytes) -> Option<PeerDatagram> {
    let message = match peer_proto::decode_datagram(bytes).ok()?? {
        Kind::Relay(relay) => return decode_relay(from, relay),
        Kind::Ask(key) => Message::Ask(decode_key(&key)?),
        Kind::Known(known) => Message::Known {
            key: decode_key(&known.key?)?,
            upstream: Ipv4Addr::from_bits(known.upstream),
            opening: known.opening,
        },
        Kind::Unknown(key) => Message::Unknown(decode_key(&key)?),
        Kind::Forget(forget) => Message::Forget {
            key: decode_key(&forget.key?)?,
            upstream: Ipv4Addr::from_bits(forget.upstream),
        },
    };
    Some(PeerDatagram::Message(message))
}

fn decode_relay(from: Id, relay: v1::Relay) -> Option<PeerDatagram> {
    let upstream = relay.upstream.map(Ipv4Addr::from_bits);
    let hops = u8::try_from(relay.hops).ok()?;
    let packet = relay.packet;
    Some(PeerDatagram::Relay { relay: flow::action::Relay { from, upstream, hops }, packet })
}

fn encode_key(key: Key) -> v1::FlowKey {
    v1::FlowKey {
        caller_ip: key.caller_ip.to_bits(),
        service_ip: key.service_ip.to_bits(),
        caller_port: u32::from(key.caller_port),
        service_port: u32::from(key.service_port),
        protocol: match key.protocol {
            Protocol::Tcp => TCP,
            Protocol::Udp => UDP,
        },
    }
}

fn decode_key(key: &v1::FlowKey) -> Option<Key> {
    let protocol = match key.protocol {
        TCP => Protocol::Tcp,
        UDP => Protocol::Udp,
        _ => return None,
    };
    let socket = |ip: u32, port: u32| {
        Some(SocketAddrV4::new(Ipv4Addr::from_bits(ip), u16::try_from(port).ok()?))
    };
    let caller = socket(key.caller_ip, key.caller_port)?;
    let service = socket(key.service_ip, key.service_port)?;
    Some(Key::new(protocol, caller, service))
}
