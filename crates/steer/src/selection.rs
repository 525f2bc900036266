//! Which upstream a new flow goes to, from what this entry has seen of each.
//!
//! Counts, failures and the reachability of zones come from openings alone: they cost nothing and
//! can't be out of date by more than the time between two openings.

use std::collections::VecDeque;
use std::time::Duration;

use health::{Outcome, OutlierState, Outliers, Tally};
use indexmap::IndexMap;
use stdx::time::Timestamp;

use crate::openings::Opening;
use crate::table::{Service, ServiceId, Table, Upstream, UpstreamId, ZoneId};

/// Openings in a row without an answer after which an upstream is avoided: one can be a lost
/// packet.
const STRIKES_TO_AVOID: u32 = 2;

/// Openings in a row without an answer from a zone after which the zone is avoided; they have to
/// be of two upstreams or more.
const ZONE_STRIKES_TO_AVOID: u32 = 3;

/// Time that an upstream is avoided at first; it doubles with each further failure.
const AVOID_FIRST: Duration = Duration::from_secs(1);

/// Time that a zone is avoided at first; it doubles with each further failure.
const ZONE_AVOID_FIRST: Duration = Duration::from_millis(500);

/// Doublings of both times at most.
const AVOID_DOUBLINGS: u32 = 3;

/// Part of the cold limit that is used, in percent; the rest covers packets that bunch up on their
/// way, and an entry that others do not know yet.
const COLD_PERCENT: u32 = 80;

/// Time over which new flows at a cold upstream, or one on trial, are counted: the limit holds for any
/// second, and packets that were sent further apart may arrive closer together.
const LIMIT_WINDOW: Duration = Duration::from_millis(1_100);

/// New flows a second that all entries together give an upstream on trial.
const TRIAL_OPENS: u32 = 2;

/// Weight of a new answer in how slow an upstream is: three answers tell.
const SLOWNESS_GAIN: f64 = 0.3;

/// Times slower than usual from which on an upstream gets less: cold starts and chance stay below.
const SLOW_FROM: f64 = 2.0;

/// Times slower that count at most.
const SLOW_MOST: f64 = 8.0;

/// Time after which half of what is known of an upstream's slowness is forgotten, in logarithms, so
/// that it is tried again.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(2);

/// Places of upstreams that were never picked.
const ORDERS: u64 = 1 << 20;

/// What one entry knows of all upstreams from its own openings.
#[derive(Debug, Clone)]
pub struct UpstreamSelector {
    own_zone: Option<ZoneId>,
    /// Time after its return during which an upstream may be cold without its record saying so.
    possibly_cold_period: Duration,
    seed: u64,
    upstreams: IndexMap<UpstreamId, State>,
    zones: IndexMap<ZoneId, ZoneState>,
    outliers: Outliers<UpstreamId, ServiceId>,
    picks: u64,
}

#[derive(Debug, Clone)]
struct State {
    started_ms: Option<u64>,
    open: u32,
    last_pick: u64,
    strikes: u32,
    avoid_until: Timestamp,
    /// Until when the upstream, just returned, counts as cold.
    unproven_until: Timestamp,
    /// How many times slower than usual its answers began, as a logarithm, and when that was seen.
    slowness_ln: f64,
    slowness_at: Timestamp,
    /// When this entry opened flows here while the upstream was cold or on trial.
    limited_opens: VecDeque<Timestamp>,
}

#[derive(Debug, Clone, Default)]
struct ZoneState {
    strikes: u32,
    last_struck: Option<UpstreamId>,
    several: bool,
    avoid_until: Timestamp,
    doublings: u32,
    /// Since when nothing in the zone has answered, while it is avoided.
    silent_since: Option<Timestamp>,
}

