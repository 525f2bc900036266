//! The view of load that entries share: what this entry observes, and the news of others.

use std::time::Duration;

use load::{Entry, Estimate, News, Observation, Report, Status, Traffic};
use stdx::time::Timestamp;

use super::Engine;
use crate::table::UpstreamId;

/// Interval at which the requests in flight are observed, so that packets cost nothing more.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

impl Engine {
    /// Sets the entries that exchange news of load; `own` is this one. Until the first call nothing
    /// is exchanged.
    pub fn set_load_entries(&mut self, now: Timestamp, own: u64, entries: &[Entry]) {
        self.load.set_entries(now, own, entries);
    }

    /// News of load that are due, for other entries. To be called at least every 50 ms, and after
    /// [`Self::on_load_news`].
    pub fn take_load_news(&mut self, now: Timestamp) -> Vec<News> {
        self.selector.read_view(now, &self.table, &self.load);
        if !self.load.is_exchanging() {
            return Vec::new();
        }
        if now.since(self.last_load_sample) >= SAMPLE_INTERVAL {
            self.last_load_sample = now;
            for (id, in_flight) in self.selector.in_flight() {
                self.load.observe(now, id, Observation { in_flight, slowness_milli: None });
            }
        }
        self.load.take_news(now)
    }

    /// Merges the news of load of the entry `from`.
    pub fn on_load_news(&mut self, now: Timestamp, from: u64, report: &Report) {
        self.load.on_news(now, from, report);
    }

    /// The load of an upstream over all entries; `None` if it is not known well enough to decide
    /// by.
    pub fn load_estimate(&self, now: Timestamp, id: UpstreamId) -> Option<Estimate> {
        self.load.estimate(now, id)
    }

    /// How well the load over all entries is known; `None` if not well enough to decide by.
    pub fn load_status(&self, now: Timestamp) -> Option<Status> {
        self.load.status(now)
    }

    /// Whether any entry is known to have load.
    pub fn has_fleet_load(&self, now: Timestamp) -> bool {
        self.load.is_exchanging() && self.load.is_active(now)
    }

    /// News of load sent and received since the start.
    pub fn load_traffic(&self) -> Traffic {
        self.load.traffic()
    }

    pub(super) fn observe_slowness(
        &mut self,
        now: Timestamp,
        upstream: UpstreamId,
        slowness_milli: u32,
    ) {
        if self.load.is_exchanging() {
            self.load.observe_answer(now, upstream, slowness_milli);
        }
    }
}
