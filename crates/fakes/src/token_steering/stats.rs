//! What clients and upstreams saw.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;
use steer::{FlowKey, UpstreamId};

stdx::value! {
    /// How a client's try ended without an answer.
    pub enum Failure {
        /// Refused before it was open.
        Refused,
        /// Nobody answered its opening.
        Unanswered,
        /// Open, then reset by an entry.
        Reset,
        /// Open, and not answered until the deadline.
        DeadlineExceeded,
    }
}

/// Counts of outcomes, and every promise that was violations.
#[derive(Debug, Clone, Default)]
pub struct Stats {
    /// Requests that clients sent.
    pub requests: u32,
    /// Requests that were answered.
    pub served: u32,
    /// Requests that were answered within their aim.
    pub within_target: u32,
    /// Calls to the store that read.
    pub store_calls: u32,
    /// Tries that an upstream turned away.
    pub shed: u32,
    /// Tries that an entry refused.
    pub refused: u32,
    /// Open flows that were reset by an upstream whose answer to the opening came too late: the
    /// client's packet brought its token, and no entry remembered the opening.
    pub hedge_resets: u32,
    /// Tries that failed, in order: when they were sent, and how they ended.
    pub failures: Vec<(Timestamp, FlowKey, Failure)>,
    /// Broken promises, in words.
    pub violations: Vec<String>,
    cold: IndexMap<UpstreamId, VecDeque<Timestamp>>,
}

impl Stats {
    /// Notes a violations promise.
    pub fn record_violation(&mut self, now: Timestamp, what: impl Into<String>) {
        self.violations.push(format!("{} ms: {}", now.as_micros() / 1_000, what.into()));
    }

    /// Notes an opening at a cold upstream; at most `limit` may come in any second.
    pub fn record_cold_opening(&mut self, now: Timestamp, id: UpstreamId, limit: usize) {
        let openings = self.cold.entry(id).or_default();
        openings.push_back(now);
        while openings.pop_front_if(|at| now.since(*at) > Duration::from_secs(1)).is_some() {}
        let count = openings.len();
        if count > limit {
            self.record_violation(now, format!("{count} openings in a second at cold {:x}", id.0));
        }
    }

    /// The part of the requests that was served.
    pub fn share_served(&self) -> f64 {
        f64::from(self.served) / f64::from(self.requests.max(1))
    }

    /// The part of the requests that was served within its aim.
    pub fn share_within_target(&self) -> f64 {
        f64::from(self.within_target) / f64::from(self.requests.max(1))
    }
}