stdx::value! {
    /// Why no upstream was chosen.
    pub enum SelectError {
        /// The service has no upstream that takes new flows.
        NoneEligible,
        /// Every eligible upstream is cold and at its limit.
        AllAtLimit,
    }

    /// What an unanswered opening changed.
    pub enum FailureEffect {
        /// Nothing yet.
        Counted,
        /// The upstream is avoided from now on.
        UpstreamAvoided,
        /// Its whole zone is avoided from now on.
        ZoneAvoided,
    }

    /// How well an upstream fits, best first.
    enum Tier {
        Fit,
        Cold,
        Unproven,
        Avoided,
    }

    /// The order among upstreams, best first: the fields are compared one after the other.
    struct Rank {
        tier: Tier,
        /// Upstreams of its zone that were tried for this flow.
        tried_there: usize,
        /// What one more flow would wait for, in usual answers.
        wait: u32,
        remote: bool,
        last_pick: u64,
        id: UpstreamId,
    }
}

impl UpstreamSelector {
    /// Knows nothing yet.
    pub fn new(possibly_cold_period: Duration, seed: u64) -> Self {
        Self {
            own_zone: None,
            possibly_cold_period,
            seed,
            upstreams: IndexMap::new(),
            zones: IndexMap::new(),
            outliers: Outliers::new(),
            picks: ORDERS,
        }
    }

    /// Takes over a new table. An upstream that started anew is a new one.
    pub fn apply(&mut self, table: &Table, own_zone: Option<ZoneId>) {
        self.own_zone = own_zone;
        self.upstreams.retain(|id, _| table.upstreams.contains_key(id));
        for (id, upstream) in &table.upstreams {
            let fresh = || State::new(upstream, order(self.seed, *id));
            let state = self.upstreams.entry(*id).or_insert_with(fresh);
            if upstream.started_ms.is_some() && state.started_ms != upstream.started_ms {
                *state = fresh();
                self.outliers.reset(*id);
            }
        }
        let accepts_new = table.upstreams.values().filter(|upstream| upstream.accepts_new);
        self.outliers.set_members(accepts_new.map(|upstream| (upstream.id, upstream.service)));
    }

    /// Chooses an upstream that `opening` was not sent to yet, and counts the flow there.
    ///
    /// Warm upstreams that answer come first. A further try goes to another zone, because the silent
    /// one may be cut off. Then the one with the fewest own flows wins, those of a slow one weighing
    /// more, then one of the own zone,
    /// then the one left alone the longest.
    ///
    /// # Errors
    ///
    /// Returns why no upstream may take the flow.
    pub fn pick(
        &mut self,
        now: Timestamp,
        table: &Table,
        opening: &Opening,
        usable: impl Fn(UpstreamId) -> bool,
    ) -> Result<UpstreamId, SelectError> {
        let mut eligible = false;
        let mut best: Option<Rank> = None;
        let service = opening.service;
        let limits = table.services.get(usize::from(service.0));
        for (id, upstream) in &table.upstreams {
            if upstream.service != service || !upstream.accepts_new || !usable(*id) {
                continue;
            }
            eligible = true;
            if opening.tries().any(|tried| tried.upstream == *id) {
                continue;
            }
            let Some(tier) = self.tier(now, table, upstream, limits) else {
                continue;
            };
            let state = &self.upstreams[id];
            let remote = self.own_zone != Some(upstream.zone);
            let tried_there = opening.tries().filter(|t| t.zone == upstream.zone).count();
            let rank = Rank {
                tier,
                tried_there,
                wait: (state.open + 1) * state.times_slower(now),
                remote,
                last_pick: state.last_pick,
                id: *id,
            };
            best = Some(best.map_or(rank, |least| least.min(rank)));
        }
        let Some(Rank { id, .. }) = best else {
            return Err(if eligible { SelectError::AllAtLimit } else { SelectError::NoneEligible });
        };
        self.picks += 1;
        let state = &mut self.upstreams[&id];
        state.last_pick = self.picks;
        state.open += 1;
        let is_cold = table.upstreams.get(&id).is_some_and(|upstream| upstream.cold_until > now);
        if is_cold || self.outliers.state(now, id) == OutlierState::HalfOpen {
            state.limited_opens.push_back(now);
        }
        Ok(id)
    }

    /// Counts the end of a flow, or of a try.
    pub fn close(&mut self, id: UpstreamId) {
        if let Some(state) = self.upstreams.get_mut(&id) {
            state.open = state.open.saturating_sub(1);
        }
    }

