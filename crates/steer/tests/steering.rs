//! Packets of open flows: steering by token, corrected tokens, resets, arbitrary input.

mod support;

use std::sync::Arc;

use proptest::prelude::*;
use steer::decision::Drop;
use steer::{Action, Packet, Pin, Token, UpstreamId};
use support::{
    OPENING_BYTES, OTHER_SERVICE_ADDR, ack_packet, at, engine, forwarded_to, open_flow,
    opening_packet, opening_token, table,
};

const ORDERS_UPSTREAM: UpstreamId = UpstreamId(0x101);
const MENUS_UPSTREAM: UpstreamId = UpstreamId(0x200);

#[test]
fn on_packet_untracked_flow_is_steered_by_token() {
    let mut engine = engine(table());
    assert_eq!(
        forwarded_to(engine.on_packet(at(0), &ack_packet(9, ORDERS_UPSTREAM, 5), &[])),
        Some(ORDERS_UPSTREAM)
    );
}

#[test]
fn on_packet_forged_token_stays_in_service() {
    let mut engine = engine(table());
    let action = engine.on_packet(at(0), &ack_packet(9, MENUS_UPSTREAM, 5), &[]);
    let Action::LookUp(flow) = action else {
        panic!("no entry knows the flow, but the packet is not looked up: {action:?}");
    };
    let pin = Pin { flow, initial_seq: 8, first_ack: 5, upstream: MENUS_UPSTREAM };
    let token = ORDERS_UPSTREAM.token().bound_to(pin.initial_seq);
    engine.on_pins(at(0), &[pin]);
    let late = Packet { token, seq: 900, ..ack_packet(9, MENUS_UPSTREAM, 5) };
    let action = engine.on_packet(at(0), &late, &[]);
    assert_eq!(action, Action::Drop(Drop::UnknownToken), "nor does a wrong pin help");
}

#[test]
fn on_packet_changed_route_keeps_open_flows() {
    let mut table = table();
    let route = &mut table.routes[&support::SERVICE_ADDR];
    route.targets[0].service = steer::table::ServiceId(1);
    route.all_services.push(steer::table::ServiceId(1));
    let mut engine = engine(table);
    assert_eq!(
        forwarded_to(engine.on_packet(at(0), &ack_packet(9, ORDERS_UPSTREAM, 5), &[])),
        Some(ORDERS_UPSTREAM)
    );
    let new = open_flow(&mut engine, at(1), 10).unwrap();
    assert!(new.0 >= 0x200);
}

#[test]
fn on_packet_removed_route_is_reset() {
    let mut table = table();
    table.routes.swap_remove(&support::SERVICE_ADDR);
    table.removed_routes.insert(support::SERVICE_ADDR);
    let mut engine = engine(table);
    let action = engine.on_packet(at(0), &ack_packet(9, ORDERS_UPSTREAM, 777), &[]);
    assert!(matches!(action, Action::Reset(reset) if reset.seq == 777));
    let rst = Packet { rst: true, ..ack_packet(9, ORDERS_UPSTREAM, 777) };
    assert_eq!(engine.on_packet(at(0), &rst, &[]), Action::Drop(Drop::NoRoute));
}

#[test]
fn on_packet_unknown_address_is_dropped() {
    let mut packet = ack_packet(9, ORDERS_UPSTREAM, 5);
    packet.flow.service = std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 1);
    let action = engine(table()).on_packet(at(0), &packet, &[]);
    assert_eq!(action, Action::Drop(Drop::NoRoute));
}

#[test]
fn on_packet_ended_upstream_resets() {
    let mut table = table();
    table.upstreams[&ORDERS_UPSTREAM].ended = true;
    table.upstreams[&ORDERS_UPSTREAM].accepts_new = false;
    let action = engine(table).on_packet(at(0), &ack_packet(9, ORDERS_UPSTREAM, 42), &[]);
    assert!(matches!(action, Action::Reset(reset) if reset.seq == 42));
}

#[test]
fn on_packet_missing_upstream_is_not_reset() {
    let mut table = table();
    table.upstreams[&ORDERS_UPSTREAM].accepts_new = false;
    let action = engine(table).on_packet(at(0), &ack_packet(9, ORDERS_UPSTREAM, 42), &[]);
    assert_eq!(
        forwarded_to(action),
        Some(ORDERS_UPSTREAM),
        "the upstream may only be missing from the list"
    );
}

