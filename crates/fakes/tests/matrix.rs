//! The fault matrix: every fault, and pairs of faults, at every step of a flow.
//!
//! Each cell injects its faults while a group of flows is at one step, and checks the guarantees at
//! the end of the run. A failing cell prints its seed, faults and step.

use std::net::Ipv4Addr;
use std::time::Duration;

use fakes::{Config, Plan, Simulation};
use flow::Id;
use flow::service::AdminState;

/// A fault. All faults of a cell are injected at the same time; temporary ones end within seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    KillEntry,
    PauseEntry,
    RestartEntry,
    PartitionEntries,
    PartitionEntryFromUpstreams,
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
    Fault::PauseEntry,
    Fault::RestartEntry,
    Fault::PartitionEntries,
    Fault::PartitionEntryFromUpstreams,
    Fault::Loss,
    Fault::Duplication,
    Fault::Reordering,
    Fault::DrainUpstream,
    Fault::SlowUpstreams,
    Fault::RefusingUpstream,
];

/// Pairs of faults from the requirements.
const PAIRS: [(Fault, Fault); 8] = [
    (Fault::KillEntry, Fault::DrainUpstream),
    (Fault::RestartEntry, Fault::DrainUpstream),
    (Fault::KillEntry, Fault::Loss),
    (Fault::PauseEntry, Fault::RestartEntry),
    (Fault::KillEntry, Fault::SlowUpstreams),
    (Fault::PartitionEntries, Fault::KillEntry),
    (Fault::RestartEntry, Fault::Reordering),
    (Fault::KillEntry, Fault::RefusingUpstream),
];

/// The step at which flows are when the fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Openings in flight between caller, entry, home and upstream, which takes up to 8 ms.
    Opening,
    /// The first request is in flight.
    FirstRequest,
    /// Requests are sent continuously.
    Busy,
    /// Idle for about two seconds.
    Idle,
    /// The flow is being closed after the last answer.
    Closing,
}

const STEPS: [Step; 5] = [Step::Opening, Step::FirstRequest, Step::Busy, Step::Idle, Step::Closing];

const FLOWS: u32 = 60;

fn plan(step: Step, fault_at: stdx::time::Timestamp, n: u32) -> Plan {
    let fraction = f64::from(n) / f64::from(FLOWS);
    let before = |millis: f64| stdx::time::Timestamp(fault_at.0 - (millis * 1e3) as u64);
    let idle_until = fault_at + Duration::from_secs(8).mul_f64(1.0 + fraction / 10.0);
    let plan = |start, requests, think_ms, idle_until| Plan {
        start,
        requests,
        think_time: Duration::from_millis(think_ms),
        idle_until,
    };
    match step {
        Step::Opening => plan(before(9.0 * fraction), Some(3), 300, None),
        Step::FirstRequest => plan(before(7.0 + 9.0 * fraction), Some(3), 300, None),
        Step::Busy => plan(before(1_000.0 + 20.0 * fraction), Some(60), 100, None),
        Step::Idle => plan(before(2_000.0 + 500.0 * fraction), Some(2), 10, Some(idle_until)),
        Step::Closing => plan(before(26.0 + 12.0 * fraction), Some(1), 1, None),
    }
}

fn inject(sim: &mut Simulation, fault: Fault) {
    match fault {
        Fault::None => {}
        Fault::KillEntry => sim.kill(0),
        Fault::PauseEntry => sim.pause(1, Duration::from_secs(3)),
        Fault::RestartEntry => sim.restart(2),
        Fault::PartitionEntries => {
            let (a, b) = (sim.entries[2].id, sim.entries[3].id);
            sim.link_faults.entry_partitions.push((a, b));
        }
        Fault::PartitionEntryFromUpstreams => {
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

/// Ends the temporary link faults.
fn clear_link_faults(sim: &mut Simulation) {
    sim.link_faults = fakes::faults::LinkFaults::default();
}

fn run(seed: u64, faults: &[Fault], step: Step, traced_caller: Option<Ipv4Addr>) -> Simulation {
    let mut sim = Simulation::new(Config { seed, ..Config::default() });
    sim.traced_caller = traced_caller;
    let fault_at = sim.now + Duration::from_secs(3);
    sim.add_callers((0..FLOWS).map(|n| plan(step, fault_at, n)));
    sim.run_until(fault_at);
    for fault in faults {
        inject(&mut sim, *fault);
    }
    sim.run_for(Duration::from_secs(4));
    clear_link_faults(&mut sim);
    sim.run_for(Duration::from_secs(36));
    sim
}

fn check(seed: u64, faults: &[Fault], step: Step) {
    let cell = format!("seed {seed}, faults {faults:?}, step {step:?}");
    let sim = run(seed, faults, step, None);
    let stats = &sim.stats;
    if let Some(caller) = stats.broken_callers.first() {
        // Repeats the run with all packets of the first broken flow printed.
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

/// The same seed gives the same run.
#[test]
fn same_seed_same_run() {
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