    /// Notes that an upstream accepted an opening. Returns whether it had been avoided.
    pub fn succeeded(&mut self, now: Timestamp, table: &Table, id: UpstreamId) -> bool {
        let possibly_cold_period = self.possibly_cold_period;
        let Some((state, upstream)) = self.upstreams.get_mut(&id).zip(table.upstreams.get(&id))
        else {
            return false;
        };
        let returns = state.strikes >= STRIKES_TO_AVOID;
        state.strikes = 0;
        state.avoid_until = Timestamp::default();
        if returns {
            state.unproven_until = now + possibly_cold_period;
        }
        let zone_returned =
            self.zones.swap_remove(&upstream.zone).is_some_and(|zone| zone.silent_since.is_some());
        if zone_returned {
            self.forgive(now, table, upstream.zone);
        }
        returns
    }

    /// Notes that an opening was not answered in time.
    pub fn struck(&mut self, now: Timestamp, table: &Table, id: UpstreamId) -> FailureEffect {
        let Some((state, upstream)) = self.upstreams.get_mut(&id).zip(table.upstreams.get(&id))
        else {
            return FailureEffect::Counted;
        };
        state.strikes = state.strikes.saturating_add(1);
        let avoided = if let Some(further) = state.strikes.checked_sub(STRIKES_TO_AVOID) {
            state.avoid_until = now + AVOID_FIRST * 2_u32.pow(further.min(AVOID_DOUBLINGS));
            true
        } else {
            false
        };
        let zone = self.zones.entry(upstream.zone).or_default();
        zone.strikes += 1;
        zone.several |= zone.last_struck.is_some_and(|last| last != id);
        zone.last_struck = Some(id);
        if zone.strikes >= ZONE_STRIKES_TO_AVOID && zone.several && zone.avoid_until <= now {
            zone.avoid_until = now + ZONE_AVOID_FIRST * 2_u32.pow(zone.doublings);
            zone.doublings = (zone.doublings + 1).min(AVOID_DOUBLINGS);
            zone.silent_since.get_or_insert(now);
            return FailureEffect::ZoneAvoided;
        }
        if avoided { FailureEffect::UpstreamAvoided } else { FailureEffect::Counted }
    }

    /// Notes how long the first byte of an answer took, in thousandths of what is usual.
    pub fn began(&mut self, now: Timestamp, id: UpstreamId, slowness_milli: u32) {
        if let Some(state) = self.upstreams.get_mut(&id) {
            let ln = (f64::from(slowness_milli.max(1)) / 1e3).ln();
            let known = state.slowness(now);
            state.slowness_ln = known + SLOWNESS_GAIN * (ln - known);
            state.slowness_at = now;
        }
    }

    /// Notes how an answer ended. Returns the upstream's standing if that changed.
    pub fn answered(
        &mut self,
        now: Timestamp,
        id: UpstreamId,
        outcome: Outcome,
    ) -> Option<OutlierState> {
        self.outliers.record(now, id, outcome)
    }

    /// Takes what another entry has seen of an upstream's answers. Returns the upstream's standing if
    /// that changed.
    pub fn heard(
        &mut self,
        now: Timestamp,
        from: u64,
        tally: &Tally<UpstreamId>,
    ) -> Option<OutlierState> {
        self.outliers.merge(now, from, tally)
    }

    /// What other entries should know of answers since the last call.
    pub fn take_updates(&mut self, now: Timestamp) -> Vec<Tally<UpstreamId>> {
        self.outliers.take_updates(now)
    }

    /// Whether some service has upstreams that take new flows but none in a zone that answers.
    /// Returns since when.
    pub fn unusable_since(&self, table: &Table) -> Option<Timestamp> {
        let mut worst = None;
        for service in 0..table.services.len() {
            let service = ServiceId(service as u16);
            let mut silent: Option<Timestamp> = None;
            let mut of_service = table
                .upstreams
                .values()
                .filter(|upstream| upstream.service == service && upstream.accepts_new)
                .peekable();
            if of_service.peek().is_none() {
                continue;
            }
            let all_silent = of_service.all(|upstream| {
                let since = self.zones.get(&upstream.zone).and_then(|zone| zone.silent_since);
                silent = silent.max(since);
                since.is_some()
            });
            if all_silent {
                worst = worst.max(silent);
            }
        }
        worst
    }

