//! Selection of an upstream for a new flow, with passive health checks of upstreams and zones.
//!
//! Load, failures and the reachability of zones are derived from openings alone. This costs no
//! extra packets, and the state is at most as old as the time between two openings.

use std::collections::VecDeque;
use std::time::Duration;

use health::{News, Outcome, OutlierState, Outliers, Sent, Silences, Tally};
use indexmap::IndexMap;
use load::LoadView;
use stdx::time::Timestamp;

use crate::decision::Settings;
use crate::openings::Opening;
use crate::placement::{self, SharedCost, Slowness};
use crate::stranded::UpstreamCondition;
use crate::table::{Service, ServiceId, Table, Upstream, UpstreamId, ZoneId};

mod pool;

use pool::{MeanCost, Pool};

/// Consecutive openings without an answer after which an upstream is avoided. One alone can be a
/// lost packet.
const FAILURES_TO_AVOID_UPSTREAM: u32 = 2;

/// Consecutive openings without an answer from a zone after which the zone is avoided. They have to
/// involve at least two upstreams.
const FAILURES_TO_AVOID_ZONE: u32 = 3;

/// Initial time for which an upstream is avoided. It doubles with each further failure.
const BASE_UPSTREAM_AVOID_TIME: Duration = Duration::from_secs(1);

/// Initial time for which a zone is avoided. It doubles each time the zone is avoided again.
const BASE_ZONE_AVOID_TIME: Duration = Duration::from_millis(500);

/// Maximum number of doublings of both times.
const MAX_AVOID_DOUBLINGS: u32 = 3;

/// Part of the cold limit that is used. The rest is for packets that bunch up in the network, and
/// for an entry that the others do not know yet.
const COLD_LIMIT_PERCENT: u32 = 80;

/// Interval at which the view of load is read.
const VIEW_INTERVAL: Duration = Duration::from_millis(50);

/// Sliding window over which new flows at a cold or half-open upstream are counted. The limit holds
/// for any second, and packets may arrive closer together than they were sent.
const LIMIT_WINDOW: Duration = Duration::from_millis(1_100);

/// Maximum number of new flows per second that all entries together open at a half-open upstream.
const MAX_HALF_OPEN_OPENINGS_PER_S: u32 = 2;

/// EWMA weight of a new answer in an upstream's latency ratio. Three slow answers are enough to
/// lower its share.
const LATENCY_RATIO_GAIN: f64 = 0.3;

/// Latency ratio from which on an upstream gets fewer flows. Cold starts and random variation stay
/// below it.
const MIN_SLOW_RATIO: f64 = 2.0;

/// Maximum latency ratio that is taken into account.
const MAX_SLOW_RATIO: f64 = 8.0;

/// Half-life of the logarithm of the latency ratio. It decays so that a slow upstream is tried
/// again.
const LATENCY_RATIO_HALF_LIFE: Duration = Duration::from_secs(2);

/// Time since the last sign of life of any upstream up to which this entry can tell a zone that it
/// does not reach from its own isolation.
const MAX_TIME_SINCE_ALIVE: Duration = Duration::from_secs(1);

/// Weights of an open flow without a request in flight, in the own zone and in others. Long flows
/// prefer the own zone, which stays reachable in a partition, until its upstreams hold half as many
/// again as the others.
const IDLE_FLOW_WEIGHT_OWN_ZONE: u32 = 2;
const IDLE_FLOW_WEIGHT_OTHER_ZONE: u32 = 3;

/// Selects upstreams for new flows, from the load and health that this entry has observed.
#[derive(Debug, Clone)]
pub struct UpstreamSelector {
    own_zone: Option<ZoneId>,
    /// Time after its recovery during which an upstream may be cold although its record does not
    /// say so yet.
    possibly_cold_period: Duration,
    /// Time for which unanswered openings show that a zone can't be reached.
    outage_evidence_lifetime: Duration,
    /// Whether what requests cost may count. See [`Settings::placement`].
    placement: bool,
    seed: u64,
    upstreams: IndexMap<UpstreamId, UpstreamState>,
    /// Upstreams that accept new flows, by service.
    eligible: IndexMap<ServiceId, Pool>,
    zones: IndexMap<ZoneId, ZoneState>,
    outliers: Outliers<UpstreamId, ServiceId>,
    silences: Silences<UpstreamId, ServiceId>,
    picks: u64,
    view_read_at: Timestamp,
    /// Whether what requests cost counts: only where entries are so many that they share a view.
    counts_costs: bool,
    /// When an upstream last accepted an opening or answered a request.
    last_alive: Timestamp,
}

