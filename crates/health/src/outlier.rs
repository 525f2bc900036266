//! Outlier detection: ejects upstreams whose answers fail more often than those of the other
//! upstreams of their service.
//!
//! Entries count good and failed answers and exchange the counts of failing upstreams, so that a
//! failing upstream is ejected before every entry has lost flows to it. A burst or a slow link
//! affects all upstreams of a service alike, and then none is an outlier.

use std::hash::Hash;
use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;

/// Half-life of the answer counts. Covers several answers of a busy upstream and is short enough to
/// follow an upstream whose state changes.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Half-life of the counts that detect failures of all upstreams at once, for example when this
/// entry is slow. Little more than the timeout of an answer.
const SHORT_HALF_LIFE: Duration = Duration::from_millis(250);

/// Decayed count of failed answers from which an upstream may be ejected. A single failed answer
/// can be caused by a client that disconnected.
const MIN_FAILURES: f64 = 1.8;

/// Decayed count of failed answers below which an upstream counts as free of failures.
const NEGLIGIBLE_FAILURES: f64 = 0.5;

/// Lowest failure ratio of an outlier. Clients' retries are sufficient for lower ratios.
const MIN_FAILURE_RATIO: f64 = 0.15;

/// Factor by which an outlier's failure ratio exceeds that of the other upstreams of its service.
const MIN_FACTOR_OVER_OTHERS: f64 = 2.5;

/// At most one in this many upstreams of a service is ejected at a time.
const MAX_EJECTED_ONE_IN: usize = 3;

/// Duration of the first ejection; doubles with each further ejection.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(2);

/// Maximum number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 3;

/// Good answers after which a half-open upstream is healthy. An upstream that fails two answers in
/// five reaches this in one of 60 half-open periods.
const HALF_OPEN_SUCCESSES: f64 = 8.0;

/// Longest half-open period. A service with little traffic may never get enough answers.
const MAX_HALF_OPEN_TIME: Duration = Duration::from_secs(10);

/// Time since the last ejection after which the backoff starts again at [`BASE_EJECTION_TIME`].
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(30);

/// Upper limit of the good and of the failed answers in one update from a peer, so that a faulty
/// peer can't outweigh all others for long.
const MAX_ANSWERS_PER_UPDATE: u32 = 100;

/// Maximum number of upstreams in one message; fits a datagram.
const MAX_UPDATES_PER_MESSAGE: usize = 48;

stdx::value! {
    /// Result of an answer.
    pub enum Outcome {
        /// The answer arrived and had a usual size.
        Good,
        /// The answer timed out or was much shorter than usual.
        Failed,
    }

    /// State of an upstream in outlier detection.
    pub enum OutlierState {
        /// No outlier.
        Healthy,
        /// A limited number of flows tests whether the upstream has recovered.
        HalfOpen,
        /// Fails more often than the others; used only if no other upstream is left.
        Ejected,
    }

    /// Answers of an upstream since the last update to peers.
    #[derive(Default)]
    pub struct Tally<K> {
        /// The upstream.
        pub key: K,
        /// Good answers.
        pub good: u32,
        /// Failed answers.
        pub failed: u32,
    }
}

/// Outlier detection over all upstreams; `K` identifies an upstream and `G` its service.
#[derive(Debug, Clone)]
pub struct Outliers<K, G> {
    upstreams: IndexMap<K, UpstreamStats<G>>,
    services: IndexMap<G, ServiceStats>,
}

#[derive(Debug, Clone)]
struct UpstreamStats<G> {
    service: G,
    /// Whether new flows may be opened at it.
    eligible: bool,
    /// Answers observed by this entry and by peers.
    counts: DecayedCounts,
    /// Answers observed by this entry, with the long and the short half-life.
    local: DecayedCounts,
    local_short: DecayedCounts,
    /// Peer that last reported a failed answer.
    last_reporter: Option<u64>,
    /// Whether more than one peer has reported failed answers.
    multiple_reporters: bool,
    /// What this entry has observed since the last update to peers.
    pending: Pending,
    phase: Phase,
    ejections: u32,
    last_ejected: Timestamp,
}

