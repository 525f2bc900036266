//! Outcomes that callers and upstreams observed.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;

use indexmap::IndexMap;
use stdx::time::Timestamp;

/// Counts of observed outcomes, among them violations of the guarantees to callers.
#[derive(Debug, Clone, Default)]
pub struct Stats {
    /// Flows opened.
    pub opened: u64,
    /// Openings that were reset.
    pub refused: u64,
    /// Openings that timed out.
    pub unanswered: u64,
    /// Correct answers.
    pub ok: u64,
    /// Incorrect answers, and answers from another upstream than the flow's.
    pub wrong: u64,
    /// Broken flows, by upstream.
    pub broken: IndexMap<Ipv4Addr, u64>,
    /// Callers with broken flows.
    pub broken_callers: Vec<Ipv4Addr>,
    /// Requests that were executed more than once.
    pub executed_twice: u64,
    /// Packets and requests that reached an upstream of another service.
    pub misrouted: u64,
    /// Refused openings of flows that had got an answer.
    pub false_refusals: u64,
    /// Maximum ratio of an upstream's open flows to its limit at that time.
    pub peak_over_cap: f64,
    /// Time of the last packet to each upstream.
    pub last_packet: HashMap<Ipv4Addr, Timestamp>,
    /// Response times in microseconds.
    pub answer_us: Vec<u64>,
    executed: HashSet<u64>,
}

impl Stats {
    /// Records that an upstream executed a request.
    pub fn record_execution(&mut self, request: u64) {
        if !self.executed.insert(request) {
            self.executed_twice += 1;
        }
    }

    /// Number of broken flows.
    pub fn broken_total(&self) -> u64 {
        self.broken.values().sum()
    }

    /// The given quantile (0 to 1) of the response times, in microseconds.
    pub fn answer_quantile_us(&self, quantile: f64) -> u64 {
        let mut sorted = self.answer_us.clone();
        sorted.sort_unstable();
        let index = ((sorted.len() as f64 * quantile) as usize).min(sorted.len().saturating_sub(1));
        sorted.get(index).copied().unwrap_or_default()
    }
}
