//! The upstreams of one service and the selection among them.

use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;

use crate::ramp::Limits;
use crate::share::Share;
use crate::token_bucket::TokenBucket;

/// Consecutive failed openings after which an upstream is avoided.
const FAILURES_TO_AVOID: u32 = 2;

/// First time for which an upstream is avoided; doubles with each further failure.
const BASE_AVOID_TIME: Duration = Duration::from_secs(1);

/// Maximum number of doublings of that time.
const MAX_AVOID_DOUBLINGS: u32 = 4;

/// Burst of openings to a cold upstream, in seconds of its opening rate.
const COLD_BURST_S: f64 = 0.25;

stdx::record! {
    /// Configuration of an upstream.
    pub struct Spec {
        /// Address of the upstream.
        pub upstream: Ipv4Addr,
        /// Relative weight in the distribution of flows; at least one.
        pub weight: u32,
        /// Whether the upstream takes new flows.
        pub eligible: bool,
        /// Limits of the upstream, summed over all entries.
        pub limits: Limits,
    }
}

stdx::value! {
    /// Reason why no upstream was selected.
    pub enum Refusal {
        /// The service has no upstream that takes new flows.
        NoneEligible,
        /// Every eligible upstream is at its limit.
        AllAtLimit,
    }
}

/// The upstreams of one service.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    upstreams: IndexMap<Ipv4Addr, UpstreamState>,
    /// Number of flows opened and closed.
    changes: u64,
}

#[derive(Debug, Clone)]
struct UpstreamState {
    spec: Spec,
    open_flows: u32,
    /// Value of `Pool::changes` when a flow was last opened or closed at this upstream.
    last_change: u64,
    cold_since: Option<Timestamp>,
    cold_opens: TokenBucket,
    /// Failed openings since the last accepted one.
    consecutive_failures: u32,
    avoid_until: Timestamp,
}

impl Pool {
    /// Applies a new configuration. Upstreams that become eligible start cold.
    pub fn apply(&mut self, now: Timestamp, specs: &[Spec]) {
        self.upstreams.retain(|ip, _| specs.iter().any(|spec| spec.upstream == *ip));
        for spec in specs {
            let Some(state) = self.upstreams.get_mut(&spec.upstream) else {
                self.upstreams.insert(spec.upstream, UpstreamState::cold(now, spec.clone()));
                continue;
            };
            let becomes_eligible = spec.eligible && !state.spec.eligible;
            state.spec = spec.clone();
            if becomes_eligible {
                state.start_cold(now);
            }
        }
    }

    /// Selects the upstream for a new flow and counts the flow there.
    ///
    /// Selects the upstream with the fewest flows of this entry per weight, and avoided upstreams
    /// last. Ties go to the upstream at which no flow was opened or closed for the longest time.
    /// This spreads flows evenly over idle upstreams, and one that is slow to close its flows is
    /// selected later.
    ///
    /// # Errors
    ///
    /// Returns the reason why no upstream can take the flow.
    pub fn open(
        &mut self,
        now: Timestamp,
        share: Share,
        exclude: &[Ipv4Addr],
    ) -> Result<Ipv4Addr, Refusal> {
        if !self.upstreams.values().any(|state| state.spec.eligible) {
            return Err(Refusal::NoneEligible);
        }
        let best = self
            .upstreams
            .iter_mut()
            .filter_map(|(ip, state)| {
                let available = !exclude.contains(ip) && state.has_room(now, share);
                available.then(|| (state.avoid_until > now, state.cost(), state.last_change, *ip))
            })
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        let Some((.., ip)) = best else {
            return Err(Refusal::AllAtLimit);
        };
        self.changes += 1;
        let state = &mut self.upstreams[&ip];
        state.open_flows += 1;
        state.last_change = self.changes;
        state.spend_cold_open(now, share);
        Ok(ip)
    }

