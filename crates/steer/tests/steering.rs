//! Packets of open flows: tokens, corrections, resets, hostile input.

mod support;

use std::sync::Arc;

use proptest::prelude::*;
use steer::decision::Drop;
use steer::{Action, Packet, Token, UpstreamId};
use support::{OPENING, OTHER_SERVICE, at, engine, later, open, opening, table, target};

const ORDERS: UpstreamId = UpstreamId(0x101);
const MENUS: UpstreamId = UpstreamId(0x200);

#[test]
fn on_packet_any_entry_steers_by_token() {
    let mut engine = engine(table());
    assert_eq!(target(engine.on_packet(at(0), &later(9, ORDERS, 5), &[])), Some(ORDERS));
}

#[test]
fn on_packet_forged_token_stays_in_service() {
    let mut engine = engine(table());
    let action = engine.on_packet(at(0), &later(9, MENUS, 5), &[]);
    assert_eq!(action, Action::Drop(Drop::UnknownToken));
}

#[test]
fn on_packet_route_moved_keeps_old_flows() {
    let mut table = table();
    let route = &mut table.routes[&support::SERVICE];
    route.targets[0].service = steer::table::ServiceId(1);
    route.all_services.push(steer::table::ServiceId(1));
    let mut engine = engine(table);
    assert_eq!(target(engine.on_packet(at(0), &later(9, ORDERS, 5), &[])), Some(ORDERS));
    let new = open(&mut engine, at(1), 10).unwrap();
    assert!(new.0 >= 0x200);
}

#[test]
fn on_packet_dropped_route_is_reset() {
    let mut table = table();
    table.routes.swap_remove(&support::SERVICE);
    table.removed_routes.insert(support::SERVICE);
    let mut engine = engine(table);
    let action = engine.on_packet(at(0), &later(9, ORDERS, 777), &[]);
    assert!(matches!(action, Action::Reset(reset) if reset.seq == 777));
    let rst = Packet { rst: true, ..later(9, ORDERS, 777) };
    assert_eq!(engine.on_packet(at(0), &rst, &[]), Action::Drop(Drop::NoRoute));
}

#[test]
fn on_packet_unknown_address_is_silent() {
    let mut packet = later(9, ORDERS, 5);
    packet.flow.service = std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 1);
    let action = engine(table()).on_packet(at(0), &packet, &[]);
    assert_eq!(action, Action::Drop(Drop::NoRoute));
}

#[test]
fn on_packet_ended_upstream_resets() {
    let mut table = table();
    table.upstreams[&ORDERS].ended = true;
    table.upstreams[&ORDERS].accepts_new = false;
    let action = engine(table).on_packet(at(0), &later(9, ORDERS, 42), &[]);
    assert!(matches!(action, Action::Reset(reset) if reset.seq == 42));
}

#[test]
fn on_packet_missing_upstream_is_not_reset() {
    let mut table = table();
    table.upstreams[&ORDERS].accepts_new = false;
    let action = engine(table).on_packet(at(0), &later(9, ORDERS, 42), &[]);
    assert_eq!(target(action), Some(ORDERS), "it may only be missing from the list");
}

/// The loser of a hedge answers late: the client's packets carry its token, their
/// acknowledgements still belong to the winner.
#[test]
fn on_packet_late_answer_of_loser() {
    let mut engine = engine(table());
    let winner = open(&mut engine, at(0), 1).unwrap();
    let copy = Packet { ack: 1, ..opening(1) };
    let loser = target(engine.on_packet(at(200), &copy, &OPENING)).unwrap();
    assert_ne!(winner, loser);
    engine.on_packet(at(201), &later(1, winner, 5_000), &[]);
    for step in 0..10 {
        let packet = later(1, loser, 5_000 + step * 1_200);
        assert_eq!(target(engine.on_packet(at(202), &packet, &[])), Some(winner));
    }
    assert_eq!(engine.stats().corrected, 10);
}

