//! Selection of upstreams: avoidance, limits of cold upstreams, and even load.

mod support;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use stdx::time::Timestamp;
use steer::{Engine, Table, UpstreamId, ZoneId};
use support::{ack_packet, add_upstream, at, engine, open_flow, table};

/// Opens a flow that all upstreams but the dead ones answer. Returns the one that accepted it.
fn open_answered(
    engine: &mut Engine,
    now: Timestamp,
    port: u16,
    dead: &[UpstreamId],
) -> Option<UpstreamId> {
    let mut tried: Vec<UpstreamId> = open_flow(engine, now, port).into_iter().collect();
    for wait in 0..200 {
        let now = now + Duration::from_millis(wait);
        if let Some(alive) = tried.iter().find(|id| !dead.contains(id)).copied() {
            let now = now + Duration::from_millis(5);
            engine.on_packet(now, &ack_packet(port, alive, 500), &[]);
            let fin = steer::Packet { fin: true, ..ack_packet(port, alive, 600) };
            engine.on_packet(now, &fin, &[]);
            return Some(alive);
        }
        while let Some(hedge) = engine.on_timer(now, false) {
            tried.push(hedge.hop.upstream);
        }
    }
    None
}

/// An engine in a zone without upstreams.
fn engine_without_own_zone(table: Table) -> Engine {
    let mut engine = Engine::new(at(0), support::settings());
    engine.apply(Arc::new(table), "elsewhere");
    engine
}

fn upstreams_in_zone(table: &Table, zone: u16) -> Vec<UpstreamId> {
    table.upstreams.values().filter(|u| u.zone == ZoneId(zone)).map(|u| u.id).collect()
}

#[test]
fn pick_avoids_dead_upstream() {
    let mut engine = engine(table());
    let dead = [UpstreamId(0x100)];
    let mut reached = 0;
    for number in 0..200_u16 {
        let now = at(u64::from(number) * 250);
        let first = open_flow(&mut engine, now, 10_000 + number);
        reached += u32::from(first == Some(dead[0]));
        let port = 10_000 + number;
        match first {
            Some(id) if !dead.contains(&id) => {
                engine.on_packet(now, &ack_packet(port, id, 5), &[]);
                let fin = steer::Packet { fin: true, ..ack_packet(port, id, 6) };
                engine.on_packet(now, &fin, &[]);
            }
            _ => while engine.on_timer(now + Duration::from_millis(70), false).is_some() {},
        }
    }
    assert!(
        reached <= 12,
        "the dead upstream was the first choice of {reached} of 200 flows in 50 s"
    );
}

#[test]
fn pick_unreachable_zone_is_avoided() {
    let table = table();
    let dead: Vec<_> =
        [1, 2].into_iter().flat_map(|zone| upstreams_in_zone(&table, zone)).collect();
    let mut engine = engine_without_own_zone(table);
    for number in 0..100_u16 {
        assert!(
            open_answered(&mut engine, at(u64::from(number) * 20), number + 1, &dead).is_some()
        );
    }
    let unreachable: Vec<_> = engine.unreachable_zones().collect();
    assert_eq!(unreachable.len(), 2, "unreachable zones: {unreachable:?}");
    assert_eq!(engine.unusable_since(), None, "zone a still answers");
}

#[test]
fn unusable_since_all_zones_unreachable() {
    let table = table();
    let dead: Vec<_> = table.upstreams.keys().copied().collect();
    let mut engine = engine(table);
    for number in 0..40_u16 {
        open_answered(&mut engine, at(u64::from(number) * 300), number + 1, &dead);
    }
    assert!(engine.unusable_since().is_some());
    for zone in support::ZONES {
        engine.on_zone_reachable(at(20_000), zone);
    }
    assert_eq!((engine.unusable_since(), engine.unreachable_zones().count()), (None, 0));
}

