//! How flows are opened: choice, copies, hedges, refusals.

mod support;

use std::time::Duration;

use steer::decision::Drop;
use steer::{Action, Event, Refusal, Token, UpstreamId};
use support::{OPENING, at, engine, flow, later, open, opening, table, target};

#[test]
fn on_packet_before_table() {
    let mut engine = steer::Engine::new(at(0), support::settings());
    assert_eq!(engine.on_packet(at(0), &opening(1), &OPENING), Action::Hold);
}

#[test]
fn on_packet_no_route() {
    let mut engine = engine(table());
    let mut packet = opening(1);
    packet.flow.service.set_port(444);
    let action = engine.on_packet(at(0), &packet, &OPENING);
    assert!(matches!(action, Action::Reset(reset) if reset.flow == packet.flow));
    let refused = Event::Refused { flow: packet.flow, reason: Refusal::NoRoute };
    assert!(engine.take_events().any(|event| event == refused));
}

#[test]
fn on_packet_none_eligible() {
    let mut table = table();
    table.upstreams.values_mut().for_each(|upstream| upstream.accepts_new = false);
    let action = engine(table).on_packet(at(0), &opening(1), &OPENING);
    assert!(matches!(action, Action::Reset(_)));
}

#[test]
fn on_packet_spreads() {
    let mut engine = engine(table());
    let mut seen: Vec<UpstreamId> =
        (0..6).filter_map(|n| open(&mut engine, at(n), n as u16 + 1)).collect();
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen.len(), 6, "six openings in flight go to six upstreams");
}

#[test]
fn on_packet_own_zone_first() {
    let mut engine = engine(table());
    let first = open(&mut engine, at(0), 1).map(|id| engine.table().upstreams[&id].zone);
    assert_eq!(first, Some(steer::ZoneId(0)));
}

#[test]
fn on_packet_same_start_different_entries() {
    let firsts: Vec<_> = (0..8)
        .map(|seed| {
            let cfg = steer::Settings { seed, ..support::settings() };
            let mut engine = steer::Engine::new(at(0), cfg);
            engine.apply(std::sync::Arc::new(table()), "elsewhere");
            open(&mut engine, at(0), 1)
        })
        .collect();
    assert!(firsts.iter().any(|first| *first != firsts[0]), "entries herd: {firsts:?}");
}

#[test]
fn on_packet_client_copy_goes_elsewhere() {
    let mut engine = engine(table());
    let first = open(&mut engine, at(0), 1);
    let copy = steer::Packet { ack: 1, ..opening(1) };
    let second = target(engine.on_packet(at(200), &copy, &OPENING));
    assert!(second.is_some() && second != first);
}

#[test]
fn on_packet_reused_port() {
    let mut engine = engine(table());
    let first = open(&mut engine, at(0), 1).unwrap();
    engine.on_packet(at(5), &later(1, first, 500), &[]);
    let again = steer::Packet { seq: 77, ..opening(1) };
    assert!(target(engine.on_packet(at(900), &again, &OPENING)).is_some());
}

/// A client that uses a port again: the first flow's timers say nothing of the second.
#[test]
fn on_timer_of_earlier_flow() {
    let mut engine = engine(table());
    open(&mut engine, at(0), 1);
    assert!((1..6).all(|step| engine.on_timer(at(step * 10), false).is_none()));
    let again = steer::Packet { seq: 77, ..opening(1) };
    let second = target(engine.on_packet(at(59), &again, &OPENING));
    assert!(second.is_some() && engine.on_timer(at(61), false).is_none());
}

#[test]
fn on_packet_late_copy_of_open_flow() {
    let mut engine = engine(table());
    let first = open(&mut engine, at(0), 1).unwrap();
    engine.on_packet(at(5), &later(1, first, 500), &[]);
    let action = engine.on_packet(at(200), &opening(1), &OPENING);
    assert_eq!(action, Action::Drop(Drop::LateRetransmit));
}

#[test]
fn on_timer_hedges_unanswered() {
    let mut engine = engine(table());
    let first = open(&mut engine, at(0), 1);
    engine.on_timer(at(10), false);
    for step in 2..7 {
        assert!(engine.on_timer(at(step * 10 - 1), false).is_none());
    }
    let hedge = engine.on_timer(at(60), false).expect("a hedge is due");
    assert_ne!(Some(hedge.hop.upstream), first);
    assert_eq!((hedge.raw.as_slice(), hedge.flow), (OPENING.as_slice(), flow(1)));
}

#[test]
fn on_timer_accepted_is_not_hedged() {
    let mut engine = engine(table());
    let first = open(&mut engine, at(0), 1).unwrap();
    engine.on_packet(at(9), &later(1, first, 500), &[]);
    assert!((1..30).all(|step| engine.on_timer(at(step * 10), false).is_none()));
}

#[test]
fn on_timer_three_upstreams_at_most() {
    let mut engine = engine(table());
    open(&mut engine, at(0), 1);
    let hedges = (1..100).filter_map(|step| engine.on_timer(at(step * 10), false)).count();
    assert_eq!(hedges, 2);
}

