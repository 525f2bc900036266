//! Which upstreams are avoided, and what cold ones are given.

mod support;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use stdx::time::Timestamp;
use steer::{Engine, Table, UpstreamId, ZoneId};
use support::{add, at, engine, later, open, table};

/// Opens a flow and answers for every upstream but the dead ones. Returns who took it.
fn serve(
    engine: &mut Engine,
    now: Timestamp,
    port: u16,
    dead: &[UpstreamId],
) -> Option<UpstreamId> {
    let mut tried: Vec<UpstreamId> = open(engine, now, port).into_iter().collect();
    for wait in 0..200 {
        let now = now + Duration::from_millis(wait);
        if let Some(alive) = tried.iter().find(|id| !dead.contains(id)).copied() {
            let now = now + Duration::from_millis(5);
            engine.on_packet(now, &later(port, alive, 500), &[]);
            let fin = steer::Packet { fin: true, ..later(port, alive, 600) };
            engine.on_packet(now, &fin, &[]);
            return Some(alive);
        }
        while let Some(hedge) = engine.on_timer(now, false) {
            tried.push(hedge.hop.upstream);
        }
    }
    None
}

/// An engine whose own zone has no upstreams.
fn elsewhere(table: Table) -> Engine {
    let mut engine = Engine::new(at(0), support::settings());
    engine.apply(Arc::new(table), "elsewhere");
    engine
}

fn in_zone(table: &Table, zone: u16) -> Vec<UpstreamId> {
    table.upstreams.values().filter(|u| u.zone == ZoneId(zone)).map(|u| u.id).collect()
}

#[test]
fn pick_avoids_dead_upstream() {
    let mut engine = engine(table());
    let dead = [UpstreamId(0x100)];
    let mut reached = 0;
    for number in 0..200_u16 {
        let now = at(u64::from(number) * 250);
        let first = open(&mut engine, now, 10_000 + number);
        reached += u32::from(first == Some(dead[0]));
        let port = 10_000 + number;
        match first {
            Some(id) if !dead.contains(&id) => {
                engine.on_packet(now, &later(port, id, 5), &[]);
                let fin = steer::Packet { fin: true, ..later(port, id, 6) };
                engine.on_packet(now, &fin, &[]);
            }
            _ => while engine.on_timer(now + Duration::from_millis(70), false).is_some() {},
        }
    }
    assert!(reached <= 12, "the dead upstream was tried first {reached} times in 50 s");
}

#[test]
fn pick_zone_cut_off_prefers_others() {
    let table = table();
    let dead: Vec<_> = [1, 2].into_iter().flat_map(|zone| in_zone(&table, zone)).collect();
    let mut engine = elsewhere(table);
    for number in 0..100_u16 {
        assert!(serve(&mut engine, at(u64::from(number) * 20), number + 1, &dead).is_some());
    }
    let silent: Vec<_> = engine.unreachable_zones().collect();
    assert_eq!(silent.len(), 2, "{silent:?}");
    assert_eq!(engine.unusable_since(), None, "the own zone still serves");
}

#[test]
fn unable_since_all_zones_silent() {
    let table = table();
    let dead: Vec<_> = table.upstreams.keys().copied().collect();
    let mut engine = engine(table);
    for number in 0..40_u16 {
        serve(&mut engine, at(u64::from(number) * 300), number + 1, &dead);
    }
    assert!(engine.unusable_since().is_some());
    for zone in support::ZONES {
        engine.on_zone_reachable(at(20_000), zone);
    }
    assert_eq!((engine.unusable_since(), engine.unreachable_zones().count()), (None, 0));
}

