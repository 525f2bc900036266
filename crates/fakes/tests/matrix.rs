//! The fault matrix: every fault at every step of a flow, and pairs of faults.
//!
//! A cell is a sim with a group of flows at one step when the fault strikes. The promises are
//! checked at its end; a failing cell prints its seed, faults and step.

use std::net::Ipv4Addr;
use std::time::Duration;

use fakes::{Config, Plan, Simulation};
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
    let plan = |start, requests, think_ms, idle_until| Plan {
        start,
        requests,
        think_time: Duration::from_millis(think_ms),
        idle_until,
    };
    match step {
        Step::Opening => plan(before(9.0 * part), Some(3), 300, None),
        Step::FirstRequest => plan(before(7.0 + 9.0 * part), Some(3), 300, None),
        Step::Busy => plan(before(1_000.0 + 20.0 * part), Some(60), 100, None),
        Step::Idle => plan(before(2_000.0 + 500.0 * part), Some(2), 10, Some(later)),
        Step::Closing => plan(before(26.0 + 12.0 * part), Some(1), 1, None),
    }
}

fn strike(sim: &mut Simulation, fault: Fault) {
    match fault {
        Fault::None => {}
        Fault::KillEntry => sim.kill(0),
        Fault::FreezeEntry => sim.pause(1, Duration::from_secs(3)),
        Fault::LeaveEntry => sim.restart(2),
        Fault::CutEntries => {
            let (a, b) = (sim.entries[2].id, sim.entries[3].id);
            sim.link_faults.entry_partitions.push((a, b));
        }
        Fault::CutEntryFromUpstreams => {
            let entry: Id = sim.entries[3].id;
            let upstreams: Vec<_> = sim.upstreams.keys().copied().take(4).collect();
            sim.link_faults.upstream_partitions.extend(upstreams.into_iter().map(|ip| (entry, ip)));
        }
        Fault::Loss => sim.link_faults.loss = 0.05,
        Fault::Duplication => sim.link_faults.duplication = 0.2,
        Fault::Reordering => sim.link_faults.reordering = 0.2,
        Fault::DrainUpstream => {
            if let Some((_, upstream)) = sim.service.upstreams.get_index_mut(1) {
                upstream.admin_state = AdminState::Draining;
            }
            sim.publish_service(Duration::from_secs(1));
        }
        Fault::SlowUpstreams => {
            for upstream in sim.upstreams.values_mut() {
                upstream.behaviour.run_time = Duration::from_millis(20);
            }
        }
        Fault::RefusingUpstream => {
            if let Some((_, upstream)) = sim.upstreams.get_index_mut(2) {
                upstream.behaviour.refuses = true;
            }
        }
    }
}

/// Ends all faults that end by themselves.
fn end(sim: &mut Simulation) {
    sim.link_faults = fakes::faults::LinkFaults::default();
}

fn run(seed: u64, faults: &[Fault], step: Step, traced: Option<Ipv4Addr>) -> Simulation {
    let mut sim = Simulation::new(Config { seed, ..Config::default() });
    sim.traced = traced;
    let strike_at = sim.now + Duration::from_secs(3);
    sim.add_callers((0..FLOWS).map(|n| plan(step, strike_at, n)));
    sim.run_until(strike_at);
    for fault in faults {
        strike(&mut sim, *fault);
    }
    sim.run_for(Duration::from_secs(4));
    end(&mut sim);
    sim.run_for(Duration::from_secs(36));
    sim
}

fn check(seed: u64, faults: &[Fault], step: Step) {
    let cell = format!("seed {seed}, faults {faults:?}, step {step:?}");
    let sim = run(seed, faults, step, None);
    let stats = &sim.stats;
    if let Some(caller) = stats.broken_callers.first() {
        // The same course again, with every step of the first broken flow printed.
        run(seed, faults, step, Some(*caller));
    }
    assert_eq!(stats.broken_total(), 0, "{cell}: broken {:?}", stats.broken);
    assert_eq!(stats.executed_twice, 0, "{cell}: executed twice");
    assert_eq!(stats.misrouted, 0, "{cell}: misrouted");
    assert_eq!(stats.wrong, 0, "{cell}: wrong");
    assert_eq!(stats.false_refusals, 0, "{cell}: false refusals");
    assert_eq!((stats.refused, stats.unanswered), (0, 0), "{cell}: not served");
    assert!(stats.peak_over_cap <= 1.0, "{cell}: cap exceeded");
    assert!(sim.largest_table() <= FLOWS as usize, "{cell}: tables");
    assert_eq!(stats.opened, u64::from(FLOWS), "{cell}: opened");
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
        let mut sim = Simulation::new(Config { seed: 7, ..Config::default() });
        let start = sim.now;
        sim.add_callers((0..FLOWS).map(|n| plan(Step::Busy, start + Duration::from_secs(2), n)));
        sim.link_faults.loss = 0.05;
        sim.run_for(Duration::from_secs(10));
        (sim.stats.ok, sim.stats.answer_us.clone(), sim.counter_total(flow::Counter::Relayed))
    };
    assert_eq!(run(), run());
}