/// The slower upstream of a hedged request answers late: the client's packets then carry its token,
/// although their acknowledgements belong to the stream of the faster one.
#[test]
fn on_packet_late_hedge_answer_is_corrected() {
    let mut engine = engine(table());
    let first = open_flow(&mut engine, at(0), 1).unwrap();
    let retransmit = Packet { ack: 1, ..opening_packet(1) };
    let second = forwarded_to(engine.on_packet(at(200), &retransmit, &OPENING_BYTES)).unwrap();
    assert_ne!(first, second);
    engine.on_packet(at(201), &ack_packet(1, first, 5_000), &[]);
    for step in 0..10 {
        let packet = ack_packet(1, second, 5_000 + step * 1_200);
        assert_eq!(forwarded_to(engine.on_packet(at(202), &packet, &[])), Some(first));
    }
    assert_eq!(engine.stats().corrected, 10);
}

/// Guards against resets by an upstream that answers a hedged opening again, after the entry that
/// sent the opening was restarted.
#[test]
fn on_packet_late_opening_answer_at_another_entry_is_not_followed() {
    let (mut first_entry, mut other_entry) = (engine(table()), engine(table()));
    let lost = first_entry.on_packet(at(0), &opening_packet(1), &OPENING_BYTES);
    let retransmit = Packet { ack: 1, ..opening_packet(1) };
    let hedge = first_entry.on_packet(at(200), &retransmit, &OPENING_BYTES);
    let (lost_token, token) = (opening_token(lost), opening_token(hedge));
    let first_ack = Packet { token, ..ack_packet(1, ORDERS_UPSTREAM, 5_000) };
    assert_eq!(
        forwarded_to(first_entry.on_packet(at(203), &first_ack, &[])),
        forwarded_to(hedge),
        "the client's first acknowledgement opens the flow"
    );
    let next_request = Packet { token: lost_token, seq: 901, data_len: 900, ..first_ack };
    let action = other_entry.on_packet(at(9_000), &next_request, &[]);
    assert_ne!(forwarded_to(action), forwarded_to(lost), "the upstream has no such flow");
    assert!(!matches!(action, Action::Reset(_)));
    assert_eq!(
        forwarded_to(first_entry.on_packet(at(9_000), &next_request, &[])),
        forwarded_to(hedge),
        "the entry that opened the flow knows its upstream"
    );
}

/// Guards against resets by the upstream of a hedged opening that an entry sent although routers
/// had moved the flow before the client's first acknowledgement.
#[test]
fn on_packet_late_answer_to_hedge_of_moved_flow_is_not_followed() {
    let mut left_entry = engine(table());
    let opening = left_entry.on_packet(at(0), &opening_packet(1), &OPENING_BYTES);
    let hedge = left_entry.on_timer(at(60), false).expect("a hedged request is due");
    let token = hedge.hop.token;
    let packet = ack_packet(1, forwarded_to(opening).unwrap(), 5_000);
    let next_request = Packet { token, seq: 901, data_len: 900, ..packet };
    for (entry, now) in [(&mut left_entry, at(1_500)), (&mut engine(table()), at(6_000))] {
        let action = entry.on_packet(now, &next_request, &[]);
        assert_ne!(forwarded_to(action), Some(hedge.hop.upstream));
        assert!(!matches!(action, Action::Reset(_)));
    }
}

/// The first packets of a flow may reach another entry than its opening.
#[test]
fn on_packet_first_packets_at_another_entry_are_forwarded() {
    let opening = engine(table()).on_packet(at(0), &opening_packet(1), &OPENING_BYTES);
    let upstream = forwarded_to(opening);
    let packet = ack_packet(1, upstream.unwrap(), 5_000);
    let first_ack = Packet { token: opening_token(opening), ..packet };
    let mut other_entry = engine(table());
    assert_eq!(forwarded_to(other_entry.on_packet(at(6), &first_ack, &[])), upstream);
    let first_request = Packet { data_len: 900, ..first_ack };
    assert_eq!(forwarded_to(other_entry.on_packet(at(6), &first_request, &[])), upstream);
}

/// Packets of a request that needs several may overtake each other.
#[test]
fn on_packet_first_packets_out_of_order() {
    let mut engine = engine(table());
    let opening = engine.on_packet(at(0), &opening_packet(1), &OPENING_BYTES);
    let upstream = forwarded_to(opening);
    let packet = ack_packet(1, upstream.unwrap(), 5_000);
    let first = Packet { token: opening_token(opening), data_len: 1_200, ..packet };
    let second = Packet { seq: first.seq + 1_200, data_len: 500, ..first };
    assert_eq!(forwarded_to(engine.on_packet(at(7), &second, &[])), upstream);
    assert_eq!(forwarded_to(engine.on_packet(at(8), &first, &[])), upstream);
    assert_eq!((engine.stats().corrected, engine.stats().lookups), (0, 0));
}