/// Observations that have not been sent to peers yet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Pending {
    good: u32,
    failed: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Healthy,
    Ejected { until: Timestamp },
    HalfOpen { since: Timestamp, good: f64 },
}

/// Totals over the upstreams of one service. Counts only answers observed by this entry: peers
/// report failing upstreams only, which would raise the failure ratio of the service.
#[derive(Debug, Clone)]
struct ServiceStats {
    members: usize,
    ejected: usize,
    counts: DecayedCounts,
    short_counts: DecayedCounts,
}

/// Exponentially decayed counters.
#[derive(Debug, Clone, Copy)]
struct DecayedCounts {
    good: f64,
    failed: f64,
    updated_at: Timestamp,
    half_life: Duration,
}

impl<K, G> Default for Outliers<K, G> {
    fn default() -> Self {
        Self { upstreams: IndexMap::new(), services: IndexMap::new() }
    }
}

impl<K: Copy + Eq + Hash, G: Copy + Eq + Hash> Outliers<K, G> {
    /// Sets the upstreams with their services and whether new flows may be opened at them.
    /// Upstreams that stay in their service keep their state.
    pub fn set_members(&mut self, members: impl Iterator<Item = (K, G, bool)>) {
        let mut previous = std::mem::take(&mut self.upstreams);
        self.services.values_mut().for_each(|stats| (stats.members, stats.ejected) = (0, 0));
        for (key, service, eligible) in members {
            let upstream =
                previous.swap_remove(&key).filter(|upstream| upstream.service == service);
            let mut upstream = upstream.unwrap_or_else(|| UpstreamStats::new(service));
            upstream.eligible = eligible;
            let stats = self.services.entry(service).or_insert_with(ServiceStats::new);
            stats.members += usize::from(eligible);
            stats.ejected += usize::from(upstream.is_ejected());
            self.upstreams.insert(key, upstream);
        }
    }

    /// Resets an upstream to healthy, after it restarted or was unreachable.
    pub fn reset(&mut self, key: K) {
        let Some(upstream) = self.upstreams.get_mut(&key) else {
            return;
        };
        if upstream.is_ejected()
            && let Some(stats) = self.services.get_mut(&upstream.service)
        {
            stats.ejected = stats.ejected.saturating_sub(1);
        }
        *upstream =
            UpstreamStats { eligible: upstream.eligible, ..UpstreamStats::new(upstream.service) };
    }

    /// Records an answer observed by this entry. Returns the upstream's new state if it changed.
    pub fn record(&mut self, now: Timestamp, key: K, outcome: Outcome) -> Option<OutlierState> {
        let upstream = self.upstreams.get_mut(&key)?;
        let (good, failed) = match outcome {
            Outcome::Good => (1, 0),
            Outcome::Failed => (0, 1),
        };
        upstream.pending.good += good;
        upstream.pending.failed += failed;
        upstream.local.add(now, good, failed);
        upstream.local_short.add(now, good, failed);
        if let Some(stats) = self.services.get_mut(&upstream.service) {
            stats.counts.add(now, good, failed);
            stats.short_counts.add(now, good, failed);
        }
        self.record_counts(now, key, good, failed)
    }

    /// Adds the counts reported by the entry `from`. Returns the upstream's new state if it
    /// changed.
    pub fn merge(&mut self, now: Timestamp, from: u64, tally: &Tally<K>) -> Option<OutlierState> {
        let upstream = self.upstreams.get_mut(&tally.key)?;
        if tally.failed > 0 {
            if upstream.counts.decayed(now).failed < NEGLIGIBLE_FAILURES {
                (upstream.last_reporter, upstream.multiple_reporters) = (None, false);
            }
            upstream.multiple_reporters |= upstream.last_reporter.is_some_and(|last| last != from);
            upstream.last_reporter = Some(from);
        }
        self.record_counts(
            now,
            tally.key,
            tally.good.min(MAX_ANSWERS_PER_UPDATE),
            tally.failed.min(MAX_ANSWERS_PER_UPDATE),
        )
    }