#[test]
fn on_packet_end_of_flow_frees_upstream() {
    let mut engine = engine(table());
    let id = open(&mut engine, at(0), 1).unwrap();
    engine.on_packet(at(5), &later(1, id, 5), &[]);
    assert_eq!(engine.open_flows(id), 1);
    let fin = Packet { fin: true, ..later(1, id, 900) };
    assert_eq!(target(engine.on_packet(at(20), &fin, &[])), Some(id));
    assert_eq!(engine.open_flows(id), 0);
    assert_eq!(target(engine.on_packet(at(21), &fin, &[])), Some(id), "a copy of the end passes");
    assert_eq!(engine.open_flows(id), 0);
}

#[test]
fn on_timer_silent_flow_frees_upstream() {
    let mut engine = engine(table());
    let id = open(&mut engine, at(0), 1).unwrap();
    engine.on_packet(at(5), &later(1, id, 5), &[]);
    for second in 1..60 {
        engine.on_timer(at(second * 1_000), false);
    }
    assert_eq!((engine.open_flows(id), engine.tracked_openings()), (0, 0));
    let action = engine.on_packet(at(60_000), &later(1, id, 900), &[]);
    assert_eq!(target(action), Some(id), "its token still steers it");
}

#[test]
fn apply_upstream_started_anew() {
    let mut first = table();
    first.upstreams.retain(|id, _| *id == ORDERS);
    first.upstreams[&ORDERS].started_ms = Some(1);
    let mut engine = engine(first.clone());
    open(&mut engine, at(0), 1);
    assert_eq!(engine.open_flows(ORDERS), 1);
    first.upstreams[&ORDERS].started_ms = Some(2);
    engine.apply(Arc::new(first), "a");
    assert_eq!(engine.open_flows(ORDERS), 0);
}

proptest! {
    /// Whatever comes, a packet reaches only upstreams that its address may have gone to, an opening
    /// only such that take new flows, and a reset only answers its own flow.
    #[test]
    fn on_packet_any(packets in proptest::collection::vec(any_packet(), 1..200)) {
        let mut engine = engine(table());
        let mut now = at(0);
        for (packet, wait) in packets {
            now = now + std::time::Duration::from_millis(wait);
            match engine.on_packet(now, &packet, &OPENING) {
                Action::Forward(hop) => {
                    let upstream = &engine.table().upstreams[&hop.upstream];
                    let route = &engine.table().routes[&packet.flow.service];
                    prop_assert!(route.all_services.contains(&upstream.service));
                    prop_assert_eq!(hop.token, hop.upstream.token());
                    prop_assert!(!packet.syn || packet.has_ack || upstream.accepts_new);
                }
                Action::Reset(reset) => prop_assert_eq!(reset.flow, packet.flow),
                Action::Hold | Action::Drop(_) => {}
            }
            while let Some(hedge) = engine.on_timer(now, false) {
                prop_assert!(engine.table().upstreams[&hedge.hop.upstream].accepts_new);
            }
            prop_assert!(engine.take_events().count() < 100);
        }
        let total: u32 = engine.table().upstreams.keys().map(|id| engine.open_flows(*id)).sum();
        prop_assert!(total as usize <= engine.tracked_openings() * 4);
    }
}

fn any_packet() -> impl Strategy<Value = (Packet, u64)> {
    let token = prop_oneof![Just(0), 0x100_u32..0x106, 0x200_u32..0x202, any::<u32>()];
    (1_u16..6, token, any::<u32>(), any::<u32>(), any::<u8>(), any::<bool>(), 0_u64..300).prop_map(
        |(port, token, seq, ack, flags, other, wait)| {
            let mut packet = Packet {
                token: Token(token),
                seq: seq % 3,
                ack,
                syn: flags & 1 != 0,
                has_ack: flags & 2 != 0,
                fin: flags & 4 != 0,
                rst: flags & 8 != 0,
                ..opening(port)
            };
            if other {
                packet.flow.service = OTHER_SERVICE;
            }
            (packet, wait)
        },
    )
}
