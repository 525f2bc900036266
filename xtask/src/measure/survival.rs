//! Share of open flows that break during planned changes and crashes, in simulation.

use std::time::Duration;

use fakes::{Config, Plan, Simulation};
use flow::Counter;
use flow::service::AdminState;
use stdx::time::Timestamp;

use crate::measure::report::{Bound, Report};

/// Number of open flows; every second one is idle.
const FLOWS: u32 = 36_000;

/// Time over which the flows are opened.
const RAMP_TIME: Duration = Duration::from_secs(10);

/// Time between the requests of a flow that is not idle.
const THINK_TIME: Duration = Duration::from_secs(5);

/// Time after the setup at which idle flows start to send again.
const IDLE_TIME: Duration = Duration::from_secs(45);

/// Duration of a simulation after the setup, which covers the last requests and the callers'
/// timeouts.
const RUN_TIME: Duration = Duration::from_secs(70);

/// Time at which a new simulation is ready for callers.
const SETUP_END: Timestamp = Timestamp::from_secs(1_005);

/// A quarter of the flows have their home at the killed entry, so that the 99th percentile of these
/// is this quantile of all.
const RECOVERY_QUANTILE: f64 = 0.9975;

/// Runs all measurements of survival.
pub fn run(report: &mut Report) {
    let planned = planned();
    report.record(
        "survival.planned.broken",
        planned.stats.broken_total() as f64,
        "flows",
        Bound::AtMost(0.0),
    );
    let open: Vec<f64> = planned.upstreams.values().map(|u| u.connection_count() as f64).collect();
    report.record("survival.planned.open", open.iter().sum(), "flows", Bound::None);
    report.record("survival.planned.opened", planned.stats.opened as f64, "flows", Bound::None);

    let crash = crash_with(&Config::default());
    let no_crash = no_crash();
    let ratio = |sim: &Simulation| sim.stats.broken_total() as f64 / f64::from(FLOWS);
    report.record("survival.crash.broken_ratio", ratio(&crash), "ratio", Bound::AtMost(0.001));
    let quantile_ms =
        |sim: &Simulation| sim.stats.answer_quantile_us(RECOVERY_QUANTILE) as f64 / 1e3;
    let added_ms = quantile_ms(&crash) - quantile_ms(&no_crash);
    report.record("recovery.p99_ms", added_ms, "ms", Bound::AtMost(50.0));
    report.record(
        "recovery.flows",
        crash.counter_total(Counter::Recovered) as f64,
        "flows",
        Bound::None,
    );
    let crash_while_draining = crash_while_draining();
    report.record(
        "survival.double.broken_ratio",
        ratio(&crash_while_draining),
        "ratio",
        Bound::AtMost(0.002),
    );

    let home_only = crash_with(&Config { max_learned: 1, probes_per_s: 0, ..Config::default() });
    report.record("survival.crash.broken_ratio.home_only", ratio(&home_only), "ratio", Bound::None);
    let no_probe = crash_with(&Config { probes_per_s: 0, ..Config::default() });
    report.record("survival.crash.broken_ratio.no_probe", ratio(&no_probe), "ratio", Bound::None);
    consistent_hashing(report);

    invariants(report, &[&planned, &crash, &crash_while_draining]);
}

/// Restarts all entries in turn, and meanwhile drains two upstreams, adds two and changes a weight.
fn planned() -> Simulation {
    let mut sim = new_simulation(&Config::default());
    sim.run_for(RAMP_TIME);
    for entry in 0..4 {
        sim.restart(entry);
        sim.run_for(Duration::from_secs(4));
        change_upstreams(&mut sim, entry);
    }
    finish(&mut sim);
    sim
}

fn change_upstreams(sim: &mut Simulation, step: usize) {
    match step {
        0 | 1 => drain(sim, step),
        2 => {
            sim.add_upstream(0);
            sim.add_upstream(1);
        }
        _ => {
            if let Some((_, upstream)) = sim.service.upstreams.get_index_mut(5) {
                upstream.weight = 3;
            }
        }
    }
    sim.publish_service(Duration::from_millis(500));
}

fn drain(sim: &mut Simulation, index: usize) {
    if let Some((_, upstream)) = sim.service.upstreams.get_index_mut(index) {
        upstream.admin_state = AdminState::Draining;
    }
}