    /// Counts a flow that was opened by another entry and is now handled by this one.
    pub fn adopt(&mut self, upstream: Ipv4Addr) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.open_flows += 1;
        }
    }

    /// Counts a closed flow.
    pub fn close(&mut self, upstream: Ipv4Addr) {
        self.changes += 1;
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.open_flows = state.open_flows.saturating_sub(1);
            state.last_change = self.changes;
        }
    }

    /// Number of this entry's open flows at an upstream.
    pub fn open_flows(&self, upstream: Ipv4Addr) -> u32 {
        self.upstreams.get(&upstream).map_or(0, |state| state.open_flows)
    }

    /// Number of this entry's open flows by upstream.
    pub fn counts(&self) -> impl Iterator<Item = (Ipv4Addr, u32)> + '_ {
        self.upstreams.iter().map(|(ip, state)| (*ip, state.open_flows))
    }

    /// Records that an upstream accepted an opening.
    pub fn record_success(&mut self, upstream: Ipv4Addr) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.consecutive_failures = 0;
            state.avoid_until = Timestamp::default();
        }
    }

    /// Records that an upstream refused an opening or did not answer it. After repeated failures
    /// the upstream is avoided for some time, that is selected only if no other has room, and
    /// starts cold.
    pub fn record_failure(&mut self, now: Timestamp, upstream: Ipv4Addr) {
        let Some(state) = self.upstreams.get_mut(&upstream) else {
            return;
        };
        state.consecutive_failures = state.consecutive_failures.saturating_add(1);
        let Some(further) = state.consecutive_failures.checked_sub(FAILURES_TO_AVOID) else {
            return;
        };
        state.avoid_until = now + BASE_AVOID_TIME * 2_u32.pow(further.min(MAX_AVOID_DOUBLINGS));
        state.start_cold(now);
    }

    /// Restarts an upstream's ramp, because the upstream restarted or collapsed.
    pub fn mark_cold(&mut self, now: Timestamp, upstream: Ipv4Addr) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.start_cold(now);
        }
    }

    /// Takes over a peer's start of an upstream's ramp if it is earlier than the local one.
    pub fn learn_cold_since(&mut self, upstream: Ipv4Addr, cold_since: Timestamp) {
        let Some(state) = self.upstreams.get_mut(&upstream) else {
            return;
        };
        if state.cold_since.is_some_and(|local| cold_since < local) {
            state.cold_since = Some(cold_since);
        }
    }

    /// Eligible upstreams with the start of their last ramp, to be sent to peers.
    pub fn cold_starts(&self) -> impl Iterator<Item = (Ipv4Addr, Timestamp)> + '_ {
        self.upstreams
            .iter()
            .filter(|(_, state)| state.spec.eligible)
            .filter_map(|(ip, state)| Some((*ip, state.cold_since?)))
    }
}

impl UpstreamState {
    fn cold(now: Timestamp, spec: Spec) -> Self {
        let cold_opens = TokenBucket::new(now, 0.0, 0.0);
        let mut state = Self {
            spec,
            open_flows: 0,
            last_change: 0,
            cold_since: None,
            cold_opens,
            consecutive_failures: 0,
            avoid_until: now,
        };
        state.start_cold(now);
        state
    }

    fn start_cold(&mut self, now: Timestamp) {
        self.cold_since = Some(now);
        self.cold_opens = TokenBucket::new(now, 1.0, 0.0);
    }

    fn has_room(&mut self, now: Timestamp, share: Share) -> bool {
        if !self.spec.eligible {
            return false;
        }
        let limit = share.of(self.spec.limits.flows_at(now, self.cold_since));
        if self.open_flows >= limit {
            return false;
        }
        self.cold_rate(now, share).is_none_or(|rate| {
            self.cold_opens.set_rate(now, (rate * COLD_BURST_S).max(1.0), rate);
            self.cold_opens.has_tokens(now, 1.0)
        })
    }

    fn spend_cold_open(&mut self, now: Timestamp, share: Share) {
        if self.cold_rate(now, share).is_some() {
            self.cold_opens.take(now, 1.0);
        }
    }

    /// This entry's share of the cold opening rate, in openings per second.
    fn cold_rate(&self, now: Timestamp, share: Share) -> Option<f64> {
        let rate = self.spec.limits.opens_per_s_at(now, self.cold_since)?;
        Some(rate / f64::from(share.entries.max(1)))
    }

    fn cost(&self) -> f64 {
        f64::from(self.open_flows + 1) / f64::from(self.spec.weight.max(1))
    }
}
