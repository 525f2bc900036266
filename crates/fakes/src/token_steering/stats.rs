//! Outcomes that clients and upstreams observed.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;
use steer::{FlowKey, UpstreamId};

stdx::value! {
    /// How a client's attempt failed.
    pub enum Failure {
        /// Reset by an entry before the flow was open.
        Refused,
        /// The opening timed out.
        Unanswered,
        /// Reset by an entry after the flow was open.
        Reset,
        /// The request got no response within its deadline.
        DeadlineExceeded,
    }
}

stdx::value! {
    /// Outcomes of a class of requests.
    #[derive(Default)]
    pub struct ClassStats {
        /// Requests that clients sent.
        pub requests: u32,
        /// Requests that were answered within the latency target.
        pub within_target: u32,
        /// Attempts that an entry reset before the flow was open.
        pub refused: u32,
    }
}

/// Counts of outcomes, and violations of the guarantees to clients.
#[derive(Debug, Clone, Default)]
pub struct Stats {
    /// Requests that clients sent.
    pub requests: u32,
    /// Requests that were answered.
    pub served: u32,
    /// Requests that were answered within the latency target.
    pub within_target: u32,
    /// Read calls to the store.
    pub store_calls: u32,
    /// Attempts of clients, the first one of each request included.
    pub attempts: u32,
    /// Attempts whose request an upstream shed.
    pub shed: u32,
    /// Outcomes by class of requests.
    pub classes: Vec<ClassStats>,
    /// Time that each upstream has spent on requests.
    pub busy: IndexMap<UpstreamId, Duration>,
    /// Open flows that an entry reset while their client waited for an answer.
    pub resets: u32,
    /// Attempts that an entry reset before the flow was open.
    pub refused: u32,
    /// Open flows that were reset by another upstream that had got the opening: the client's packet
    /// carried its token, or an entry took it for the one that the client had acknowledged.
    pub hedge_resets: u32,
    /// Those of them whose upstream had got the client's acknowledgement, so that they were open there.
    pub acked_hedge_resets: u32,
    /// Failed attempts in order: the time at which they were sent, and how they failed.
    pub failures: Vec<(Timestamp, FlowKey, Failure)>,
    /// Descriptions of violated guarantees.
    pub violations: Vec<String>,
    cold_openings: IndexMap<UpstreamId, VecDeque<Timestamp>>,
}

impl Stats {
    /// No outcomes yet, for a number of classes of requests.
    pub fn new(classes: usize) -> Self {
        Self { classes: vec![ClassStats::default(); classes], ..Self::default() }
    }

    /// Records a violated guarantee.
    pub fn record_violation(&mut self, now: Timestamp, description: impl Into<String>) {
        self.violations.push(format!("{} ms: {}", now.as_micros() / 1_000, description.into()));
    }

    /// Records an opening at a cold upstream, which may get at most `limit` in any second.
    pub fn record_cold_opening(&mut self, now: Timestamp, id: UpstreamId, limit: usize) {
        let openings = self.cold_openings.entry(id).or_default();
        openings.push_back(now);
        while openings.pop_front_if(|at| now.since(*at) > Duration::from_secs(1)).is_some() {}
        let count = openings.len();
        if count > limit {
            self.record_violation(
                now,
                format!("{count} openings within 1 s at cold upstream {:x}", id.0),
            );
        }
    }

    /// Use of the busiest upstream relative to the mean of all that have run requests.
    pub fn imbalance(&self) -> f64 {
        let total: f64 = self.busy.values().map(Duration::as_secs_f64).sum();
        let max = self.busy.values().max().map_or(0.0, Duration::as_secs_f64);
        max * self.busy.len() as f64 / total.max(f64::MIN_POSITIVE)
    }

    /// Fraction of the requests that were served.
    pub fn share_served(&self) -> f64 {
        f64::from(self.served) / f64::from(self.requests.max(1))
    }

    /// Fraction of the requests that were served within the latency target.
    pub fn share_within_target(&self) -> f64 {
        f64::from(self.within_target) / f64::from(self.requests.max(1))
    }
}

impl ClassStats {
    /// Fraction of the requests that were served within the latency target.
    pub fn share_within_target(&self) -> f64 {
        f64::from(self.within_target) / f64::from(self.requests.max(1))
    }
}
