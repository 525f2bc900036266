//! No flow breaks when an entry crashes and starts again.

use std::time::Duration;

use fakes::{Config, Plan, Simulation};

fn check_crash(seed: u64) {
    let mut sim = Simulation::new(Config { seed, ..Config::default() });
    let start = sim.now;
    let plan = |n: u32| Plan {
        start: start + Duration::from_millis(2) * n,
        requests: if n.is_multiple_of(4) { None } else { Some(3) },
        think_time: Duration::from_millis(if n.is_multiple_of(4) { 3_000 } else { 100 }),
        idle_until: n.is_multiple_of(8).then(|| start + Duration::from_secs(25)),
    };
    sim.add_callers((0..5_000).map(plan));
    sim.run_for(Duration::from_secs(4));
    sim.kill(0);
    sim.run_for(Duration::from_secs(3));
    sim.start(0);
    sim.run_for(Duration::from_secs(40));
    let stats = &sim.stats;
    assert_eq!(stats.broken_total(), 0, "seed {seed}: broken {:?}", stats.broken);
    assert_eq!((stats.wrong, stats.executed_twice, stats.misrouted), (0, 0, 0), "seed {seed}");
    assert_eq!((stats.refused, stats.unanswered), (0, 0), "seed {seed}");
    assert_eq!(stats.opened, 5_000, "seed {seed}");
}

#[test]
fn kill_and_start_seeds() {
    for seed in 1..=12 {
        check_crash(seed);
    }
}

/// Peers reach a restarted entry one after the other, so that they learn of its restart at
/// different times.
fn check_found_late(seed: u64) {
    let mut sim = Simulation::new(Config { seed, ..Config::default() });
    let start = sim.now;
    let plan = |n: u32| Plan {
        start: start + Duration::from_millis(2) * n,
        requests: if n.is_multiple_of(4) { None } else { Some(3) },
        think_time: Duration::from_millis(if n.is_multiple_of(4) { 3_000 } else { 400 }),
        idle_until: n.is_multiple_of(8).then(|| start + Duration::from_secs(25)),
    };
    sim.add_callers((0..5_000).map(plan));
    sim.run_for(Duration::from_secs(3));
    sim.kill(0);
    sim.run_for(Duration::from_secs(3));
    sim.start(0);
    let (first, second) = (sim.entries[2].id, sim.entries[3].id);
    let started = sim.entries[0].id;
    sim.link_faults.entry_partitions.extend([(started, first), (started, second)]);
    sim.run_for(Duration::from_millis(600));
    sim.link_faults.entry_partitions.retain(|pair| *pair == (started, second));
    sim.run_for(Duration::from_millis(600));
    sim.link_faults.entry_partitions.clear();
    sim.run_for(Duration::from_secs(40));
    let stats = &sim.stats;
    let broken = (stats.broken_total(), stats.broken_callers.first());
    assert_eq!(broken, (0, None), "seed {seed}: broken {:?}", stats.broken);
    assert_eq!((stats.wrong, stats.executed_twice, stats.misrouted), (0, 0, 0), "seed {seed}");
    assert_eq!((stats.refused, stats.unanswered), (0, 0), "seed {seed}");
}

#[test]
fn found_late_seeds() {
    for seed in 1..=10 {
        check_found_late(seed);
    }
}
