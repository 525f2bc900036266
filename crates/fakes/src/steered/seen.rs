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
        Late,
    }
}

/// Counts of outcomes, and every promise that was broken.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// Requests that clients sent.
    pub requests: u32,
    /// Requests that were answered.
    pub served: u32,
    /// Requests that were answered within their aim.
    pub in_aim: u32,
    /// Calls to the store that read.
    pub store_calls: u32,
    /// Tries that an upstream turned away.
    pub turned_away: u32,
    /// Tries that an entry refused.
    pub refused: u32,
    /// Open flows that were reset by an upstream whose answer to the opening came too late: the
    /// client's packet brought its token, and no entry remembered the opening.
    pub hedge_resets: u32,
    /// Tries that failed, in order: when they were sent, and how they ended.
    pub failures: Vec<(Timestamp, FlowKey, Failure)>,
    /// Broken promises, in words.
    pub broken: Vec<String>,
    cold: IndexMap<UpstreamId, VecDeque<Timestamp>>,
}

impl Seen {
    /// Notes a broken promise.
    pub fn breaks(&mut self, now: Timestamp, what: impl Into<String>) {
        self.broken.push(format!("{} ms: {}", now.as_micros() / 1_000, what.into()));
    }

    /// Notes an opening at a cold upstream; at most `limit` may come in any second.
    pub fn opened_cold(&mut self, now: Timestamp, id: UpstreamId, limit: usize) {
        let openings = self.cold.entry(id).or_default();
        openings.push_back(now);
        while openings.pop_front_if(|at| now.since(*at) > Duration::from_secs(1)).is_some() {}
        let count = openings.len();
        if count > limit {
            self.breaks(now, format!("{count} openings in a second at cold {:x}", id.0));
        }
    }

    /// The part of the requests that was served.
    pub fn share_served(&self) -> f64 {
        f64::from(self.served) / f64::from(self.requests.max(1))
    }

    /// The part of the requests that was served within its aim.
    pub fn share_in_aim(&self) -> f64 {
        f64::from(self.in_aim) / f64::from(self.requests.max(1))
    }
}