#[test]
fn record_success_recovered_zone_gets_flows() {
    let table = table();
    let dead = upstreams_in_zone(&table, 0);
    let mut engine = engine(table);
    for number in 0..100_u16 {
        open_answered(&mut engine, at(u64::from(number) * 20), number + 1, &dead);
    }
    let accepted_by: Vec<_> = (100..2_000_u16)
        .filter_map(|number| open_answered(&mut engine, at(u64::from(number) * 20), number, &[]))
        .collect();
    let share =
        accepted_by.iter().filter(|id| dead.contains(id)).count() as f64 / accepted_by.len() as f64;
    assert!(share > 0.25, "the recovered zone gets only {share:.2} of the flows");
}

#[test]
fn pick_cold_comes_after_warm() {
    let mut table = table();
    let cold = UpstreamId(0x100);
    table.upstreams[&cold].cold_until = at(5_000);
    let mut engine = engine(table);
    for port in 1..60 {
        assert_ne!(open_flow(&mut engine, at(0), port), Some(cold));
    }
}

/// The limit holds in every window of a second, summed over all entries, for any number of them.
#[test]
fn pick_cold_limit_holds_over_entries() {
    for entries in [1_u64, 2, 4, 7, 33] {
        let mut engines: Vec<Engine> =
            (0..entries).map(|own| engine_all_cold(entries, own)).collect();
        let mut openings: VecDeque<(u64, UpstreamId)> = VecDeque::new();
        let mut total = 0;
        for step in 0..6_000_u64 {
            for (index, engine) in engines.iter_mut().enumerate() {
                let port = (step * 40 + index as u64) as u16;
                if let Some(id) = open_flow(engine, at(step), port) {
                    openings.push_back((step, id));
                    total += 1;
                }
            }
            while openings.front().is_some_and(|(at, _)| at + 1_000 < step) {
                openings.pop_front();
            }
            let max = (0..6).map(|n| openings.iter().filter(|o| o.1.0 == 0x100 + n).count()).max();
            assert!(
                max <= Some(5),
                "{entries} entries, {step} ms: {max:?} openings at an upstream in a second"
            );
        }
        assert!(total >= 6 * 4 * 4, "{entries} entries opened only {total} flows in 6 s");
    }
}

fn engine_all_cold(entries: u64, own: u64) -> Engine {
    let mut table = table();
    table.upstreams.values_mut().for_each(|upstream| upstream.cold_until = at(60_000));
    table.entries = (0..entries).collect();
    table.own_entry = own;
    engine(table)
}

#[test]
fn pick_cold_at_limit_is_refused() {
    let mut engine = engine_all_cold(1, 0);
    let opened = (1..100).filter_map(|port| open_flow(&mut engine, at(0), port)).count();
    assert_eq!(opened, 6 * 4);
}

/// Steady arrivals at 14 upstreams with two slots each, 25 ms per flow: every flow is opened at one
/// of the least loaded upstreams, regardless of zones.
#[test]
fn pick_steady_load_is_even() {
    let mut table = table();
    table.upstreams.clear();
    for number in 0..14 {
        add_upstream(&mut table, 0x100 + number, 0, (number % 3) as u16);
    }
    let ids: Vec<_> = table.upstreams.keys().copied().collect();
    let mut engine = engine(table);
    let mut busy: VecDeque<(u64, u16, UpstreamId)> = VecDeque::new();
    for number in 0..5_000_u64 {
        let now = number;
        while let Some((_, port, id)) = busy.pop_front_if(|(end, ..)| *end <= now) {
            let fin = steer::Packet { fin: true, ..ack_packet(port, id, 600) };
            engine.on_packet(at(now), &fin, &[]);
        }
        let min_load = ids.iter().map(|id| engine.open_flows(*id)).min().unwrap();
        let port = (number % 60_000) as u16;
        let id = open_flow(&mut engine, at(now), port).unwrap();
        assert_eq!(engine.open_flows(id), min_load + 1);
        engine.on_packet(at(now), &ack_packet(port, id, 500), &[]);
        busy.push_back((now + 25, port, id));
    }
}

#[test]
fn apply_keeps_open_flows() {
    let table = table();
    let mut engine = engine(table.clone());
    let id = open_flow(&mut engine, at(0), 1).unwrap();
    engine.apply(Arc::new(table), "a");
    assert_eq!(engine.open_flows(id), 1);
}