#[test]
fn on_timer_after_stall_counts_anew() {
    let mut engine = engine(table());
    open(&mut engine, at(0), 1);
    assert!(engine.on_timer(at(80), false).is_none(), "answers are still unread");
    assert!((9..14).all(|step| engine.on_timer(at(step * 10), false).is_none()));
    assert!(engine.on_timer(at(141), false).is_some());
}

/// After all entries had lost power, kept packets were sent in one go, and every zone was avoided
/// before the answers had been read.
#[test]
fn on_timer_with_backlog_avoids_nobody() {
    let mut engine = engine(table());
    for port in 1..60 {
        open(&mut engine, at(0), port);
    }
    for step in 1..40 {
        assert!(engine.on_timer(at(step * 10), true).is_none());
    }
    assert_eq!(engine.unreachable_zones().count(), 0);
}

#[test]
fn on_timer_budget_bounds_hedges() {
    let mut engine = engine(table());
    let mut hedges = 0;
    for step in 0_u64..2_000 {
        open(&mut engine, at(step), 1_000 + step as u16);
        while engine.on_timer(at(step), false).is_some() {
            hedges += 1;
        }
    }
    assert!(hedges <= 20 + 10 + 2_000 / 5, "{hedges} hedges for 2000 openings");
}

#[test]
fn on_packet_flood_is_bounded() {
    let mut engine = engine(table());
    let first = open(&mut engine, at(0), 1).unwrap();
    engine.on_packet(at(1), &later(1, first, 500), &[]);
    for port in 2..30_000_u32 {
        let mut packet = opening((port % 60_000) as u16);
        packet.flow.client.set_ip(std::net::Ipv4Addr::from(0x6440_0000 + port));
        engine.on_packet(at(2), &packet, &OPENING);
    }
    assert!(engine.tracked_openings() <= 1_000);
    let total: u32 = engine.table().upstreams.keys().map(|id| engine.open_flows(*id)).sum();
    assert!(total <= 1_000, "evicted openings are still counted: {total}");
    assert_eq!(target(engine.on_packet(at(3), &later(1, first, 900), &[])), Some(first));
}

#[test]
fn on_packet_token_zero_upstream_takes_nothing() {
    let mut table = table();
    table.upstreams.clear();
    support::add(&mut table, 0, 0, 0);
    let action = engine(table).on_packet(at(0), &opening(1), &OPENING);
    assert!(matches!(action, Action::Reset(_)));
}

#[test]
fn on_packet_colliding_tokens_go_to_the_first() {
    let mut table = table();
    table.upstreams.clear();
    support::add(&mut table, 0x0000_0007_0000_0003, 0, 0);
    support::add(&mut table, 0x0000_0000_0000_0004, 0, 0);
    assert_eq!(UpstreamId(0x7_0000_0003).token(), UpstreamId(4).token());
    let mut engine = engine(table);
    for port in 1..20 {
        assert_eq!(open(&mut engine, at(0), port), Some(UpstreamId(0x7_0000_0003)));
    }
}

#[test]
fn on_packet_split_route() {
    let mut table = table();
    table.routes[&support::SERVICE].targets = vec![
        steer::Target { service: steer::table::ServiceId(0), weight: 90 },
        steer::Target { service: steer::table::ServiceId(1), weight: 10 },
    ];
    let mut engine = engine(table);
    let menus = (1..2_000)
        .filter_map(|port| open(&mut engine, at(u64::from(port)), port))
        .filter(|id| id.0 >= 0x200)
        .count();
    assert!((100..300).contains(&menus), "{menus} of 2000 for a weight of 10%");
}

#[test]
fn opening_time_follows_the_place() {
    let mut engine = engine(table());
    for port in 1..100 {
        let now = at(u64::from(port) * 100);
        let id = open(&mut engine, now, port).unwrap();
        engine.on_packet(now + Duration::from_millis(5), &later(port, id, 500), &[]);
    }
    let late = engine.opening_latency().timeout(Duration::ZERO, Duration::from_secs(1));
    assert!(late < Duration::from_millis(8), "{late:?}");
    assert_eq!(flow(1).service, support::SERVICE);
    assert_eq!(Token::default(), Token(0));
}

/// After all entries had lost power, entries with a small share of a core were slow; openings that
/// were hedged did not count, so the usual time stayed short and every zone was avoided.
#[test]
fn on_packet_slow_answers_are_learned() {
    let mut engine = engine(table());
    let mut hedges_late = 0;
    for port in 1..400_u16 {
        let now = at(u64::from(port) * 100);
        let took = if port < 100 { 5 } else { 30 };
        let id = open(&mut engine, now, port).unwrap();
        for wait in 1..=took {
            let hedged = engine.on_timer(now + Duration::from_millis(wait), false).is_some();
            hedges_late += u32::from(hedged && port > 150);
        }
        let answered = now + Duration::from_millis(took);
        engine.on_packet(answered, &later(port, id, 500), &[]);
    }
    assert!(hedges_late < 25, "{hedges_late} hedges of 250 openings that are slow but usual");
}
