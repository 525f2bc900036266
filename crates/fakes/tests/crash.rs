//! An entry that dies takes no flow with it.

use std::time::Duration;

use fakes::{Config, Plan, World};

fn check_crash(seed: u64) {
    let mut world = World::new(Config { seed, ..Config::default() });
    let start = world.now;
    let plan = |n: u32| Plan {
        start: start + Duration::from_millis(2) * n,
        requests: if n.is_multiple_of(4) { None } else { Some(3) },
        think: Duration::from_millis(if n.is_multiple_of(4) { 3_000 } else { 100 }),
        resume: n.is_multiple_of(8).then(|| start + Duration::from_secs(25)),
    };
    world.add_callers((0..5_000).map(plan));
    world.run_for(Duration::from_secs(4));
    world.kill(0);
    world.run_for(Duration::from_secs(3));
    world.start(0);
    world.run_for(Duration::from_secs(40));
    let facts = &world.seen;
    assert_eq!(facts.broken_total(), 0, "seed {seed}: broken {:?}", facts.broken);
    assert_eq!((facts.wrong, facts.doubled, facts.foreign), (0, 0, 0), "seed {seed}");
    assert_eq!((facts.refused, facts.unanswered), (0, 0), "seed {seed}");
    assert_eq!(facts.opened, 5_000, "seed {seed}");
}

#[test]
fn kill_and_start_seeds() {
    for seed in 1..=12 {
        check_crash(seed);
    }
}

/// Peers find an entry that has started again one after the other.
fn check_found_late(seed: u64) {
    let mut world = World::new(Config { seed, ..Config::default() });
    let start = world.now;
    let plan = |n: u32| Plan {
        start: start + Duration::from_millis(2) * n,
        requests: if n.is_multiple_of(4) { None } else { Some(3) },
        think: Duration::from_millis(if n.is_multiple_of(4) { 3_000 } else { 400 }),
        resume: n.is_multiple_of(8).then(|| start + Duration::from_secs(25)),
    };
    world.add_callers((0..5_000).map(plan));
    world.run_for(Duration::from_secs(3));
    world.kill(0);
    world.run_for(Duration::from_secs(3));
    world.start(0);
    let (late, lost) = (world.entries[2].id, world.entries[3].id);
    let started = world.entries[0].id;
    world.links.entry_cuts.extend([(started, late), (started, lost)]);
    world.run_for(Duration::from_millis(600));
    world.links.entry_cuts.retain(|cut| *cut == (started, lost));
    world.run_for(Duration::from_millis(600));
    world.links.entry_cuts.clear();
    world.run_for(Duration::from_secs(40));
    let facts = &world.seen;
    let broken = (facts.broken_total(), facts.broken_callers.first());
    assert_eq!(broken, (0, None), "seed {seed}: broken {:?}", facts.broken);
    assert_eq!((facts.wrong, facts.doubled, facts.foreign), (0, 0, 0), "seed {seed}");
    assert_eq!((facts.refused, facts.unanswered), (0, 0), "seed {seed}");
}

#[test]
fn found_late_seeds() {
    for seed in 1..=10 {
        check_found_late(seed);
    }
}
