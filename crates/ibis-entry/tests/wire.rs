//! Datagrams and control messages between entries.

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::Bytes;
use flow::action::Relay;
use flow::{Id, Key, Message};
use ibis_entry::wire::{self, Incoming};
use packet::Protocol;
use proptest::prelude::*;

const FROM: Id = Id(Ipv4Addr::new(127, 1, 0, 2));
const UPSTREAM: Ipv4Addr = Ipv4Addr::new(127, 2, 0, 1);

fn key() -> Key {
    let caller = SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, 1), 5000);
    Key::new(Protocol::Tcp, caller, SocketAddrV4::new(Ipv4Addr::new(10, 10, 0, 1), 4000))
}

fn check(kind: peer_proto::v1::datagram::Kind, expected: Incoming) {
    let mut buf = Vec::new();
    peer_proto::encode_datagram(kind, &mut buf);
    assert_eq!(wire::incoming(FROM, buf.into()), Some(expected));
}

#[test]
fn incoming_message() {
    let key = key();
    for message in [
        Message::Ask(key),
        Message::Known { key, upstream: UPSTREAM, opening: true },
        Message::Unknown(key),
        Message::Forget { key, upstream: UPSTREAM },
    ] {
        check(wire::message(message), Incoming::Message(message));
    }
}

#[test]
fn incoming_relay() {
    for upstream in [None, Some(UPSTREAM)] {
        let relay = Relay { from: FROM, upstream, hops: 2 };
        let expected = Incoming::Relay { relay, packet: Bytes::from_static(b"packet") };
        check(wire::relay(b"packet", upstream, 2), expected);
    }
}

proptest! {
    #[test]
    fn incoming_random(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = wire::incoming(FROM, Bytes::from(bytes));
    }

    #[test]
    fn incoming_mutated(at in 0_usize..28, byte in any::<u8>(), cut in 0_usize..28) {
        let mut buf = Vec::new();
        let message = Message::Known { key: key(), upstream: UPSTREAM, opening: true };
        peer_proto::encode_datagram(wire::message(message), &mut buf);
        if let Some(slot) = buf.get_mut(at) {
            *slot = byte;
        }
        buf.truncate(cut.max(1));
        let _ = wire::incoming(FROM, Bytes::from(buf));
    }

    #[test]
    fn control_random(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = peer_proto::decode_control(&bytes);
    }
}