    /// Returns the counts since the last call for failing upstreams, to be sent to peers. Leaves
    /// out upstreams of services whose other upstreams fail as well: the cause is then likely this
    /// entry.
    pub fn take_updates(&mut self, now: Timestamp) -> Vec<Tally<K>> {
        let mut updates = Vec::new();
        for (key, upstream) in &mut self.upstreams {
            if upstream.pending == Pending::default() || updates.len() >= MAX_UPDATES_PER_MESSAGE {
                continue;
            }
            let pending = std::mem::take(&mut upstream.pending);
            let Pending { good, failed } = pending;
            let suspect = upstream.phase != Phase::Healthy
                || upstream.counts.decayed(now).failed >= NEGLIGIBLE_FAILURES;
            let stats = self.services.get(&upstream.service);
            let others = stats.map_or(0.0, |stats| stats.others_failure_ratio(now, upstream));
            let outlier_possible = MIN_FACTOR_OVER_OTHERS * others <= 1.0;
            if suspect && outlier_possible {
                updates.push(Tally { key: *key, good, failed });
            }
        }
        updates
    }

    /// Current state of an upstream.
    pub fn state(&mut self, now: Timestamp, key: K) -> OutlierState {
        let Some(upstream) = self.upstreams.get_mut(&key) else {
            return OutlierState::Healthy;
        };
        match upstream.phase {
            Phase::Healthy => OutlierState::Healthy,
            Phase::Ejected { until } if now < until => OutlierState::Ejected,
            Phase::Ejected { .. } => {
                upstream.phase = Phase::HalfOpen { since: now, good: 0.0 };
                upstream.counts = DecayedCounts::default();
                OutlierState::HalfOpen
            }
            Phase::HalfOpen { since, .. } if now.since(since) < MAX_HALF_OPEN_TIME => {
                OutlierState::HalfOpen
            }
            Phase::HalfOpen { .. } => {
                self.mark_healthy(key);
                OutlierState::Healthy
            }
        }
    }

    fn record_counts(
        &mut self,
        now: Timestamp,
        key: K,
        good: u32,
        failed: u32,
    ) -> Option<OutlierState> {
        let before = self.state(now, key);
        let upstream = self.upstreams.get_mut(&key)?;
        upstream.counts.add(now, good, failed);
        match &mut upstream.phase {
            Phase::Ejected { .. } => {}
            Phase::HalfOpen { good: successes, .. } => {
                *successes += f64::from(good);
                let passed = *successes >= HALF_OPEN_SUCCESSES;
                if failed > 0 {
                    self.eject(now, key);
                } else if passed {
                    self.mark_healthy(key);
                }
            }
            Phase::Healthy => {
                if failed > 0 && self.is_outlier(now, key) {
                    self.eject(now, key);
                }
            }
        }
        let after = self.state(now, key);
        (after != before).then_some(after)
    }

    fn is_outlier(&self, now: Timestamp, key: K) -> bool {
        let Some(upstream) = self.upstreams.get(&key) else {
            return false;
        };
        let Some(stats) = self.services.get(&upstream.service) else {
            return false;
        };
        let counts = upstream.counts.decayed(now);
        let local = upstream.local.decayed(now);
        let threshold = MIN_FAILURE_RATIO
            .max(MIN_FACTOR_OVER_OTHERS * stats.others_failure_ratio(now, upstream));
        let below_limit = (stats.ejected + 1) * MAX_EJECTED_ONE_IN <= stats.members;
        // A report from a single peer may be caused by that peer's path to the upstream.
        let confirmed = local.failed >= MIN_FAILURES || upstream.multiple_reporters;
        confirmed
            && counts.failed >= MIN_FAILURES
            && counts.failure_ratio() >= threshold
            && below_limit
    }

