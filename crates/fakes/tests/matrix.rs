//! The fault matrix: every fault at every step of a flow, and pairs of faults.
//!
//! A cell is a world with a group of flows at one step when the fault strikes. The promises are
//! checked at its end; a failing cell prints its seed, faults and step.

use std::net::Ipv4Addr;
use std::time::Duration;

use fakes::{Config, Plan, World};
use flow::Id;
use flow::service::AdminState;

/// What goes wrong. Each begins at the same moment and ends, if it does, within seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    KillEntry,
    FreezeEntry,
    LeaveEntry,
    CutEntries,
    CutEntryFromUpstreams,
    Loss,
    Duplication,
    Reordering,
    DrainUpstream,
    SlowUpstreams,
    RefusingUpstream,
}

const FAULTS: [Fault; 12] = [
    Fault::None,
    Fault::KillEntry,
    Fault::FreezeEntry,
    Fault::LeaveEntry,
    Fault::CutEntries,
    Fault::CutEntryFromUpstreams,
    Fault::Loss,
    Fault::Duplication,
    Fault::Reordering,
    Fault::DrainUpstream,
    Fault::SlowUpstreams,
    Fault::RefusingUpstream,
];

/// Faults that the brief names together.
const PAIRS: [(Fault, Fault); 8] = [
    (Fault::KillEntry, Fault::DrainUpstream),
    (Fault::LeaveEntry, Fault::DrainUpstream),
    (Fault::KillEntry, Fault::Loss),
    (Fault::FreezeEntry, Fault::LeaveEntry),
    (Fault::KillEntry, Fault::SlowUpstreams),
    (Fault::CutEntries, Fault::KillEntry),
    (Fault::LeaveEntry, Fault::Reordering),
    (Fault::KillEntry, Fault::RefusingUpstream),
];

/// How long flows have been there when the fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Openings on their way to an entry, a home, an upstream and back: within 8 ms.
    Opening,
    /// The first request is on its way.
    FirstRequest,
    /// Requests follow each other.
    Busy,
    /// Silent since long.
    Idle,
    /// Closing after the last answer.
    Closing,
}

const STEPS: [Step; 5] = [Step::Opening, Step::FirstRequest, Step::Busy, Step::Idle, Step::Closing];

const FLOWS: u32 = 60;

fn plan(step: Step, strike: stdx::time::Timestamp, n: u32) -> Plan {
    let part = f64::from(n) / f64::from(FLOWS);
    let before = |millis: f64| stdx::time::Timestamp(strike.0 - (millis * 1e3) as u64);
    let later = strike + Duration::from_secs(8).mul_f64(1.0 + part / 10.0);
    let plan = |start, requests, think_ms, resume| Plan {
        start,
        requests,
        think: Duration::from_millis(think_ms),
        resume,
    };
    match step {
        Step::Opening => plan(before(9.0 * part), Some(3), 300, None),
        Step::FirstRequest => plan(before(7.0 + 9.0 * part), Some(3), 300, None),
        Step::Busy => plan(before(1_000.0 + 20.0 * part), Some(60), 100, None),
        Step::Idle => plan(before(2_000.0 + 500.0 * part), Some(2), 10, Some(later)),
        Step::Closing => plan(before(26.0 + 12.0 * part), Some(1), 1, None),
    }
}

fn strike(world: &mut World, fault: Fault) {
    match fault {
        Fault::None => {}
        Fault::KillEntry => world.kill(0),
        Fault::FreezeEntry => world.freeze(1, Duration::from_secs(3)),
        Fault::LeaveEntry => world.restart(2),
        Fault::CutEntries => {
            let (a, b) = (world.entries[2].id, world.entries[3].id);
            world.links.entry_cuts.push((a, b));
        }
        Fault::CutEntryFromUpstreams => {
            let entry: Id = world.entries[3].id;
            let upstreams: Vec<_> = world.upstreams.keys().copied().take(4).collect();
            world.links.upstream_cuts.extend(upstreams.into_iter().map(|ip| (entry, ip)));
        }
        Fault::Loss => world.links.loss = 0.05,
        Fault::Duplication => world.links.duplication = 0.2,
        Fault::Reordering => world.links.reordering = 0.2,
        Fault::DrainUpstream => {
            if let Some((_, upstream)) = world.service.upstreams.get_index_mut(1) {
                upstream.admin_state = AdminState::Draining;
            }
            world.decide(Duration::from_secs(1));
        }
        Fault::SlowUpstreams => {
            for upstream in world.upstreams.values_mut() {
                upstream.behaviour.run_time = Duration::from_millis(20);
            }
        }
        Fault::RefusingUpstream => {
            if let Some((_, upstream)) = world.upstreams.get_index_mut(2) {
                upstream.behaviour.refuses = true;
            }
        }
    }
}

/// Ends all faults that end by themselves.
fn end(world: &mut World) {
    world.links = fakes::faults::Links::default();
}

fn run(seed: u64, faults: &[Fault], step: Step, traced: Option<Ipv4Addr>) -> World {
    let mut world = World::new(Config { seed, ..Config::default() });
    world.traced = traced;
    let strike_at = world.now + Duration::from_secs(3);
    world.add_callers((0..FLOWS).map(|n| plan(step, strike_at, n)));
    world.run_until(strike_at);
    for fault in faults {
        strike(&mut world, *fault);
    }
    world.run_for(Duration::from_secs(4));
    end(&mut world);
    world.run_for(Duration::from_secs(36));
    world
}

fn check(seed: u64, faults: &[Fault], step: Step) {
    let cell = format!("seed {seed}, faults {faults:?}, step {step:?}");
    let world = run(seed, faults, step, None);
    let facts = &world.seen;
    if let Some(caller) = facts.broken_callers.first() {
        // The same course again, with every step of the first broken flow printed.
        run(seed, faults, step, Some(*caller));
    }
    assert_eq!(facts.broken_total(), 0, "{cell}: broken {:?}", facts.broken);
    assert_eq!(facts.doubled, 0, "{cell}: doubled");
    assert_eq!(facts.foreign, 0, "{cell}: foreign");
    assert_eq!(facts.wrong, 0, "{cell}: wrong");
    assert_eq!(facts.false_refusals, 0, "{cell}: false refusals");
    assert_eq!((facts.refused, facts.unanswered), (0, 0), "{cell}: not served");
    assert!(facts.peak_over_cap <= 1.0, "{cell}: cap exceeded");
    assert!(world.largest_table() <= FLOWS as usize, "{cell}: tables");
    assert_eq!(facts.opened, u64::from(FLOWS), "{cell}: opened");
}

#[test]
fn every_fault_at_every_step() {
    for fault in FAULTS {
        for step in STEPS {
            for seed in 1..=2 {
                check(seed, &[fault], step);
            }
        }
    }
}

#[test]
fn pairs_of_faults_at_every_step() {
    for (a, b) in PAIRS {
        for step in STEPS {
            for seed in 1..=3 {
                check(seed, &[a, b], step);
            }
        }
    }
}

/// The same seed gives the same course.
#[test]
fn same_seed_same_course() {
    let run = || {
        let mut world = World::new(Config { seed: 7, ..Config::default() });
        let start = world.now;
        world.add_callers((0..FLOWS).map(|n| plan(Step::Busy, start + Duration::from_secs(2), n)));
        world.links.loss = 0.05;
        world.run_for(Duration::from_secs(10));
        (world.seen.ok, world.seen.answer_us.clone(), world.count(flow::Counter::Relayed))
    };
    assert_eq!(run(), run());
}