    /// Zones in which nothing answers.
    pub fn unreachable_zones(&self) -> impl Iterator<Item = ZoneId> + '_ {
        self.zones.iter().filter(|(_, zone)| zone.silent_since.is_some()).map(|(id, _)| *id)
    }

    /// Notes that a zone can be reached, from elsewhere than openings.
    pub fn on_zone_reachable(&mut self, now: Timestamp, table: &Table, zone: ZoneId) {
        if self.zones.swap_remove(&zone).is_some() {
            self.forgive(now, table, zone);
        }
    }

    /// Open flows that this entry counts at an upstream.
    pub fn open_flows(&self, id: UpstreamId) -> u32 {
        self.upstreams.get(&id).map_or(0, |state| state.open)
    }

    /// How an upstream fits; `None` if it may not take a flow now.
    fn tier(
        &mut self,
        now: Timestamp,
        table: &Table,
        upstream: &Upstream,
        limits: Option<&Service>,
    ) -> Option<Tier> {
        let zone_avoided =
            self.zones.get(&upstream.zone).is_some_and(|zone| zone.avoid_until > now);
        let state = self.upstreams.get_mut(&upstream.id)?;
        let old = |at: &Timestamp| now.since(*at) >= LIMIT_WINDOW;
        while state.limited_opens.pop_front_if(|at| old(at)).is_some() {}
        let limited = state.limited_opens.len() as u32;
        let avoided = zone_avoided
            || state.avoid_until > now
            || match self.outliers.state(now, upstream.id) {
                OutlierState::Healthy => false,
                OutlierState::HalfOpen => limited >= table.share_of(TRIAL_OPENS, upstream.id),
                OutlierState::Ejected => true,
            };
        if upstream.cold_until > now {
            let all = limits.map_or(0, |service| service.cold_opens_per_s) * COLD_PERCENT / 100;
            if limited >= table.share_of(all, upstream.id) {
                return None;
            }
            return Some(if avoided { Tier::Avoided } else { Tier::Cold });
        }
        if avoided {
            return Some(Tier::Avoided);
        }
        Some(if state.unproven_until > now { Tier::Unproven } else { Tier::Fit })
    }

    /// Forgets failures of upstreams whose zone was away: they say nothing of the upstreams.
    fn forgive(&mut self, now: Timestamp, table: &Table, zone: ZoneId) {
        for (id, state) in &mut self.upstreams {
            let in_zone = table.upstreams.get(id).is_some_and(|upstream| upstream.zone == zone);
            if in_zone {
                // Answers that were lost on the way say nothing of the upstream.
                self.outliers.reset(*id);
            }
            if in_zone && state.strikes > 0 {
                state.strikes = 0;
                state.avoid_until = Timestamp::default();
                state.unproven_until = now + self.possibly_cold_period;
            }
        }
    }
}

/// The place of an upstream that was never picked, before all that were.
fn order(seed: u64, id: UpstreamId) -> u64 {
    (id.0 ^ seed).wrapping_mul(0x9E37_79B9_7F4A_7C15) % ORDERS
}

impl State {
    /// How many times slower than usual it is, as a logarithm; it fades.
    fn slowness(&self, now: Timestamp) -> f64 {
        let halvings = now.since(self.slowness_at).as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64();
        self.slowness_ln * (-halvings).exp2()
    }

    /// How many usual answers one of its takes.
    fn times_slower(&self, now: Timestamp) -> u32 {
        let times = self.slowness(now).exp();
        if times < SLOW_FROM { 1 } else { times.min(SLOW_MOST).round() as u32 }
    }

    fn new(upstream: &Upstream, last_pick: u64) -> Self {
        Self {
            started_ms: upstream.started_ms,
            open: 0,
            last_pick,
            strikes: 0,
            avoid_until: Timestamp::default(),
            unproven_until: Timestamp::default(),
            slowness_ln: 0.0,
            slowness_at: Timestamp::default(),
            limited_opens: VecDeque::new(),
        }
    }
}