#[test]
fn succeeded_returns_to_service() {
    let table = table();
    let dead = in_zone(&table, 0);
    let mut engine = engine(table);
    for number in 0..100_u16 {
        serve(&mut engine, at(u64::from(number) * 20), number + 1, &dead);
    }
    let took: Vec<_> = (100..2_000_u16)
        .filter_map(|number| serve(&mut engine, at(u64::from(number) * 20), number, &[]))
        .collect();
    let share = took.iter().filter(|id| dead.contains(id)).count() as f64 / took.len() as f64;
    assert!(share > 0.25, "a zone that is back gets {share:.2} of the flows");
}

#[test]
fn pick_cold_only_when_nothing_is_warm() {
    let mut table = table();
    let cold = UpstreamId(0x100);
    table.upstreams[&cold].cold_until = at(5_000);
    let mut engine = engine(table);
    for port in 1..60 {
        assert_ne!(open(&mut engine, at(0), port), Some(cold));
    }
}

/// Every window of a second, summed over all entries, whatever their number.
#[test]
fn pick_cold_limit_holds_over_entries() {
    for entries in [1_u64, 2, 4, 7, 33] {
        let mut engines: Vec<Engine> = (0..entries).map(|own| all_cold(entries, own)).collect();
        let mut openings: VecDeque<(u64, UpstreamId)> = VecDeque::new();
        let mut total = 0;
        for step in 0..6_000_u64 {
            for (place, engine) in engines.iter_mut().enumerate() {
                let port = (step * 40 + place as u64) as u16;
                if let Some(id) = open(engine, at(step), port) {
                    openings.push_back((step, id));
                    total += 1;
                }
            }
            while openings.front().is_some_and(|(at, _)| at + 1_000 < step) {
                openings.pop_front();
            }
            let most = (0..6).map(|n| openings.iter().filter(|o| o.1.0 == 0x100 + n).count()).max();
            assert!(most <= Some(5), "{entries} entries, {step} ms: {most:?} in a second");
        }
        assert!(total >= 6 * 4 * 4, "{entries} entries opened only {total} flows in 6 s");
    }
}

fn all_cold(entries: u64, own: u64) -> Engine {
    let mut table = table();
    table.upstreams.values_mut().for_each(|upstream| upstream.cold_until = at(60_000));
    table.entries = (0..entries).collect();
    table.own_entry = own;
    engine(table)
}

#[test]
fn pick_cold_at_limit_is_refused() {
    let mut engine = all_cold(1, 0);
    let opened = (1..100).filter_map(|port| open(&mut engine, at(0), port)).count();
    assert_eq!(opened, 6 * 4);
}

/// Steady arrivals at 14 upstreams of two slots, 25 ms each: no flow is opened at an upstream that
/// has more of them than another one, whatever the zones.
#[test]
fn pick_steady_load_is_even() {
    let mut table = table();
    table.upstreams.clear();
    for number in 0..14 {
        add(&mut table, 0x100 + number, 0, (number % 3) as u16);
    }
    let ids: Vec<_> = table.upstreams.keys().copied().collect();
    let mut engine = engine(table);
    let mut busy: VecDeque<(u64, u16, UpstreamId)> = VecDeque::new();
    for number in 0..5_000_u64 {
        let now = number;
        while let Some((_, port, id)) = busy.pop_front_if(|(end, ..)| *end <= now) {
            let fin = steer::Packet { fin: true, ..later(port, id, 600) };
            engine.on_packet(at(now), &fin, &[]);
        }
        let least = ids.iter().map(|id| engine.open_flows(*id)).min().unwrap();
        let port = (number % 60_000) as u16;
        let id = open(&mut engine, at(now), port).unwrap();
        assert_eq!(engine.open_flows(id), least + 1);
        engine.on_packet(at(now), &later(port, id, 500), &[]);
        busy.push_back((now + 25, port, id));
    }
}

#[test]
fn apply_keeps_counts() {
    let table = table();
    let mut engine = engine(table.clone());
    let id = open(&mut engine, at(0), 1).unwrap();
    engine.apply(Arc::new(table), "a");
    assert_eq!(engine.open_flows(id), 1);
}