/// Kills an entry and does not restart it.
fn crash_with(cfg: &Config) -> Simulation {
    let mut sim = new_simulation(cfg);
    sim.run_for(RAMP_TIME + Duration::from_secs(2));
    sim.kill(0);
    // The recovery time is that of flows that have been idle since the crash, so response times
    // from before they resume are dropped.
    sim.run_until(SETUP_END + IDLE_TIME);
    sim.stats.answer_us.clear();
    finish(&mut sim);
    sim
}

/// Kills an entry while an upstream drains.
fn crash_while_draining() -> Simulation {
    let mut sim = new_simulation(&Config::default());
    sim.run_for(RAMP_TIME + Duration::from_secs(2));
    drain(&mut sim, 0);
    sim.publish_service(Duration::from_millis(500));
    sim.run_for(Duration::from_millis(200));
    sim.kill(1);
    finish(&mut sim);
    sim
}

/// The same load without a crash, as the baseline of the response times.
fn no_crash() -> Simulation {
    let mut sim = new_simulation(&Config::default());
    sim.run_until(SETUP_END + IDLE_TIME);
    sim.stats.answer_us.clear();
    finish(&mut sim);
    sim
}

/// Creates a simulation with all callers, of which every second one idles after its start.
fn new_simulation(cfg: &Config) -> Simulation {
    let mut sim = Simulation::new(cfg.clone());
    let start = sim.now;
    let plan = |n: u32| Plan {
        start: start + RAMP_TIME.mul_f64(f64::from(n) / f64::from(FLOWS)),
        requests: None,
        think_time: THINK_TIME,
        idle_until: n.is_multiple_of(2).then(|| {
            let spread = Duration::from_secs(5).mul_f64(f64::from(n) / f64::from(FLOWS));
            start + IDLE_TIME + spread
        }),
    };
    sim.add_callers((0..FLOWS).map(plan));
    sim
}

fn finish(sim: &mut Simulation) {
    sim.run_until((SETUP_END + RUN_TIME).max(sim.now));
}

/// Baseline: each entry has its own flow table and sends packets of unknown flows to an upstream
/// chosen by consistent hashing.
///
/// This is a model without packets: a flow breaks if its next packet reaches an entry that has not
/// seen the flow and the hash gives another upstream than when the flow was opened.
fn consistent_hashing(report: &mut Report) {
    let before: Vec<u64> = (0..14).collect();
    let replaced: Vec<u64> = (2..16).collect();
    let drained: Vec<u64> = (1..14).collect();
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut broken_planned, mut broken_crash) = (0, 0);
    for flow in 0..u64::from(FLOWS) {
        let first = hashed_upstream(flow, &before);
        // All entries have been restarted, so that all flow tables are empty.
        broken_planned += u32::from(first != hashed_upstream(flow, &replaced));
        let packets = if flow.is_multiple_of(2) { 4 } else { 20 };
        let live_entry = rng.u64(1..4);
        let is_known = (0..packets).any(|_| rng.u64(..4) == live_entry);
        broken_crash += u32::from(!is_known && first != hashed_upstream(flow, &drained));
    }
    let ratio = |broken: u32| f64::from(broken) / f64::from(FLOWS);
    let name = "survival.planned.broken_ratio.consistent_hashing";
    report.record(name, ratio(broken_planned), "ratio", Bound::None);
    let name = "survival.double.broken_ratio.consistent_hashing";
    report.record(name, ratio(broken_crash), "ratio", Bound::None);
}

fn hashed_upstream(flow: u64, upstreams: &[u64]) -> Option<u64> {
    let score = |upstream: &&u64| {
        fastrand::Rng::with_seed(flow.wrapping_mul(0x9e37_79b9) ^ (**upstream << 40)).u64(..)
    };
    upstreams.iter().max_by_key(score).copied()
}

/// Counts of failures that must not occur, over all simulations.
fn invariants(report: &mut Report, simulations: &[&Simulation]) {
    let sum = |f: fn(&fakes::Stats) -> u64| {
        simulations.iter().map(|sim| f(&sim.stats)).sum::<u64>() as f64
    };
    report.record("refusal.false", sum(|s| s.false_refusals), "flows", Bound::AtMost(0.0));
    report.record("once.doubled", sum(|s| s.executed_twice), "requests", Bound::AtMost(0.0));
    report.record("delivery.foreign", sum(|s| s.misrouted), "packets", Bound::AtMost(0.0));
    report.record("answers.wrong", sum(|s| s.wrong), "answers", Bound::AtMost(0.0));
}
