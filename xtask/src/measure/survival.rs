//! Flows that survive planned changes and crashes.

use std::time::Duration;

use fakes::{Config, Plan, Simulation};
use flow::Counter;
use flow::service::AdminState;
use stdx::time::Timestamp;

use crate::measure::report::{Bound, Report};

/// Open flows; every second one is idle.
const FLOWS: u32 = 36_000;

/// Time over which the flows are opened.
const RAMP: Duration = Duration::from_secs(10);

/// Time between the requests of a flow that is not idle.
const THINK: Duration = Duration::from_secs(5);

/// Time until idle flows send again.
const RESUME: Duration = Duration::from_secs(45);

/// Time until everything has happened, the callers' own time-outs included.
const END: Duration = Duration::from_secs(70);

/// When a world is ready for callers.
const END_OF_SETUP: Timestamp = Timestamp::from_secs(1_005);

/// A quarter of the flows had their home at the entry that died, so that their 99th percentile is
/// this one of all.
const RECOVERY_QUANTILE: f64 = 0.9975;

/// Runs all measurements of survival.
pub fn run(report: &mut Report) {
    let planned = planned();
    report.line(
        "survival.planned.broken",
        planned.stats.broken_total() as f64,
        "flows",
        Bound::AtMost(0.0),
    );
    let open: Vec<f64> = planned.upstreams.values().map(|u| u.connection_count() as f64).collect();
    report.line("survival.planned.open", open.iter().sum(), "flows", Bound::None);
    report.line("survival.planned.opened", planned.stats.opened as f64, "flows", Bound::None);

    let crash = crash_with(&Config::default());
    let calm = calm();
    let ratio = |world: &Simulation| world.stats.broken_total() as f64 / f64::from(FLOWS);
    report.line("survival.crash.broken_ratio", ratio(&crash), "ratio", Bound::AtMost(0.001));
    let slowest =
        |world: &Simulation| world.stats.answer_quantile_us(RECOVERY_QUANTILE) as f64 / 1e3;
    let added = slowest(&crash) - slowest(&calm);
    report.line("recovery.p99_ms", added, "ms", Bound::AtMost(50.0));
    report.line(
        "recovery.flows",
        crash.counter_total(Counter::Recovered) as f64,
        "flows",
        Bound::None,
    );
    let double = double();
    report.line("survival.double.broken_ratio", ratio(&double), "ratio", Bound::AtMost(0.002));

    let b1 = crash_with(&Config { max_learned: 1, probes_per_s: 0, ..Config::default() });
    report.line("survival.crash.broken_ratio.home_only", ratio(&b1), "ratio", Bound::None);
    let b2 = crash_with(&Config { probes_per_s: 0, ..Config::default() });
    report.line("survival.crash.broken_ratio.no_probe", ratio(&b2), "ratio", Bound::None);
    consistent_hashing(report);

    promises(report, &[&planned, &crash, &double]);
}

/// Restarts all entries in turn, drains two upstreams, adds two and changes a weight.
fn planned() -> Simulation {
    let mut world = world(&Config::default());
    world.run_for(RAMP);
    for entry in 0..4 {
        world.restart(entry);
        world.run_for(Duration::from_secs(4));
        change_upstreams(&mut world, entry);
    }
    finish(&mut world);
    world
}

fn change_upstreams(world: &mut Simulation, step: usize) {
    match step {
        0 | 1 => drain(world, step),
        2 => {
            world.add_upstream(0);
            world.add_upstream(1);
        }
        _ => {
            if let Some((_, upstream)) = world.service.upstreams.get_index_mut(5) {
                upstream.weight = 3;
            }
        }
    }
    world.publish_service(Duration::from_millis(500));
}

fn drain(world: &mut Simulation, index: usize) {
    if let Some((_, upstream)) = world.service.upstreams.get_index_mut(index) {
        upstream.admin_state = AdminState::Draining;
    }
}