#[derive(Debug, Clone)]
struct UpstreamState {
    started_ms: Option<u64>,
    open_flows: u32,
    /// Openings and requests that wait for an answer.
    in_flight: u32,
    last_pick: u64,
    /// Its next turn among upstreams of equal load.
    turn_milli: u64,
    slowness: Slowness,
    shared_cost: SharedCost,
    consecutive_failures: u32,
    avoid_until: Timestamp,
    /// End of the period after a recovery in which the upstream may be cold.
    possibly_cold_until: Timestamp,
    /// EWMA of the logarithm of the latency ratio of answers' first bytes, at `latency_ratio_at`.
    latency_ratio_ln: f64,
    latency_ratio_at: Timestamp,
    /// When this entry opened flows here while the upstream was cold or half-open.
    limited_opens: VecDeque<Timestamp>,
}

#[derive(Debug, Clone, Default)]
struct ZoneState {
    consecutive_failures: u32,
    /// Upstream of the last opening without an answer, and when that was found.
    last_failed: Option<(UpstreamId, Timestamp)>,
    multiple_failed: bool,
    avoid_until: Timestamp,
    doublings: u32,
    /// When the zone became unreachable; `None` while it is reachable.
    unreachable_since: Option<Timestamp>,
    /// When openings at several upstreams were last found unanswered.
    confirmed_at: Timestamp,
}

stdx::value! {
    /// Why no upstream was chosen.
    pub enum SelectError {
        /// The service has no upstream that accepts new flows.
        NoneEligible,
        /// Every eligible upstream is cold and at its limit.
        AllAtLimit,
    }

    /// Effect of an unanswered opening.
    pub enum FailureEffect {
        /// The failure was counted, without an effect yet.
        Counted,
        /// The upstream is avoided.
        UpstreamAvoided,
        /// The upstream's zone is avoided.
        ZoneAvoided,
    }

    /// Preference class of an upstream, best first.
    enum Tier {
        Warm,
        Cold,
        PossiblyCold,
        Avoided,
    }

    /// Sort key of an upstream, best first. The fields are compared in order.
    struct Rank {
        tier: Tier,
        /// Attempts for this flow in the upstream's zone.
        attempts_in_zone: usize,
        /// Work of the requests in flight.
        wait: u32,
        /// Work of the open flows including the new one, multiplied by the weight of the zone.
        open_flows: u32,
        other_zone: bool,
        turn_milli: u64,
        last_pick: u64,
        id: UpstreamId,
    }
}

impl UpstreamSelector {
    /// A selector without upstreams.
    pub fn new(cfg: &Settings) -> Self {
        Self {
            own_zone: None,
            possibly_cold_period: cfg.possibly_cold_period,
            outage_evidence_lifetime: cfg.outage_evidence_lifetime,
            placement: cfg.placement,
            seed: cfg.seed,
            upstreams: IndexMap::new(),
            eligible: IndexMap::new(),
            zones: IndexMap::new(),
            outliers: Outliers::default(),
            silences: Silences::new(cfg.outage_evidence_lifetime),
            picks: 0,
            view_read_at: Timestamp::default(),
            counts_costs: false,
            last_alive: Timestamp::default(),
        }
    }

    /// Applies a new table. The state of a restarted upstream is reset.
    pub fn apply(&mut self, table: &Table, own_zone: Option<ZoneId>) {
        self.own_zone = own_zone;
        self.upstreams.retain(|id, _| table.upstreams.contains_key(id));
        for (id, upstream) in &table.upstreams {
            let turn_milli = self.eligible.get(&upstream.service).map_or(0, |pool| pool.turn_milli)
                + placement::first_turn_milli(self.seed, id.0);
            let new_state = || UpstreamState::new(upstream, turn_milli);
            let state = self.upstreams.entry(*id).or_insert_with(new_state);
            if upstream.started_ms.is_some() && state.started_ms != upstream.started_ms {
                *state = new_state();
                self.outliers.reset(*id);
                self.silences.reset(*id);
            }
        }
        self.eligible.values_mut().for_each(|pool| pool.ids.clear());
        for upstream in table.upstreams.values().filter(|upstream| upstream.accepts_new) {
            self.eligible.entry(upstream.service).or_default().ids.push(upstream.id);
        }
        let members = table.upstreams.values();
        let members = members.map(|upstream| (upstream.id, upstream.service, upstream.accepts_new));
        self.outliers.set_members(members);
        let members = table.upstreams.values().map(|upstream| (upstream.id, upstream.service));
        self.silences.set_members(members);
    }