/// With two upstreams tried, a packet that overtook the client's acknowledgement waits for it: a
/// late answer may have turned its token.
#[test]
fn on_packet_first_packets_out_of_order_after_hedge() {
    let mut engine = engine(table());
    let opening = engine.on_packet(at(0), &opening_packet(1), &OPENING_BYTES);
    let hedge = engine.on_timer(at(60), false).expect("a hedged request is due");
    let packet = ack_packet(1, forwarded_to(opening).unwrap(), 5_000);
    let turned = Packet { token: hedge.hop.token, seq: 1_202, data_len: 500, ..packet };
    assert_eq!(engine.on_packet(at(66), &turned, &[]), Action::LookUp(packet.flow));
    let first = Packet { token: opening_token(opening), data_len: 1_200, ..packet };
    assert_eq!(forwarded_to(engine.on_packet(at(67), &first, &[])), forwarded_to(opening));
    assert_eq!(forwarded_to(engine.on_packet(at(67), &turned, &[])), forwarded_to(opening));
}

#[test]
fn on_packet_fin_releases_load() {
    let mut engine = engine(table());
    let id = open_flow(&mut engine, at(0), 1).unwrap();
    engine.on_packet(at(5), &ack_packet(1, id, 5), &[]);
    assert_eq!(engine.open_flows(id), 1);
    let fin = Packet { fin: true, ..ack_packet(1, id, 900) };
    assert_eq!(forwarded_to(engine.on_packet(at(20), &fin, &[])), Some(id));
    assert_eq!(engine.open_flows(id), 0);
    assert_eq!(
        forwarded_to(engine.on_packet(at(21), &fin, &[])),
        Some(id),
        "a retransmitted FIN is forwarded"
    );
    assert_eq!(engine.open_flows(id), 0);
}

#[test]
fn on_timer_idle_flow_releases_load() {
    let mut engine = engine(table());
    let id = open_flow(&mut engine, at(0), 1).unwrap();
    engine.on_packet(at(5), &ack_packet(1, id, 5), &[]);
    for second in 1..60 {
        engine.on_timer(at(second * 1_000), false);
    }
    assert_eq!((engine.open_flows(id), engine.tracked_openings()), (0, 0));
    let action = engine.on_packet(at(60_000), &ack_packet(1, id, 900), &[]);
    assert_eq!(forwarded_to(action), Some(id), "the token still steers the flow");
}

#[test]
fn apply_restarted_upstream_is_reset() {
    let mut first = table();
    first.upstreams.retain(|id, _| *id == ORDERS_UPSTREAM);
    first.upstreams[&ORDERS_UPSTREAM].started_ms = Some(1);
    let mut engine = engine(first.clone());
    open_flow(&mut engine, at(0), 1);
    assert_eq!(engine.open_flows(ORDERS_UPSTREAM), 1);
    first.upstreams[&ORDERS_UPSTREAM].started_ms = Some(2);
    engine.apply(Arc::new(first), "a");
    assert_eq!(engine.open_flows(ORDERS_UPSTREAM), 0);
}

proptest! {
    /// For arbitrary packets: they are forwarded only to upstreams of services that their route has
    /// named, openings only to upstreams that accept new flows, and resets go to the packet's flow.
    #[test]
    fn on_packet_arbitrary_input(packets in proptest::collection::vec(any_packet(), 1..200)) {
        let mut engine = engine(table());
        let mut now = at(0);
        for (packet, wait) in packets {
            now = now + std::time::Duration::from_millis(wait);
            match engine.on_packet(now, &packet, &OPENING_BYTES) {
                Action::Forward(hop) => {
                    let upstream = &engine.table().upstreams[&hop.upstream];
                    let route = &engine.table().routes[&packet.flow.service];
                    prop_assert!(route.all_services.contains(&upstream.service));
                    let is_opening = packet.syn && !packet.has_ack;
                    let token = hop.upstream.token();
                    let bound = token.bound_to(packet.seq);
                    prop_assert_eq!(hop.token, if is_opening { bound } else { token });
                    prop_assert!(!packet.syn || packet.has_ack || upstream.accepts_new);
                }
                Action::Reset(reset) => prop_assert_eq!(reset.flow, packet.flow),
                Action::LookUp(flow) | Action::Await(flow) => {
                    prop_assert_eq!(flow, packet.flow);
                }
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
                ..opening_packet(port)
            };
            if other {
                packet.flow.service = OTHER_SERVICE_ADDR;
            }
            (packet, wait)
        },
    )
}
