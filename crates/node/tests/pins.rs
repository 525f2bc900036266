//! The entries that hold a flow's pin, and the messages between them.

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};

use directory::Member;
use indexmap::IndexMap;
use node::pin_outbox::PinOutbox;
use node::pins::{self, PendingLookups};
use peer_proto::v1;
use peer_proto::v1::reach::Kind;
use stdx::time::Timestamp;
use steer::{FlowKey, Pin, UpstreamId};
use support::fleet;

fn flow(port: u16) -> FlowKey {
    FlowKey {
        client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port),
        service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    }
}

fn pin(port: u16) -> Pin {
    Pin { flow: flow(port), initial_seq: 7, first_ack: u32::MAX, upstream: UpstreamId(1 << 60) }
}

fn holders(fleet: &[(String, Member)], own: &str, port: u16) -> Vec<SocketAddrV4> {
    let members = fleet.iter().map(|(name, member)| (name.as_str(), member));
    pins::holders(&flow(port), own, members)
}

#[test]
fn holders_small_fleet_is_all_others() {
    let fleet = fleet(4);
    let mut holders = holders(&fleet, "entry-2", 1_000);
    holders.sort_unstable();
    assert_eq!(holders.iter().map(SocketAddrV4::port).collect::<Vec<_>>(), [0, 1, 3]);
}

/// Entries agree on the holders of a flow, and the pins are spread over a large fleet.
#[test]
fn holders_large_fleet() {
    let fleet = fleet(300);
    let mut counts: IndexMap<SocketAddrV4, u32> = IndexMap::new();
    for port in 0..3_000 {
        let told = holders(&fleet, "entry-0", port);
        let asked = holders(&fleet, "entry-1", port);
        assert_eq!(told.len(), 8);
        assert!(told.iter().filter(|holder| asked.contains(holder)).count() >= 7);
        for holder in told {
            *counts.entry(holder).or_default() += 1;
        }
    }
    assert!(counts.len() == 299 && counts.values().all(|count| *count < 160), "{counts:?}");
}

/// Pins arrive as they were sent, in messages that fit into a datagram.
#[test]
fn share_pins_in_datagrams() {
    let fleet = fleet(4);
    let sent: Vec<Pin> = (0..100).map(pin).collect();
    let members = || fleet.iter().map(|(name, member)| (name.as_str(), member));
    let mut received: IndexMap<SocketAddrV4, Vec<Pin>> = IndexMap::new();
    let holders = |pin: &Pin| pins::holders(&pin.flow, "entry-0", members());
    for (to, bytes) in PinOutbox::default().add(Timestamp::default(), &sent, holders) {
        assert!(bytes.len() <= 1_400, "{} bytes", bytes.len());
        let Ok(Some(Kind::Pins(msg))) = peer_proto::decode_reach(&bytes) else {
            panic!("not a message with pins");
        };
        received.entry(to).or_default().extend(pins::decode(&msg));
    }
    assert_eq!(received.len(), 3);
    assert!(received.values().all(|pins| *pins == sent));
}

#[test]
fn look_up_flows_in_datagrams() {
    let fleet = fleet(2);
    let asked: Vec<FlowKey> = (0..100).map(flow).collect();
    let members = || fleet.iter().map(|(name, member)| (name.as_str(), member));
    let mut received = Vec::new();
    for (_, bytes) in pins::look_up(&asked, "entry-0", members) {
        assert!(bytes.len() <= 1_400, "{} bytes", bytes.len());
        let Ok(Some(Kind::PinLookup(msg))) = peer_proto::decode_reach(&bytes) else {
            panic!("not a lookup");
        };
        received.extend(pins::decode_lookup(&msg));
    }
    assert_eq!(received, asked);
}

#[test]
fn decode_invalid_pins() {
    let valid =
        v1::FlowKey { caller_ip: 1, service_ip: 2, caller_port: 3, service_port: 4, protocol: 6 };
    let invalid = v1::FlowKey { caller_port: 65_536, ..valid };
    let pin = |flow| v1::Pin { flow, initial_seq: 1, first_ack: 2, upstream: 3 };
    let msg = v1::Pins {
        pins: vec![pin(None), pin(Some(invalid)), pin(Some(valid))],
        unknown: Vec::new(),
        number: 0,
    };
    assert_eq!(pins::decode(&msg).len(), 1);
    let lookup = v1::PinLookup { flows: vec![invalid, valid] };
    assert_eq!(pins::decode_lookup(&lookup).len(), 1);
}

/// Guards against first requests that wait in vain: an entry tells which flows it does not know.
#[test]
fn answer_lookup_in_datagrams() {
    let to = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_720);
    let known: Vec<Pin> = (0..50).map(pin).collect();
    let unknown: Vec<FlowKey> = (50..100).map(flow).collect();
    let (mut pins_received, mut answered) = (Vec::new(), Vec::new());
    for (recipient, bytes) in pins::answer(to, &known, &unknown) {
        assert!(recipient == to && bytes.len() <= 1_400, "{} bytes", bytes.len());
        let Ok(Some(Kind::Pins(msg))) = peer_proto::decode_reach(&bytes) else {
            panic!("not an answer");
        };
        pins_received.extend(pins::decode(&msg));
        answered.extend(pins::answered(&msg));
    }
    assert_eq!(pins_received, known);
    assert_eq!(answered, (0..100).map(flow).collect::<Vec<_>>());
}

#[test]
fn pending_lookups_complete_with_the_last_holder() {
    let at = |millis: u64| Timestamp::from_millis(1_000_000 + millis);
    let holder = |port| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    let holders = |flow: &FlowKey| match flow.client.port() {
        1 => Vec::new(),
        _ => vec![holder(1), holder(2)],
    };
    let mut pending = PendingLookups::default();
    assert_eq!(pending.begin(at(0), &[flow(1), flow(2), flow(3)], holders), [flow(1)]);
    assert_eq!(pending.on_answer(holder(1), &[flow(2), flow(3)]), []);
    assert_eq!(pending.on_answer(holder(1), &[flow(2)]), [], "each counts once");
    assert_eq!(pending.on_answer(holder(9), &[flow(2)]), [], "a stranger counts for nothing");
    assert_eq!(pending.on_answer(holder(2), &[flow(2), flow(4)]), [flow(2)]);
    assert_eq!(pending.begin(at(1_000), &[], holders), []);
    assert_eq!(pending.on_answer(holder(2), &[flow(3)]), [], "it is too late");
    assert_eq!(pending.take_unanswered(at(1_000)), IndexMap::from([(holder(2), 1)]));
    assert!(pending.take_unanswered(at(1_001)).is_empty());
}