    fn eject(&mut self, now: Timestamp, key: K) {
        let Some(upstream) = self.upstreams.get_mut(&key) else {
            return;
        };
        if upstream.phase == Phase::Healthy
            && upstream.eligible
            && let Some(stats) = self.services.get_mut(&upstream.service)
        {
            stats.ejected += 1;
        }
        if now.since(upstream.last_ejected) > BACKOFF_RESET_AFTER {
            upstream.ejections = 0;
        }
        let duration =
            BASE_EJECTION_TIME * 2_u32.pow(upstream.ejections.min(MAX_EJECTION_DOUBLINGS));
        upstream.phase = Phase::Ejected { until: now + duration };
        upstream.ejections += 1;
        upstream.last_ejected = now;
    }

    fn mark_healthy(&mut self, key: K) {
        let Some(upstream) = self.upstreams.get_mut(&key) else {
            return;
        };
        let was_ejected = upstream.is_ejected();
        upstream.phase = Phase::Healthy;
        upstream.counts = DecayedCounts::default();
        if was_ejected && let Some(stats) = self.services.get_mut(&upstream.service) {
            stats.ejected = stats.ejected.saturating_sub(1);
        }
    }
}

impl<G> UpstreamStats<G> {
    fn new(service: G) -> Self {
        Self {
            service,
            eligible: true,
            counts: DecayedCounts::default(),
            local: DecayedCounts::default(),
            local_short: DecayedCounts::short(),
            last_reporter: None,
            multiple_reporters: false,
            pending: Pending::default(),
            phase: Phase::Healthy,
            ejections: 0,
            last_ejected: Timestamp::default(),
        }
    }

    /// Whether it counts against the limit of ejected upstreams of its service.
    fn is_ejected(&self) -> bool {
        self.eligible && self.phase != Phase::Healthy
    }
}

impl ServiceStats {
    fn new() -> Self {
        Self {
            members: 0,
            ejected: 0,
            counts: DecayedCounts::default(),
            short_counts: DecayedCounts::short(),
        }
    }

    /// Failure ratio of the other upstreams of the service, over the long or the short half-life,
    /// whichever is higher.
    fn others_failure_ratio<G>(&self, now: Timestamp, upstream: &UpstreamStats<G>) -> f64 {
        let long_term = self.counts.decayed(now).minus(upstream.local.decayed(now)).failure_ratio();
        let short_term =
            self.short_counts.decayed(now).minus(upstream.local_short.decayed(now)).failure_ratio();
        long_term.max(short_term)
    }
}

impl Default for DecayedCounts {
    fn default() -> Self {
        Self { good: 0.0, failed: 0.0, updated_at: Timestamp::default(), half_life: HALF_LIFE }
    }
}

impl DecayedCounts {
    /// Counters with the short half-life.
    fn short() -> Self {
        Self { half_life: SHORT_HALF_LIFE, ..Self::default() }
    }

    fn add(&mut self, now: Timestamp, good: u32, failed: u32) {
        *self = self.decayed(now);
        self.good += f64::from(good);
        self.failed += f64::from(failed);
    }

    /// The counts, decayed up to `now`.
    fn decayed(&self, now: Timestamp) -> Self {
        let halvings = now.since(self.updated_at).as_secs_f64() / self.half_life.as_secs_f64();
        let factor = (-halvings).exp2();
        Self {
            good: self.good * factor,
            failed: self.failed * factor,
            updated_at: now.max(self.updated_at),
            ..*self
        }
    }

    /// The counts less `other`, at least zero.
    fn minus(self, other: Self) -> Self {
        Self {
            good: (self.good - other.good).max(0.0),
            failed: (self.failed - other.failed).max(0.0),
            ..self
        }
    }

    fn failure_ratio(&self) -> f64 {
        let total = self.good + self.failed;
        if total > 0.0 { self.failed / total } else { 0.0 }
    }
}
