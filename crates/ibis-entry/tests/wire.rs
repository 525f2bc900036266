//! Tests of encoding and decoding datagrams and control messages.

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::Bytes;
use flow::action::Relay;
use flow::{Id, Key, Message};
use ibis_entry::wire::{self, PeerDatagram};
use packet::Protocol;
use proptest::prelude::*;

const FROM: Id = Id(Ipv4Addr::new(127, 1, 0, 2));
const UPSTREAM: Ipv4Addr = Ipv4Addr::new(127, 2, 0, 1);

fn key() -> Key {
    let caller = SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, 1), 5000);
    Key::new(Protocol::Tcp, caller, SocketAddrV4::new(Ipv4Addr::new(10, 10, 0, 1), 4000))
}

fn check_decode(kind: peer_proto::v1::datagram::Kind, expected: PeerDatagram) {
    let mut buf = Vec::new();
    peer_proto::encode_datagram(kind, &mut buf);
    assert_eq!(wire::decode(FROM, buf.into()), Some(expected));
}

#[test]
fn decode_message() {
    let key = key();
    for message in [
        Message::Ask(key),
        Message::Known { key, upstream: UPSTREAM, opening: true },
        Message::Unknown(key),
        Message::Forget { key, upstream: UPSTREAM },
    ] {
        check_decode(wire::encode_message(message), PeerDatagram::Message(message));
    }
}

#[test]
fn decode_relay() {
    for upstream in [None, Some(UPSTREAM)] {
        let relay = Relay { from: FROM, upstream, hops: 2 };
        let expected = PeerDatagram::Relay { relay, packet: Bytes::from_static(b"packet") };
        check_decode(wire::encode_relay(b"packet", upstream, 2), expected);
    }
}

proptest! {
    #[test]
    fn decode_random(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = wire::decode(FROM, Bytes::from(bytes));
    }

    #[test]
    fn decode_mutated(index in 0_usize..28, byte in any::<u8>(), len in 0_usize..28) {
        let mut buf = Vec::new();
        let message = Message::Known { key: key(), upstream: UPSTREAM, opening: true };
        peer_proto::encode_datagram(wire::encode_message(message), &mut buf);
        if let Some(b) = buf.get_mut(index) {
            *b = byte;
        }
        buf.truncate(len.max(1));
        let _ = wire::decode(FROM, Bytes::from(buf));
    }

    #[test]
    fn decode_control_random(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = peer_proto::decode_control(&bytes);
    }
}
