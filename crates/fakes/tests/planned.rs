//! Planned changes break no flow.

use std::time::Duration;

use fakes::{Config, Plan, World};

/// Flows that are opened over `ramp`; every second one is silent from its first answer until the
/// end.
fn flows(world: &World, count: u32, ramp: Duration, end: Duration) -> Vec<Plan> {
    let plan = |n: u32| Plan {
        start: world.now + ramp.mul_f64(f64::from(n) / f64::from(count)),
        requests: None,
        think: Duration::from_millis(500),
        resume: n.is_multiple_of(2).then(|| world.now + end),
    };
    (0..count).map(plan).collect()
}

/// Short flows, so that some are opening and closing at every step of the change.
fn short_flows(world: &World, count: u32, span: Duration) -> Vec<Plan> {
    let plan = |n: u32| Plan {
        start: world.now + span.mul_f64(f64::from(n) / f64::from(count)),
        requests: Some(2),
        think: Duration::from_millis(20),
        resume: None,
    };
    (0..count).map(plan).collect()
}

fn check_rolling_restart(seed: u64) {
    let mut world = World::new(Config { seed, ..Config::default() });
    let end = Duration::from_secs(20);
    let plans = flows(&world, 200, Duration::from_secs(1), end);
    world.add_callers(plans);
    let plans = short_flows(&world, 4_000, Duration::from_secs(18));
    world.add_callers(plans);
    world.run_for(Duration::from_secs(4));
    for entry in 0..4 {
        world.restart(entry);
        world.run_for(Duration::from_secs(4));
    }
    world.run_for(Duration::from_secs(20));
    let facts = &world.seen;
    assert_eq!(facts.broken_total(), 0, "seed {seed}: broken {:?}", facts.broken);
    assert_eq!((facts.wrong, facts.doubled, facts.foreign), (0, 0, 0), "seed {seed}");
    assert_eq!((facts.refused, facts.unanswered), (0, 0), "seed {seed}");
    assert_eq!(facts.opened, 4_200, "seed {seed}");
}

#[test]
fn rolling_restart_seeds() {
    for seed in 1..=10 {
        check_rolling_restart(seed);
    }
}