    /// Reads the view of load, if it is due. Not on the way of an opening.
    pub fn read_view(&mut self, now: Timestamp, table: &Table, view: &LoadView<UpstreamId>) {
        if !self.placement || now.since(self.view_read_at) < VIEW_INTERVAL {
            return;
        }
        self.view_read_at = now;
        let counted_costs = std::mem::replace(&mut self.counts_costs, view.is_exchanging());
        // When the exchange ends, what was read last is forgotten once.
        if !self.counts_costs && !counted_costs {
            return;
        }
        for (id, state) in &mut self.upstreams {
            let slots = table.upstreams.get(id).map_or(0, |upstream| upstream.slots);
            state.shared_cost.update(now, view.estimate(now, *id), slots);
        }
        for pool in self.eligible.values_mut() {
            let full = pool.ids.iter().filter(|id| self.upstreams[*id].shared_cost.is_full());
            pool.is_full = full.count() * 2 >= pool.ids.len().max(1);
        }
    }

    /// Chooses an upstream that `opening` was not sent to yet, and counts the flow there.
    ///
    /// Warm upstreams that are not avoided come first. Further attempts prefer other zones, because
    /// the zone of an unanswered attempt may be unreachable. Then follow the least work in flight,
    /// the least work of open flows, weighted by zone, the own zone, and the earliest turn, which
    /// comes more often at fast upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error if no upstream can accept the flow.
    pub fn pick(
        &mut self,
        now: Timestamp,
        table: &Table,
        opening: &Opening,
        is_usable: impl Fn(UpstreamId) -> bool,
    ) -> Result<UpstreamId, SelectError> {
        let service_id = opening.service;
        let mut pool = self.eligible.get_mut(&service_id).map(std::mem::take).unwrap_or_default();
        let best = self.best_of(now, table, opening, &mut pool, &is_usable);
        let eligible = best.is_some() || pool.ids.iter().any(|id| is_usable(*id));
        if let Some(rank) = &best {
            pool.picks += 1;
            pool.turn_milli = pool.turn_milli.max(rank.turn_milli);
        }
        let (turn_milli, usual_cost) = (pool.turn_milli, pool.usual_cost());
        self.eligible.insert(service_id, pool);
        let Some(Rank { id, .. }) = best else {
            return Err(if eligible { SelectError::AllAtLimit } else { SelectError::NoneEligible });
        };
        let cost = placement::relative(self.upstreams[&id].cost(self.counts_costs), usual_cost);
        self.count_pick(now, table, id, turn_milli, cost);
        Ok(id)
    }

