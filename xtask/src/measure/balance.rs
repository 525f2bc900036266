//! Load balance and response times of the upstream choice, in a queueing model.
//!
//! Flows of one short request each arrive at four entries, which choose upstreams independently;
//! each upstream has a queue and a few slots. The baseline is one queue shared by all slots.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::Ipv4Addr;
use std::time::Duration;

use balance::{Limits, Pool, Share, Spec};
use stdx::time::Timestamp;

use crate::measure::report::{Bound, Report};

const UPSTREAMS: usize = 14;
const SLOTS_PER_UPSTREAM: usize = 2;
const ENTRIES: usize = 4;
/// Arrival rate as a fraction of the capacity of all slots.
const UTILISATION: f64 = 0.8;
const REQUESTS: usize = 400_000;
const SEEDS: std::ops::Range<u64> = 9..13;

/// Mean service time of a request.
const MEAN_SERVICE_US: f64 = 2_000.0;

/// Time between load reports of upstreams, in mean service times.
const REPORT_INTERVAL_SERVICE_TIMES: f64 = 20.0;

/// Factor by which the misreporting upstream is slower than the others.
const MISREPORTING_SLOWDOWN: f64 = 3.0;

/// Distribution of service times.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ServiceTimes {
    Exponential,
    Fixed,
}

/// How an entry chooses an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    /// The choice under test, [`Pool::open`].
    Pool,
    RoundRobin,
    Rendezvous,
    /// The upstream that reported the least load.
    LeastReported,
    /// One queue that is shared by all slots.
    SharedQueue,
}

/// Measures response times against a shared queue, and the spread of long-lived flows.
pub fn run(report: &mut Report) {
    for (name, times, limit) in
        [("exponential", ServiceTimes::Exponential, 1.15), ("fixed", ServiceTimes::Fixed, 1.45)]
    {
        let shared_us = p99_us(Policy::SharedQueue, times, false);
        let ratio = |policy| p99_us(policy, times, false) / shared_us;
        let name = format!("balance.slots.p99_answer_ratio.{name}");
        report.record(&name, ratio(Policy::Pool), "ratio", Bound::AtMost(limit));
        for (baseline, policy) in [
            ("round_robin", Policy::RoundRobin),
            ("rendezvous", Policy::Rendezvous),
            ("least_reported", Policy::LeastReported),
        ] {
            report.record(&format!("{name}.{baseline}"), ratio(policy), "ratio", Bound::None);
        }
    }
    let shared_us = p99_us(Policy::SharedQueue, ServiceTimes::Exponential, true);
    for (name, policy, bound) in [
        ("balance.liar.p99_answer_ratio", Policy::Pool, Bound::AtMost(1.5)),
        ("balance.liar.p99_answer_ratio.round_robin", Policy::RoundRobin, Bound::None),
        ("balance.liar.p99_answer_ratio.least_reported", Policy::LeastReported, Bound::None),
    ] {
        report.record(
            name,
            p99_us(policy, ServiceTimes::Exponential, true) / shared_us,
            "ratio",
            bound,
        );
    }
    long_lived_flows(report);
}

/// Spread of open flows over warm upstreams if no flow ends.
fn long_lived_flows(report: &mut Report) {
    let mut entries = Entries::new(Policy::Pool);
    let mut open = [0_u32; UPSTREAMS];
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..36_000 {
        let entry = rng.usize(..ENTRIES);
        open[entries.choose(Timestamp::from_secs(100), entry, &[0; UPSTREAMS])] += 1;
    }
    let mean = f64::from(open.iter().sum::<u32>()) / UPSTREAMS as f64;
    let max = f64::from(open.iter().copied().max().unwrap_or_default());
    report.record("balance.warm.max_over_mean", max / mean, "ratio", Bound::AtMost(1.10));
}

/// The entries, each with its own state of the policy.
struct Entries {
    policy: Policy,
    pools: Vec<Pool>,
    round_robin: [usize; ENTRIES],
    rng: fastrand::Rng,
}

impl Entries {
    fn new(policy: Policy) -> Self {
        let limits = Limits {
            flows: 1_000_000,
            cold_flows: 1_000_000,
            cold_opens_per_s: 1_000_000_000,
            ramp: Duration::from_millis(1),
        };
        let spec = |n| Spec { upstream: upstream(n), weight: 1, eligible: true, limits };
        let specs: Vec<Spec> = (0..UPSTREAMS).map(spec).collect();
        let mut pools = vec![Pool::default(); ENTRIES];
        for pool in &mut pools {
            pool.apply(Timestamp::default(), &specs);
        }
        Self { policy, pools, round_robin: [0, 3, 7, 10], rng: fastrand::Rng::with_seed(5) }
    }

    fn choose(&mut self, now: Timestamp, entry: usize, reported: &[usize; UPSTREAMS]) -> usize {
        match self.policy {
            Policy::Pool => {
                let share = Share { entries: ENTRIES as u32 };
                let chosen = self.pools[entry].open(now, share, &[]);
                chosen.map_or(0, |ip| usize::from(ip.octets()[3]))
            }
            Policy::RoundRobin => {
                self.round_robin[entry] = (self.round_robin[entry] + 1) % UPSTREAMS;
                self.round_robin[entry]
            }
            // Each flow has a new key, so that its hash is equivalent to a random choice.
            Policy::Rendezvous => self.rng.usize(..UPSTREAMS),
            Policy::LeastReported => {
                let rng = &mut self.rng;
                let order = |n: &usize| (reported[*n], rng.u32(..));
                (0..UPSTREAMS).min_by_key(order).unwrap_or_default()
            }
            Policy::SharedQueue => 0,
        }
    }

