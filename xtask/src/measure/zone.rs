//! Limits of cold upstreams, and an availability zone that leaves and returns.

use std::time::Duration;

use balance::Limits;
use fakes::{Config, Plan, Simulation};
use flow::service::AdminState;

use crate::measure::report::{Bound, Report};

/// The zone that leaves.
const ZONE: u8 = 2;

/// Longest time until an entry has a decision.
const SPREAD: Duration = Duration::from_secs(1);

/// Runs the measurements of limits and zones.
pub fn run(report: &mut Report) {
    cold(report);
    zone(report);
    dead_upstream(report);
}

/// Upstreams that start cold under full load, while entries join and die.
fn cold(report: &mut Report) {
    let limits =
        Limits { flows: 400, cold_flows: 40, cold_opens_per_s: 200, ramp: Duration::from_secs(5) };
    let mut peak: f64 = 0.0;
    let mut refused = 0;
    for seed in 1..=4 {
        let mut world = Simulation::new(Config { seed, limits, ..Config::default() });
        let plans = short(&world, 60_000, Duration::from_secs(30), 4, 500);
        world.add_callers(plans);
        world.run_for(Duration::from_secs(8));
        world.add_upstream(1);
        world.publish_service(SPREAD);
        world.run_for(Duration::from_secs(2));
        world.kill(0);
        world.run_for(Duration::from_secs(4));
        world.start(0);
        world.run_for(Duration::from_secs(2));
        world.restart(1);
        world.run_for(Duration::from_secs(20));
        peak = peak.max(world.stats.peak_over_cap);
        refused += world.stats.refused;
    }
    report.line("cold.peak_over_cap", peak, "ratio", Bound::AtMost(1.0));
    report.line("cold.refused", f64::from(refused as u32), "flows", Bound::None);
}

/// A zone is taken out and brought back under load.
fn zone(report: &mut Report) {
    let limits = Limits {
        flows: 2_000,
        cold_flows: 100,
        cold_opens_per_s: 400,
        ramp: Duration::from_secs(5),
    };
    let mut world = Simulation::new(Config { limits, ..Config::default() });
    let plans = short(&world, 30_000, Duration::from_secs(40), 6, 400);
    world.add_callers(plans);
    world.run_for(Duration::from_secs(12));

    let before = (world.stats.ok, world.now);
    world.run_for(Duration::from_secs(2));
    let usual = rate(&world, before);
    let out_at = world.now;
    world.set_zone_admin_state(ZONE, AdminState::OutOfService);
    world.publish_service(SPREAD);
    world.run_for(Duration::from_secs(2));
    let during = (world.stats.ok, world.now);
    world.run_for(Duration::from_secs(6));
    let without = rate(&world, during);
    let last = world
        .upstreams
        .values()
        .filter(|upstream| upstream.zone == ZONE)
        .filter_map(|upstream| world.stats.last_packet.get(&upstream.ip))
        .max();
    let last = last.map_or(0.0, |last| last.since(out_at).as_secs_f64());
    report.line("zone.out.last_packet_s", last, "s", Bound::AtMost(3.0));

    world.stats.peak_over_cap = 0.0;
    world.set_zone_admin_state(ZONE, AdminState::Active);
    world.publish_service(SPREAD);
    world.run_for(Duration::from_secs(40));
    let in_zone = |ip: &std::net::Ipv4Addr| world.upstreams.get(ip).is_some_and(|u| u.zone == ZONE);
    let others: u64 =
        world.stats.broken.iter().filter(|(ip, _)| !in_zone(ip)).map(|(_, n)| n).sum();
    report.line("zone.out.other_broken", others as f64, "flows", Bound::AtMost(0.0));
    report.line("zone.back.peak_over_cap", world.stats.peak_over_cap, "ratio", Bound::AtMost(1.0));
    let ratio = without / usual;
    report.line("zone.cycle.goodput_ratio", ratio, "ratio", Bound::AtLeast(0.98));
    report.line("zone.cycle.given_up", given_up(&world), "flows", Bound::None);
}

/// An upstream stops answering without warning.
fn dead_upstream(report: &mut Report) {
    let mut world = Simulation::new(Config::default());
    let plans = short(&world, 20_000, Duration::from_secs(20), 1, 10);
    world.add_callers(plans);
    world.run_for(Duration::from_secs(5));
    if let Some((_, upstream)) = world.upstreams.get_index_mut(0) {
        upstream.behaviour.up = false;
    }
    let before = world.counter_total(flow::Counter::OpeningRetried);
    world.run_for(Duration::from_secs(10));
    let retried = world.counter_total(flow::Counter::OpeningRetried) - before;
    report.line("dead_upstream.openings_delayed", retried as f64, "flows", Bound::None);
    world.run_for(Duration::from_secs(20));
    let unanswered = world.stats.unanswered as f64;
    report.line("dead_upstream.unanswered", unanswered, "flows", Bound::AtMost(0.0));
}

fn given_up(world: &Simulation) -> f64 {
    world.counter_total(flow::Counter::GivenUp) as f64
}

/// Right answers a second since `before`.
fn rate(world: &Simulation, before: (u64, stdx::time::Timestamp)) -> f64 {
    (world.stats.ok - before.0) as f64 / world.now.since(before.1).as_secs_f64()
}

/// Short flows, evenly over `span`.
fn short(
    world: &Simulation,
    count: u32,
    span: Duration,
    requests: u32,
    think_ms: u64,
) -> Vec<Plan> {
    let plan = |n: u32| Plan {
        start: world.now + span.mul_f64(f64::from(n) / f64::from(count)),
        requests: Some(requests),
        think_time: Duration::from_millis(think_ms),
        idle_until: None,
    };
    (0..count).map(plan).collect()
}