    /// The best of the upstreams of the opening's service that can accept it.
    fn best_of(
        &mut self,
        now: Timestamp,
        table: &Table,
        opening: &Opening,
        pool: &mut Pool,
        is_usable: impl Fn(UpstreamId) -> bool,
    ) -> Option<Rank> {
        let service = table.services.get(usize::from(opening.service.0));
        let round = pool.picks / pool.ids.len().max(1) as u64;
        let usual_cost = pool.usual_cost();
        let [own_zone, other_zones] = pool.zone_costs.map(MeanCost::mean);
        let spilled =
            placement::phase(self.seed, 0, pool.picks) < placement::spill(own_zone, other_zones);
        let mut zone_costs = [MeanCost::default(); 2];
        let mut best: Option<Rank> = None;
        for id in &pool.ids {
            let Some(upstream) = table.upstreams.get(id).filter(|_| is_usable(*id)) else {
                continue;
            };
            if opening.attempts().any(|attempt| attempt.upstream == *id) {
                continue;
            }
            let Some(tier) = self.tier(now, table, upstream, service) else {
                continue;
            };
            let phase = || placement::phase(self.seed, id.0, round);
            let state = &mut self.upstreams[id];
            if self.counts_costs && placement::is_behind(state.turn_milli, pool.turn_milli) {
                state.turn_milli = placement::rejoin_milli(pool.turn_milli, phase());
            }
            let is_foreign = self.own_zone != Some(upstream.zone);
            let other_zone = is_foreign != spilled;
            let attempts_in_zone =
                opening.attempts().filter(|attempt| attempt.zone == upstream.zone).count();
            let zone_weight =
                if other_zone { IDLE_FLOW_WEIGHT_OTHER_ZONE } else { IDLE_FLOW_WEIGHT_OWN_ZONE };
            let cost = state.cost(self.counts_costs);
            zone_costs[usize::from(is_foreign)].add(cost);
            let cost = placement::relative(cost, usual_cost);
            // An upstream that has just turned slower than it is known to be.
            let latency_weight = state.latency_weight(now, cost);
            let in_flight = (state.in_flight + 1) * latency_weight - 1;
            let (wait, open_flows) = if (cost - 1.0).abs() < f64::EPSILON {
                (in_flight, state.open_flows)
            } else {
                let phase = phase();
                let level = |count| placement::level(count, cost, phase);
                (level(in_flight), level(state.open_flows))
            };
            let rank = Rank {
                tier,
                attempts_in_zone,
                wait,
                open_flows: (open_flows + 1) * zone_weight,
                other_zone,
                turn_milli: state.turn_milli,
                last_pick: state.last_pick,
                id: *id,
            };
            best = Some(best.map_or(rank, |best| best.min(rank)));
        }
        pool.zone_costs = zone_costs;
        best
    }

    /// Counts a new flow at the picked upstream.
    fn count_pick(
        &mut self,
        now: Timestamp,
        table: &Table,
        id: UpstreamId,
        turn_milli: u64,
        cost: f64,
    ) {
        self.picks += 1;
        let state = &mut self.upstreams[&id];
        state.turn_milli = state.turn_milli.max(turn_milli) + placement::turn_distance_milli(cost);
        state.last_pick = self.picks;
        state.open_flows += 1;
        state.in_flight += 1;
        let is_cold = table.upstreams.get(&id).is_some_and(|upstream| upstream.cold_until > now);
        if is_cold || self.outliers.state(now, id) == OutlierState::HalfOpen {
            state.limited_opens.push_back(now);
        }
    }

    /// Adds a flow that was opened without [`Self::pick`] to the upstream's load.
    pub fn open(&mut self, id: UpstreamId) {
        if let Some(state) = self.upstreams.get_mut(&id) {
            state.open_flows += 1;
            state.in_flight += 1;
        }
    }

    /// Removes a closed flow, or an attempt that was not accepted, from the upstream's load;
    /// `in_flight` says whether it waited for an answer.
    pub fn close(&mut self, id: UpstreamId, in_flight: bool) {
        if let Some(state) = self.upstreams.get_mut(&id) {
            state.open_flows = state.open_flows.saturating_sub(1);
            state.in_flight = state.in_flight.saturating_sub(u32::from(in_flight));
        }
    }

    /// Records that an open flow has begun or ceased to wait for an answer.
    pub fn set_in_flight(&mut self, id: UpstreamId, in_flight: bool) {
        if let Some(state) = self.upstreams.get_mut(&id) {
            state.in_flight =
                if in_flight { state.in_flight + 1 } else { state.in_flight.saturating_sub(1) };
        }
    }

    /// Records that a part of the answer to a request was acknowledged. If the request was sent
    /// after the upstream's zone was found unreachable, the zone is reachable.
    ///
    /// `recently` says that the answer has just arrived: the acknowledgement came in a packet of its
    /// own. One that rides on the client's next request may be old, as others went another way.
    pub fn record_alive(
        &mut self,
        now: Timestamp,
        table: &Table,
        id: UpstreamId,
        requested_at: Timestamp,
        recently: bool,
    ) {
        if recently {
            self.silences.record_alive(now, id);
            self.last_alive = now;
        }
        let zone = table.upstreams.get(&id).map(|upstream| upstream.zone);
        let since = zone.and_then(|zone| self.zones.get(&zone)?.unreachable_since);
        if let Some(zone) = zone
            && since.is_some_and(|since| since < requested_at)
        {
            self.on_zone_reachable(now, table, zone);
        }
    }

