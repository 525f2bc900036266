//! Limits of cold upstreams, an availability zone taken out of service and back, and an upstream
//! that stops answering, in simulation.

use std::time::Duration;

use balance::Limits;
use fakes::{Config, Plan, Simulation};
use flow::service::AdminState;

use crate::measure::report::{Bound, Report};

/// The zone that is taken out of service.
const ZONE: u8 = 2;

/// Longest time until an entry has received a published configuration.
const MAX_PUBLISH_DELAY: Duration = Duration::from_secs(1);

/// Runs the measurements of limits and zones.
pub fn run(report: &mut Report) {
    cold_limits(report);
    zone_cycle(report);
    dead_upstream(report);
}

/// Highest load of upstreams that start cold under full load, while entries are killed, started and
/// restarted.
fn cold_limits(report: &mut Report) {
    let limits =
        Limits { flows: 400, cold_flows: 40, cold_opens_per_s: 200, ramp: Duration::from_secs(5) };
    let mut peak: f64 = 0.0;
    let mut refused = 0;
    for seed in 1..=4 {
        let mut sim = Simulation::new(Config { seed, limits, ..Config::default() });
        let plans = short_flows(&sim, 60_000, Duration::from_secs(30), 4, 500);
        sim.add_callers(plans);
        sim.run_for(Duration::from_secs(8));
        sim.add_upstream(1);
        sim.publish_service(MAX_PUBLISH_DELAY);
        sim.run_for(Duration::from_secs(2));
        sim.kill(0);
        sim.run_for(Duration::from_secs(4));
        sim.start(0);
        sim.run_for(Duration::from_secs(2));
        sim.restart(1);
        sim.run_for(Duration::from_secs(20));
        peak = peak.max(sim.stats.peak_over_cap);
        refused += sim.stats.refused;
    }
    report.record("cold.peak_over_cap", peak, "ratio", Bound::AtMost(1.0));
    report.record("cold.refused", f64::from(refused as u32), "flows", Bound::None);
}

/// Takes a zone out of service and brings it back under load.
fn zone_cycle(report: &mut Report) {
    let limits = Limits {
        flows: 2_000,
        cold_flows: 100,
        cold_opens_per_s: 400,
        ramp: Duration::from_secs(5),
    };
    let mut sim = Simulation::new(Config { limits, ..Config::default() });
    let plans = short_flows(&sim, 30_000, Duration::from_secs(40), 6, 400);
    sim.add_callers(plans);
    sim.run_for(Duration::from_secs(12));

    let baseline_start = (sim.stats.ok, sim.now);
    sim.run_for(Duration::from_secs(2));
    let baseline_per_s = ok_per_s(&sim, baseline_start);
    let out_at = sim.now;
    sim.set_zone_admin_state(ZONE, AdminState::OutOfService);
    sim.publish_service(MAX_PUBLISH_DELAY);
    sim.run_for(Duration::from_secs(2));
    let outage_start = (sim.stats.ok, sim.now);
    sim.run_for(Duration::from_secs(6));
    let outage_per_s = ok_per_s(&sim, outage_start);
    let last_packet = sim
        .upstreams
        .values()
        .filter(|upstream| upstream.zone == ZONE)
        .filter_map(|upstream| sim.stats.last_packet.get(&upstream.ip))
        .max();
    let last_packet_s = last_packet.map_or(0.0, |last| last.since(out_at).as_secs_f64());
    report.record("zone.out.last_packet_s", last_packet_s, "s", Bound::AtMost(3.0));

    sim.stats.peak_over_cap = 0.0;
    sim.set_zone_admin_state(ZONE, AdminState::Active);
    sim.publish_service(MAX_PUBLISH_DELAY);
    sim.run_for(Duration::from_secs(40));
    let in_zone = |ip: &std::net::Ipv4Addr| sim.upstreams.get(ip).is_some_and(|u| u.zone == ZONE);
    let broken_elsewhere: u64 =
        sim.stats.broken.iter().filter(|(ip, _)| !in_zone(ip)).map(|(_, n)| n).sum();
    report.record("zone.out.other_broken", broken_elsewhere as f64, "flows", Bound::AtMost(0.0));
    report.record("zone.back.peak_over_cap", sim.stats.peak_over_cap, "ratio", Bound::AtMost(1.0));
    let ratio = outage_per_s / baseline_per_s;
    report.record("zone.cycle.goodput_ratio", ratio, "ratio", Bound::AtLeast(0.98));
    report.record("zone.cycle.given_up", given_up(&sim), "flows", Bound::None);
}

/// Load while an upstream stops answering without notice.
fn dead_upstream(report: &mut Report) {
    let mut sim = Simulation::new(Config::default());
    let plans = short_flows(&sim, 20_000, Duration::from_secs(20), 1, 10);
    sim.add_callers(plans);
    sim.run_for(Duration::from_secs(5));
    if let Some((_, upstream)) = sim.upstreams.get_index_mut(0) {
        upstream.behaviour.up = false;
    }
    let retried_before = sim.counter_total(flow::Counter::OpeningRetried);
    sim.run_for(Duration::from_secs(10));
    let retried = sim.counter_total(flow::Counter::OpeningRetried) - retried_before;
    report.record("dead_upstream.openings_delayed", retried as f64, "flows", Bound::None);
    sim.run_for(Duration::from_secs(20));
    let unanswered = sim.stats.unanswered as f64;
    report.record("dead_upstream.unanswered", unanswered, "flows", Bound::AtMost(0.0));
}

fn given_up(sim: &Simulation) -> f64 {
    sim.counter_total(flow::Counter::GivenUp) as f64
}

/// Correct answers per second since `start`, a count of correct answers and its time.
fn ok_per_s(sim: &Simulation, start: (u64, stdx::time::Timestamp)) -> f64 {
    (sim.stats.ok - start.0) as f64 / sim.now.since(start.1).as_secs_f64()
}

/// Plans of `count` short flows, opened at a constant rate over `span`.
fn short_flows(
    sim: &Simulation,
    count: u32,
    span: Duration,
    requests: u32,
    think_ms: u64,
) -> Vec<Plan> {
    let plan = |n: u32| Plan {
        start: sim.now + span.mul_f64(f64::from(n) / f64::from(count)),
        requests: Some(requests),
        think_time: Duration::from_millis(think_ms),
        idle_until: None,
    };
    (0..count).map(plan).collect()
}
