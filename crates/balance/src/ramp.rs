//! Slow start: limits that grow while an upstream warms up.

use std::time::Duration;

use stdx::time::Timestamp;

stdx::value! {
    /// Limits of an upstream, summed over all entries.
    pub struct Limits {
        /// Maximum open flows of a warm upstream.
        pub flows: u32,
        /// Maximum open flows directly after a cold start.
        pub cold_flows: u32,
        /// Maximum new flows per second directly after a cold start.
        pub cold_opens_per_s: u32,
        /// Time from a cold start until the warm limits apply.
        pub ramp: Duration,
    }
}

impl Limits {
    /// Maximum open flows at `now` of an upstream that started cold at `cold_since`.
    pub fn flows_at(&self, now: Timestamp, cold_since: Option<Timestamp>) -> u32 {
        let Some(progress) = self.progress(now, cold_since) else {
            return self.flows;
        };
        let cold = f64::from(self.cold_flows.min(self.flows));
        let limit = cold + (f64::from(self.flows) - cold) * progress;
        limit as u32
    }

    /// Maximum new flows per second at `now`; `None` once the upstream is warm and has no such
    /// limit.
    pub fn opens_per_s_at(&self, now: Timestamp, cold_since: Option<Timestamp>) -> Option<f64> {
        let progress = self.progress(now, cold_since)?;
        Some(f64::from(self.cold_opens_per_s) / (1.0 - progress))
    }

    /// Elapsed fraction of the ramp; `None` once the upstream is warm.
    fn progress(&self, now: Timestamp, cold_since: Option<Timestamp>) -> Option<f64> {
        let age = now.since(cold_since?);
        if age >= self.ramp {
            return None;
        }
        Some(age.as_secs_f64() / self.ramp.as_secs_f64())
    }
}