    /// Records that a client sent a copy of a request for want of an acknowledgement.
    pub fn record_unanswered_request(
        &mut self,
        now: Timestamp,
        id: UpstreamId,
        sent: Sent,
        sent_at: Timestamp,
    ) {
        self.silences.record_unanswered(now, id, sent, sent_at);
    }

    /// Merges what the entry `from` has seen of a silent upstream.
    pub fn merge_silence_news(&mut self, now: Timestamp, from: u64, news: &News<UpstreamId>) {
        self.silences.merge(now, from, news);
    }

    /// What the other entries are to be told of silent upstreams.
    pub fn take_silence_news(&mut self, now: Timestamp) -> Vec<News<UpstreamId>> {
        self.silences.take_news(now)
    }

    /// Condition of the upstream of an open flow.
    pub fn condition(&self, now: Timestamp, upstream: &Upstream) -> UpstreamCondition {
        if upstream.ended {
            return UpstreamCondition::Ended;
        }
        // Unanswered openings in the own zone are due to its upstreams or to this entry.
        let is_isolated = now.since(self.last_alive) > MAX_TIME_SINCE_ALIVE;
        if self.own_zone != Some(upstream.zone)
            && !is_isolated
            && let Some(zone) = self.zones.get(&upstream.zone)
            && let Some(since) = zone.unreachable_since
            && now.since(zone.confirmed_at) <= self.outage_evidence_lifetime
            && self.silences.has_unanswered_request(now, upstream.id)
        {
            return UpstreamCondition::ZoneUnreachable(since);
        }
        if !is_isolated && self.silences.is_silent(now, upstream.id) {
            return UpstreamCondition::Silent;
        }
        if upstream.unlisted {
            return UpstreamCondition::Unlisted;
        }
        UpstreamCondition::Reachable
    }

    /// Whether an upstream or its zone is avoided after openings without an answer.
    pub fn is_avoided(&self, now: Timestamp, upstream: &Upstream) -> bool {
        let zone = self.zones.get(&upstream.zone);
        let state = self.upstreams.get(&upstream.id);
        zone.is_some_and(|zone| zone.avoid_until > now)
            || state.is_none_or(|state| state.avoid_until > now)
    }

    /// Records that an upstream accepted an opening. Returns whether it had been avoided.
    pub fn record_success(&mut self, now: Timestamp, table: &Table, id: UpstreamId) -> bool {
        let possibly_cold_period = self.possibly_cold_period;
        let Some((state, upstream)) = self.upstreams.get_mut(&id).zip(table.upstreams.get(&id))
        else {
            return false;
        };
        self.silences.record_alive(now, id);
        self.last_alive = now;
        let recovered = state.consecutive_failures >= FAILURES_TO_AVOID_UPSTREAM;
        state.consecutive_failures = 0;
        state.avoid_until = Timestamp::default();
        if recovered {
            state.possibly_cold_until = now + possibly_cold_period;
        }
        let zone_recovered = self
            .zones
            .swap_remove(&upstream.zone)
            .is_some_and(|zone| zone.unreachable_since.is_some());
        if zone_recovered {
            self.reset_failures(now, table, upstream.zone);
        }
        recovered
    }

    /// Records that an opening, sent at `sent_at`, was not answered in time.
    pub fn record_failure(
        &mut self,
        now: Timestamp,
        table: &Table,
        id: UpstreamId,
        sent_at: Timestamp,
    ) -> FailureEffect {
        let Some((state, upstream)) = self.upstreams.get_mut(&id).zip(table.upstreams.get(&id))
        else {
            return FailureEffect::Counted;
        };
        self.silences.record_unanswered(now, id, Sent::Opening, sent_at);
        state.consecutive_failures = state.consecutive_failures.saturating_add(1);
        let avoided = if let Some(doublings) =
            state.consecutive_failures.checked_sub(FAILURES_TO_AVOID_UPSTREAM)
        {
            state.avoid_until =
                now + BASE_UPSTREAM_AVOID_TIME * 2_u32.pow(doublings.min(MAX_AVOID_DOUBLINGS));
            true
        } else {
            false
        };
        let zone = self.zones.entry(upstream.zone).or_default();
        zone.consecutive_failures += 1;
        if let Some((last, at)) = zone.last_failed
            && last != id
        {
            zone.multiple_failed = true;
            if now.since(at) <= self.outage_evidence_lifetime {
                zone.confirmed_at = now;
            }
        }
        zone.last_failed = Some((id, now));
        if zone.consecutive_failures >= FAILURES_TO_AVOID_ZONE
            && zone.multiple_failed
            && zone.avoid_until <= now
        {
            zone.avoid_until = now + BASE_ZONE_AVOID_TIME * 2_u32.pow(zone.doublings);
            zone.doublings = (zone.doublings + 1).min(MAX_AVOID_DOUBLINGS);
            zone.unreachable_since.get_or_insert(now);
            return FailureEffect::ZoneAvoided;
        }
        if avoided { FailureEffect::UpstreamAvoided } else { FailureEffect::Counted }
    }

