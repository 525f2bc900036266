//! What has been stats of the promises.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;

use indexmap::IndexMap;
use stdx::time::Timestamp;

/// Counts of what callers and upstreams have stats.
#[derive(Debug, Clone, Default)]
pub struct Stats {
    /// Flows opened.
    pub opened: u64,
    /// Openings that were refused.
    pub refused: u64,
    /// Openings that got no answer in time.
    pub unanswered: u64,
    /// Right answers.
    pub ok: u64,
    /// Wrong answers, and answers of an upstream that does not hold the flow.
    pub wrong: u64,
    /// Flows that broke, by upstream.
    pub broken: IndexMap<Ipv4Addr, u64>,
    /// Callers whose flows broke.
    pub broken_callers: Vec<Ipv4Addr>,
    /// Requests that ran twice.
    pub executed_twice: u64,
    /// Packets that reached another service's upstream.
    pub misrouted: u64,
    /// Refusals of openings whose flow ran a request.
    pub false_refusals: u64,
    /// Highest ratio of open flows to the cap, over all upstreams and times.
    pub peak_over_cap: f64,
    /// Last packet to each upstream.
    pub last_packet: HashMap<Ipv4Addr, Timestamp>,
    /// Answer times in microseconds.
    pub answer_us: Vec<u64>,
    executed: HashSet<u64>,
}

impl Stats {
    /// Notes that a request has run.
    pub fn record_execution(&mut self, request: u64) {
        if !self.executed.insert(request) {
            self.executed_twice += 1;
        }
    }

    /// Broken flows over all upstreams.
    pub fn broken_total(&self) -> u64 {
        self.broken.values().sum()
    }

    /// The answer time that a part of all answers does not exceed, in microseconds.
    pub fn answer_quantile_us(&self, quantile: f64) -> u64 {
        let mut sorted = self.answer_us.clone();
        sorted.sort_unstable();
        let index = ((sorted.len() as f64 * quantile) as usize).min(sorted.len().saturating_sub(1));
        sorted.get(index).copied().unwrap_or_default()
    }
}
