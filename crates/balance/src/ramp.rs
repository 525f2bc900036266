//! Limits that grow while an upstream warms up.

use std::time::Duration;

use stdx::time::Timestamp;

stdx::value! {
    /// What an upstream may carry, over all entries.
    pub struct Limits {
        /// Open flows once warm.
        pub flows: u32,
        /// Open flows directly after a cold start.
        pub cold_flows: u32,
        /// New flows a second directly after a cold start.
        pub cold_opens_per_s: u32,
        /// Time from a cold start until the warm limits hold.
        pub ramp: Duration,
    }
}

impl Limits {
    /// Open flows allowed at `now` to an upstream that has been cold since `cold_since`.
    pub fn flows_at(&self, now: Timestamp, cold_since: Option<Timestamp>) -> u32 {
        let Some(progress) = self.progress(now, cold_since) else {
            return self.flows;
        };
        let cold = f64::from(self.cold_flows.min(self.flows));
        let grown = cold + (f64::from(self.flows) - cold) * progress;
        grown as u32
    }

    /// New flows a second allowed at `now`; `None` when there is no such limit any more.
    pub fn opens_per_s_at(&self, now: Timestamp, cold_since: Option<Timestamp>) -> Option<f64> {
        let progress = self.progress(now, cold_since)?;
        Some(f64::from(self.cold_opens_per_s) / (1.0 - progress))
    }

    /// The part of the ramp that has passed; `None` once the upstream is warm.
    fn progress(&self, now: Timestamp, cold_since: Option<Timestamp>) -> Option<f64> {
        let age = now.since(cold_since?);
        if age >= self.ramp {
            return None;
        }
        Some(age.as_secs_f64() / self.ramp.as_secs_f64())
    }
}
