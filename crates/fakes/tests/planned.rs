//! No flow breaks during planned changes.

use std::time::Duration;

use fakes::{Config, Plan, Simulation};

/// Flows that are opened over `ramp`. Every second one is idle from its first answer until
/// `idle_time` has passed.
fn flows(sim: &Simulation, count: u32, ramp: Duration, idle_time: Duration) -> Vec<Plan> {
    let plan = |n: u32| Plan {
        start: sim.now + ramp.mul_f64(f64::from(n) / f64::from(count)),
        requests: None,
        think_time: Duration::from_millis(500),
        idle_until: n.is_multiple_of(2).then(|| sim.now + idle_time),
    };
    (0..count).map(plan).collect()
}

/// Short flows, so that some are being opened and closed at every step of the change.
fn short_flows(sim: &Simulation, count: u32, span: Duration) -> Vec<Plan> {
    let plan = |n: u32| Plan {
        start: sim.now + span.mul_f64(f64::from(n) / f64::from(count)),
        requests: Some(2),
        think_time: Duration::from_millis(20),
        idle_until: None,
    };
    (0..count).map(plan).collect()
}

fn check_rolling_restart(seed: u64) {
    let mut sim = Simulation::new(Config { seed, ..Config::default() });
    let idle_time = Duration::from_secs(20);
    let plans = flows(&sim, 200, Duration::from_secs(1), idle_time);
    sim.add_callers(plans);
    let plans = short_flows(&sim, 4_000, Duration::from_secs(18));
    sim.add_callers(plans);
    sim.run_for(Duration::from_secs(4));
    for entry in 0..4 {
        sim.restart(entry);
        sim.run_for(Duration::from_secs(4));
    }
    sim.run_for(Duration::from_secs(20));
    let stats = &sim.stats;
    assert_eq!(stats.broken_total(), 0, "seed {seed}: broken {:?}", stats.broken);
    assert_eq!((stats.wrong, stats.executed_twice, stats.misrouted), (0, 0, 0), "seed {seed}");
    assert_eq!((stats.refused, stats.unanswered), (0, 0), "seed {seed}");
    assert_eq!(stats.opened, 4_200, "seed {seed}");
}

#[test]
fn rolling_restart_seeds() {
    for seed in 1..=10 {
        check_rolling_restart(seed);
    }
}