    /// Records the latency of an answer's first byte relative to the baseline, in thousandths.
    pub fn record_first_byte(&mut self, now: Timestamp, id: UpstreamId, latency_ratio_milli: u32) {
        if let Some(state) = self.upstreams.get_mut(&id) {
            let ratio_ln = (f64::from(latency_ratio_milli.max(1)) / 1e3).ln();
            let decayed = state.decayed_latency_ratio_ln(now);
            state.latency_ratio_ln = decayed + LATENCY_RATIO_GAIN * (ratio_ln - decayed);
            state.latency_ratio_at = now;
            state.slowness.observe(now, latency_ratio_milli);
        }
    }

    /// Whether all slots of an upstream, or of half of its service, are known to be taken.
    pub fn is_full(&self, table: &Table, id: UpstreamId) -> bool {
        let service = table.upstreams.get(&id).map(|upstream| upstream.service);
        self.upstreams.get(&id).is_some_and(|state| state.shared_cost.is_full())
            || service
                .and_then(|service| self.eligible.get(&service))
                .is_some_and(|pool| pool.is_full)
    }

    /// Records the outcome of an answer. Returns the upstream's outlier state if it changed.
    pub fn record_outcome(
        &mut self,
        now: Timestamp,
        id: UpstreamId,
        outcome: Outcome,
    ) -> Option<OutlierState> {
        self.outliers.record(now, id, outcome)
    }

    /// Merges outcomes of an upstream's answers that the entry `from` has observed. Returns the
    /// upstream's outlier state if it changed.
    pub fn merge_peer_tally(
        &mut self,
        now: Timestamp,
        from: u64,
        tally: &Tally<UpstreamId>,
    ) -> Option<OutlierState> {
        self.outliers.merge(now, from, tally)
    }

    /// Outcomes of answers since the last call, for the other entries.
    pub fn take_updates(&mut self, now: Timestamp) -> Vec<Tally<UpstreamId>> {
        self.outliers.take_updates(now)
    }

    /// Since when all eligible upstreams of some service are in unreachable zones; `None` if no
    /// service is affected.
    pub fn unusable_since(&self, table: &Table) -> Option<Timestamp> {
        self.unreachable_zones().next()?;
        let mut latest = None;
        for pool in self.eligible.values().filter(|pool| !pool.ids.is_empty()) {
            let mut service_since: Option<Timestamp> = None;
            let mut upstreams = pool.ids.iter().filter_map(|id| table.upstreams.get(id));
            let all_unreachable = upstreams.all(|upstream| {
                let since = self.zones.get(&upstream.zone).and_then(|zone| zone.unreachable_since);
                service_since = service_since.max(since);
                since.is_some()
            });
            if all_unreachable {
                latest = latest.max(service_since);
            }
        }
        latest
    }