    fn close(&mut self, entry: usize, n: usize) {
        if self.policy == Policy::Pool {
            self.pools[entry].close(upstream(n));
        }
    }
}

/// An upstream: slots that execute requests, and a queue in front of them.
#[derive(Debug, Clone, Default)]
struct Server {
    busy: usize,
    slots: usize,
    queue: VecDeque<Request>,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    arrived_us: f64,
    service_us: f64,
    entry: usize,
}

/// The 99th percentile of response times over several seeds. With `misreporting`, one upstream is
/// slow and reports no load.
fn p99_us(policy: Policy, times: ServiceTimes, misreporting: bool) -> f64 {
    let mut responses_us = Vec::new();
    for seed in SEEDS {
        let mut model = Model::new(policy, times, misreporting, seed);
        model.run();
        responses_us.append(&mut model.responses_us);
    }
    responses_us.sort_by(f64::total_cmp);
    responses_us[responses_us.len() * 99 / 100]
}

/// Discrete-event simulation of the entries and upstreams.
struct Model {
    entries: Entries,
    times: ServiceTimes,
    misreporting: bool,
    servers: Vec<Server>,
    /// Running requests: bits of the completion time, server, entry, bits of the arrival time.
    completions: BinaryHeap<Reverse<(u64, usize, usize, u64)>>,
    reported: [usize; UPSTREAMS],
    responses_us: Vec<f64>,
    rng: fastrand::Rng,
}

impl Model {
    fn new(policy: Policy, times: ServiceTimes, misreporting: bool, seed: u64) -> Self {
        let server = |slots| Server { slots, ..Server::default() };
        let servers = match policy {
            Policy::SharedQueue => vec![server(SLOTS_PER_UPSTREAM * UPSTREAMS)],
            _ => vec![server(SLOTS_PER_UPSTREAM); UPSTREAMS],
        };
        Self {
            entries: Entries::new(policy),
            times,
            misreporting,
            servers,
            completions: BinaryHeap::new(),
            reported: [0; UPSTREAMS],
            responses_us: Vec::with_capacity(REQUESTS),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn run(&mut self) {
        let capacity = self.capacity();
        let mean_interarrival_us = MEAN_SERVICE_US / (capacity * UTILISATION);
        let (mut now_us, mut next_report_us) = (0.0, 0.0);
        for _ in 0..REQUESTS {
            now_us -= mean_interarrival_us * (1.0 - self.rng.f64()).ln();
            self.complete_until(now_us);
            if now_us >= next_report_us {
                next_report_us = now_us + REPORT_INTERVAL_SERVICE_TIMES * MEAN_SERVICE_US;
                self.report();
            }
            let entry = self.rng.usize(..ENTRIES);
            let now = Timestamp(1_000_000 + now_us as u64);
            let chosen = self.entries.choose(now, entry, &self.reported);
            let service_us = self.service_us();
            self.arrive(now_us, chosen, Request { arrived_us: now_us, service_us, entry });
        }
    }

    /// Number of slots; those of the slow upstream count by their relative speed.
    fn capacity(&self) -> f64 {
        let all = (SLOTS_PER_UPSTREAM * UPSTREAMS) as f64;
        if self.misreporting {
            all - SLOTS_PER_UPSTREAM as f64 * (1.0 - 1.0 / MISREPORTING_SLOWDOWN)
        } else {
            all
        }
    }

    /// A random service time.
    fn service_us(&mut self) -> f64 {
        match self.times {
            ServiceTimes::Fixed => MEAN_SERVICE_US,
            ServiceTimes::Exponential => -MEAN_SERVICE_US * (1.0 - self.rng.f64()).ln(),
        }
    }

    /// Updates the load that each upstream has reported.
    fn report(&mut self) {
        if self.servers.len() < UPSTREAMS {
            return;
        }
        for (n, server) in self.servers.iter().enumerate() {
            let misreports = self.misreporting && n == 0;
            self.reported[n] = if misreports { 0 } else { server.busy + server.queue.len() };
        }
    }

    fn arrive(&mut self, now_us: f64, n: usize, req: Request) {
        if self.servers[n].busy < self.servers[n].slots {
            self.start(now_us, n, req);
        } else {
            self.servers[n].queue.push_back(req);
        }
    }

    fn start(&mut self, now_us: f64, n: usize, req: Request) {
        self.servers[n].busy += 1;
        let slow = self.misreporting && n == 0 && self.servers.len() == UPSTREAMS;
        let service_us = if slow { req.service_us * MISREPORTING_SLOWDOWN } else { req.service_us };
        let done = (now_us + service_us).to_bits();
        self.completions.push(Reverse((done, n, req.entry, req.arrived_us.to_bits())));
    }

    /// Completes the requests that are done by `now_us`, and starts queued ones in their slots.
    fn complete_until(&mut self, now_us: f64) {
        while let Some(Reverse((done, n, entry, arrived))) = self.completions.peek().copied() {
            let (done_us, arrived_us) = (f64::from_bits(done), f64::from_bits(arrived));
            if done_us > now_us {
                return;
            }
            self.completions.pop();
            self.responses_us.push(done_us - arrived_us);
            self.entries.close(entry, n);
            self.servers[n].busy -= 1;
            if let Some(next) = self.servers[n].queue.pop_front() {
                self.start(done_us, n, next);
            }
        }
    }
}

fn upstream(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 2, 0, n as u8)
}