/// An entry dies and does not come back.
fn crash_with(cfg: &Config) -> Simulation {
    let mut world = world(cfg);
    world.run_for(RAMP + Duration::from_secs(2));
    world.kill(0);
    // Only answers to flows that have been silent since are of interest for the recovery's time.
    world.run_until(END_OF_SETUP + RESUME);
    world.stats.answer_us.clear();
    finish(&mut world);
    world
}

/// An entry dies while an upstream drains.
fn double() -> Simulation {
    let mut world = world(&Config::default());
    world.run_for(RAMP + Duration::from_secs(2));
    drain(&mut world, 0);
    world.publish_service(Duration::from_millis(500));
    world.run_for(Duration::from_millis(200));
    world.kill(1);
    finish(&mut world);
    world
}

fn calm() -> Simulation {
    let mut world = world(&Config::default());
    world.run_until(END_OF_SETUP + RESUME);
    world.stats.answer_us.clear();
    finish(&mut world);
    world
}

fn world(cfg: &Config) -> Simulation {
    let mut world = Simulation::new(cfg.clone());
    let start = world.now;
    let plan = |n: u32| Plan {
        start: start + RAMP.mul_f64(f64::from(n) / f64::from(FLOWS)),
        requests: None,
        think_time: THINK,
        idle_until: n.is_multiple_of(2).then(|| {
            let spread = Duration::from_secs(5).mul_f64(f64::from(n) / f64::from(FLOWS));
            start + RESUME + spread
        }),
    };
    world.add_callers((0..FLOWS).map(plan));
    world
}

fn finish(world: &mut Simulation) {
    world.run_until((END_OF_SETUP + END).max(world.now));
}

/// Baseline: each entry has its own table, and hashes what it does not know over the upstreams.
///
/// A model without packets: a flow breaks when its next packet reaches an entry that has not seen
/// it, and the hash now names another upstream than when the flow was opened.
fn consistent_hashing(report: &mut Report) {
    let before: Vec<u64> = (0..14).collect();
    let exchanged: Vec<u64> = (2..16).collect();
    let drained: Vec<u64> = (1..14).collect();
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut planned, mut double) = (0, 0);
    for flow in 0..u64::from(FLOWS) {
        let first = hashed_upstream(flow, &before);
        // All entries have been restarted, so that no table is left.
        planned += u32::from(first != hashed_upstream(flow, &exchanged));
        let packets = if flow.is_multiple_of(2) { 4 } else { 20 };
        let live_entry = rng.u64(1..4);
        let seen_there = (0..packets).any(|_| rng.u64(..4) == live_entry);
        double += u32::from(!seen_there && first != hashed_upstream(flow, &drained));
    }
    let ratio = |broken: u32| f64::from(broken) / f64::from(FLOWS);
    let name = "survival.planned.broken_ratio.consistent_hashing";
    report.line(name, ratio(planned), "ratio", Bound::None);
    let name = "survival.double.broken_ratio.consistent_hashing";
    report.line(name, ratio(double), "ratio", Bound::None);
}

fn hashed_upstream(flow: u64, upstreams: &[u64]) -> Option<u64> {
    let weigh = |upstream: &&u64| {
        fastrand::Rng::with_seed(flow.wrapping_mul(0x9e37_79b9) ^ (**upstream << 40)).u64(..)
    };
    upstreams.iter().max_by_key(weigh).copied()
}

/// What must never happen, over all worlds.
fn promises(report: &mut Report, worlds: &[&Simulation]) {
    let sum = |f: fn(&fakes::Stats) -> u64| worlds.iter().map(|w| f(&w.stats)).sum::<u64>() as f64;
    report.line("refusal.false", sum(|s| s.false_refusals), "flows", Bound::AtMost(0.0));
    report.line("once.doubled", sum(|s| s.executed_twice), "requests", Bound::AtMost(0.0));
    report.line("delivery.foreign", sum(|s| s.misrouted), "packets", Bound::AtMost(0.0));
    report.line("answers.wrong", sum(|s| s.wrong), "answers", Bound::AtMost(0.0));
}