    /// Zones that were found unreachable and in which no opening has been answered since.
    pub fn unreachable_zones(&self) -> impl Iterator<Item = ZoneId> + '_ {
        self.zones.iter().filter(|(_, zone)| zone.unreachable_since.is_some()).map(|(id, _)| *id)
    }

    /// Marks a zone as reachable, from a source other than openings.
    pub fn on_zone_reachable(&mut self, now: Timestamp, table: &Table, zone: ZoneId) {
        if self.zones.swap_remove(&zone).is_some() {
            self.reset_failures(now, table, zone);
        }
    }

    /// Upstreams, and how many of this entry's openings and requests wait for an answer there.
    pub fn in_flight(&self) -> impl Iterator<Item = (UpstreamId, u32)> + '_ {
        self.upstreams.iter().map(|(id, state)| (*id, state.in_flight))
    }

    /// Flows of this entry at an upstream, including pending openings.
    pub fn open_flows(&self, id: UpstreamId) -> u32 {
        self.upstreams.get(&id).map_or(0, |state| state.open_flows)
    }

    /// Preference class of an upstream; `None` if it is cold and at its limit.
    fn tier(
        &mut self,
        now: Timestamp,
        table: &Table,
        upstream: &Upstream,
        service: Option<&Service>,
    ) -> Option<Tier> {
        let zone_avoided =
            self.zones.get(&upstream.zone).is_some_and(|zone| zone.avoid_until > now);
        let state = self.upstreams.get_mut(&upstream.id)?;
        let expired = |opened_at: &Timestamp| now.since(*opened_at) >= LIMIT_WINDOW;
        while state.limited_opens.pop_front_if(|opened_at| expired(opened_at)).is_some() {}
        let recent_opens = state.limited_opens.len() as u32;
        let avoided = zone_avoided
            || state.avoid_until > now
            || self.silences.is_suspect(now, upstream.id)
            || match self.outliers.state(now, upstream.id) {
                OutlierState::Healthy => false,
                OutlierState::HalfOpen => {
                    recent_opens >= table.own_share(MAX_HALF_OPEN_OPENINGS_PER_S, upstream.id)
                }
                OutlierState::Ejected => true,
            };
        if upstream.cold_until > now {
            let limit =
                service.map_or(0, |service| service.cold_opens_per_s) * COLD_LIMIT_PERCENT / 100;
            if recent_opens >= table.own_share(limit, upstream.id) {
                return None;
            }
            return Some(if avoided { Tier::Avoided } else { Tier::Cold });
        }
        if avoided {
            return Some(Tier::Avoided);
        }
        Some(if state.possibly_cold_until > now { Tier::PossiblyCold } else { Tier::Warm })
    }

    /// Resets the failures of a zone's upstreams: they were caused by the network, not by the
    /// upstreams.
    fn reset_failures(&mut self, now: Timestamp, table: &Table, zone: ZoneId) {
        for (id, state) in &mut self.upstreams {
            let in_zone = table.upstreams.get(id).is_some_and(|upstream| upstream.zone == zone);
            if in_zone {
                // Answers that the network lost are no evidence against the upstream.
                self.outliers.reset(*id);
                self.silences.reset(*id);
            }
            if in_zone && state.consecutive_failures > 0 {
                state.consecutive_failures = 0;
                state.avoid_until = Timestamp::default();
                state.possibly_cold_until = now + self.possibly_cold_period;
            }
        }
    }
}

impl UpstreamState {
    /// Logarithm of the latency ratio, decayed to `now`.
    fn decayed_latency_ratio_ln(&self, now: Timestamp) -> f64 {
        let half_lives =
            now.since(self.latency_ratio_at).as_secs_f64() / LATENCY_RATIO_HALF_LIFE.as_secs_f64();
        self.latency_ratio_ln * (-half_lives).exp2()
    }

    /// What a request costs here; 1 if costs don't count.
    fn cost(&self, counts: bool) -> f64 {
        if counts { self.shared_cost.blend(self.slowness.ratio()) } else { 1.0 }
    }

    /// Factor by which a flow's load counts: the rounded latency ratio over the slowness that is
    /// known already, or 1 if it is not slow.
    fn latency_weight(&self, now: Timestamp, slowness: f64) -> u32 {
        // It only decays.
        if self.latency_ratio_ln < MIN_SLOW_RATIO.ln() {
            return 1;
        }
        let ratio = self.decayed_latency_ratio_ln(now).exp() / slowness.max(1.0);
        if ratio < MIN_SLOW_RATIO { 1 } else { ratio.min(MAX_SLOW_RATIO).round() as u32 }
    }

    fn new(upstream: &Upstream, turn_milli: u64) -> Self {
        Self {
            started_ms: upstream.started_ms,
            open_flows: 0,
            in_flight: 0,
            last_pick: 0,
            turn_milli,
            slowness: Slowness::prior(),
            shared_cost: SharedCost::default(),
            consecutive_failures: 0,
            avoid_until: Timestamp::default(),
            possibly_cold_until: Timestamp::default(),
            latency_ratio_ln: 0.0,
            latency_ratio_at: Timestamp::default(),
            limited_opens: VecDeque::new(),
        }
    }
}
