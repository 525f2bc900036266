//! Per-packet decisions and timers. The engine takes the current time as an argument.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use balance::TokenBucket;
use health::{News, Outcome, OutlierState, Tally};
use indexmap::{IndexMap, IndexSet};
use load::LoadView;
use stdx::hash;
use stdx::time::Timestamp;

use crate::acknowledgements::Acknowledgements;
use crate::baseline::AnswerBaseline;
use crate::decision::{Action, Drop, Event, Hedge, Hop, Refusal, Reset, Settings, Stats};
use crate::inquiries::Inquiries;
use crate::latency::LatencyEstimator;
use crate::openings::{Attempt, MAX_OPENING_AGE, Opening, Openings, Stage};
use crate::packet::{FlowKey, Packet, RawPacket};
use crate::pins::{Pin, Pins};
use crate::request::{AnswerFailure, AnswerOutcome, Request};
use crate::selection::{FailureEffect, SelectError, UpstreamSelector};
use crate::stranded::{self, Progress, ResetReason, UpstreamCondition};
use crate::strays::Strays;
use crate::table::{Table, Token, Upstream, UpstreamId, ZoneId};

mod acceptance;
mod acknowledging;
mod load_news;
mod pinning;
mod stranding;

use acceptance::ClientHabits;
use stranding::Stranded;

/// Hedged requests that each opening adds to the budget; below 1, so that they can't double the
/// load.
const HEDGE_BUDGET_PER_OPENING: f64 = 0.2;

/// Maximum balance of the budget, in hedged requests, after a time with few of them.
const HEDGE_BUDGET_BURST: f64 = 20.0;

/// Hedged requests per second that are allowed regardless of the number of openings.
const MIN_HEDGES_PER_S: f64 = 5.0;

/// Idle time after which an unanswered opening is removed. Clients give up after 1.4 s.
const UNANSWERED_EXPIRY: Duration = Duration::from_secs(2);

/// Idle time after which a closed flow is removed.
const CLOSED_EXPIRY: Duration = Duration::from_secs(2);

/// Idle time after which an open flow is removed and no longer counts as load of its upstream. Its
/// packets are still steered by their token.
const OPEN_EXPIRY: Duration = Duration::from_secs(20);

/// Flows per second that other entries are asked for, and the burst. They bound the messages that
/// packets with arbitrary tokens cause.
const MAX_LOOKUPS_PER_S: f64 = 100.0;
const LOOKUP_BURST: f64 = 100.0;

/// Maximum distance of an acknowledgement number from the stream's first one: half of the sequence
/// space. Greater distances belong to another upstream's stream.
const MAX_STREAM_OFFSET_BYTES: u32 = 1 << 31;

/// The decision engine of one entry.
#[derive(Debug)]
pub struct Engine {
    cfg: Settings,
    table: Arc<Table>,
    /// Upstreams by token; several if their tokens collide.
    tokens: IndexMap<Token, Vec<UpstreamId>>,
    selector: UpstreamSelector,
    openings: Openings,
    client_habits: ClientHabits,
    timers: BinaryHeap<Reverse<(Timestamp, FlowKey)>>,
    opening_latency: LatencyEstimator,
    /// Baselines by service address.
    baselines: IndexMap<SocketAddrV4, AnswerBaseline>,
    /// How upstreams acknowledge requests, by the hash of their service's name.
    acknowledgements: Acknowledgements<u64>,
    hedge_budget: TokenBucket,
    pins: Pins,
    /// Pins that the other entries don't have yet.
    new_pins: Vec<Pin>,
    lookup_budget: TokenBucket,
    /// Flows that began at another entry, while the others are asked about them.
    inquiries: Inquiries,
    /// Flows of new inquiries.
    new_inquiries: Vec<FlowKey>,
    strays: Strays,
    stranded: Stranded,
    last_timer_run: Timestamp,
    /// Time after which packets that are handled now have arrived; `None` if it is the present.
    arrived_after: Option<Timestamp>,
    /// Since when received packets have been waiting to be read without a break.
    backlogged_since: Option<Timestamp>,
    /// Up to when packets may have waited for long.
    late_until: Timestamp,
    load: LoadView<UpstreamId>,
    last_load_sample: Timestamp,
    stats: Stats,
    events: Vec<Event>,
}

impl Engine {
    /// An engine with an empty table.
    pub fn new(now: Timestamp, cfg: Settings) -> Self {
        Self {
            cfg,
            table: Arc::new(Table::default()),
            tokens: IndexMap::new(),
            selector: UpstreamSelector::new(&cfg),
            openings: Openings::new(cfg.max_openings),
            client_habits: ClientHabits::default(),
            timers: BinaryHeap::new(),
            opening_latency: LatencyEstimator::default(),
            baselines: IndexMap::new(),
            acknowledgements: Acknowledgements::new(now),
            hedge_budget: TokenBucket::new(now, HEDGE_BUDGET_BURST, MIN_HEDGES_PER_S),
            pins: Pins::default(),
            new_pins: Vec::new(),
            lookup_budget: TokenBucket::new(now, LOOKUP_BURST, MAX_LOOKUPS_PER_S),
            inquiries: Inquiries::default(),
            new_inquiries: Vec::new(),
            strays: Strays::default(),
            stranded: Stranded::new(now),
            last_timer_run: now,
            arrived_after: None,
            backlogged_since: None,
            late_until: Timestamp::default(),
            load: LoadView::new(),
            last_load_sample: now,
            stats: Stats::default(),
            events: Vec::new(),
        }
    }

    /// Decides what to do with a client's packet. `raw` has its bytes; those of an opening are kept
    /// for hedged requests.
    pub fn on_packet(&mut self, now: Timestamp, packet: &Packet, raw: &[u8]) -> Action {
        if !self.table.synced {
            return Action::Hold;
        }
        if packet.syn && !packet.has_ack {
            return self.on_opening(now, packet, raw);
        }
        self.on_established(now, packet)
    }

    /// Packets that are handled from now on have arrived after `at`, and may have waited since then: all
    /// earlier ones have been read from the socket, or they were queued from then on.
    pub fn note_arrival(&mut self, at: Timestamp) {
        self.arrived_after = Some(at);
    }

    /// Handles expired timers. Returns the next hedged request to send, if any; to be called until
    /// it returns `None`.
    ///
    /// `backlogged` says that received packets are waiting to be read. Acknowledgements may be
    /// among them, so the timeouts of pending answers then start again from `now`, as they do after
    /// a stall.
    pub fn on_timer(&mut self, now: Timestamp, backlogged: bool) -> Option<Hedge> {
        let threshold = self.cfg.stall_threshold;
        let gap = now.since(self.last_timer_run);
        self.last_timer_run = now;
        self.note_backlog(now, backlogged);
        while let Some(Reverse((deadline, flow))) = self.timers.peek().copied() {
            if deadline > now {
                return None;
            }
            self.timers.pop();
            if self.openings.get(&flow).is_none_or(|opening| opening.deadline != deadline) {
                continue;
            }
            // A thread that waits for the next timer without packets runs late, too, but not later
            // than that timer.
            let stalled = gap > threshold && now.since(deadline) > threshold;
            if (backlogged || stalled)
                && let Some(wait) = self.pending_timeout(&flow)
            {
                self.schedule(now + wait, &flow);
                continue;
            }
            if let Some(hedge) = self.on_deadline(now, &flow) {
                return Some(hedge);
            }
        }
        None
    }

    /// When [`Engine::on_timer`] and [`Engine::next_settled`] have to be called next.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let deadline = self.timers.peek().map(|Reverse((deadline, _))| *deadline);
        deadline.into_iter().chain(self.inquiries.next_timeout()).min()
    }

    /// Replaces the table.
    pub fn apply(&mut self, table: Arc<Table>, own_zone: &str) {
        let own_zone = table.zones.iter().position(|zone| zone == own_zone);
        self.selector.apply(&table, own_zone.map(|index| ZoneId(index as u16)));
        self.tokens.clear();
        for id in table.upstreams.keys() {
            self.tokens.entry(id.token()).or_default().push(*id);
        }
        self.baselines.retain(|addr, _| table.routes.contains_key(addr));
        let services: IndexSet<u64> =
            table.services.iter().map(|service| hash::fnv1a(&service.name)).collect();
        self.acknowledgements.retain(|service| services.contains(&service));
        self.load.retain(|id| table.upstreams.contains_key(&UpstreamId(id)));
        let before = std::mem::replace(&mut self.table, table);
        self.note_ended(&before);
    }

    /// Merges outcomes of upstreams' answers that the entry `from` has observed.
    pub fn on_peer_updates(&mut self, now: Timestamp, from: u64, updates: &[Tally<UpstreamId>]) {
        for tally in updates {
            let state = self.selector.merge_peer_tally(now, from, tally);
            self.emit_outlier_state(tally.key, state);
        }
    }

    /// Outcomes of upstreams' answers since the last call, for the other entries.
    pub fn take_updates(&mut self, now: Timestamp) -> Vec<Tally<UpstreamId>> {
        self.selector.take_updates(now)
    }

    /// Merges what the entry `from` has seen of silent upstreams.
    pub fn on_silence_news(&mut self, now: Timestamp, from: u64, news: &[News<UpstreamId>]) {
        for news in news {
            self.selector.merge_silence_news(now, from, news);
            self.note_stranded(now, news.key);
        }
    }

    /// What the other entries are to be told of silent upstreams.
    pub fn take_silence_news(&mut self, now: Timestamp) -> Vec<News<UpstreamId>> {
        self.selector.take_silence_news(now)
    }

    /// The current table.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Since when all eligible upstreams of some service are in unreachable zones.
    pub fn unusable_since(&self) -> Option<Timestamp> {
        self.selector.unusable_since(&self.table)
    }

    /// Zones that were found unreachable and in which no opening has been answered since.
    pub fn unreachable_zones(&self) -> impl Iterator<Item = ZoneId> + '_ {
        self.selector.unreachable_zones()
    }

    /// Marks a zone as reachable, from a source other than openings.
    pub fn on_zone_reachable(&mut self, now: Timestamp, zone: &str) {
        let index = self.table.zones.iter().position(|name| name == zone);
        if let Some(index) = index {
            self.selector.on_zone_reachable(now, &self.table, ZoneId(index as u16));
        }
    }

    /// Counters since the engine was created.
    pub fn stats(&self) -> Stats {
        Stats { inquiries_timed_out: self.inquiries.timed_out(), ..self.stats }
    }

    /// Estimated time from an opening to the client's acknowledgement.
    pub fn opening_latency(&self) -> &LatencyEstimator {
        &self.opening_latency
    }

    /// Number of tracked openings.
    pub fn tracked_openings(&self) -> usize {
        self.openings.len()
    }

    /// Flows that this entry counts as load of an upstream, including pending openings.
    pub fn open_flows(&self, id: UpstreamId) -> u32 {
        self.selector.open_flows(id)
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> std::vec::Drain<'_, Event> {
        self.events.drain(..)
    }

    fn on_opening(&mut self, now: Timestamp, packet: &Packet, raw: &[u8]) -> Action {
        let flow = packet.flow;
        if let Some(opening) =
            self.openings.get_mut(&flow).filter(|opening| opening.seq == packet.seq)
        {
            opening.last_packet_at = now;
            return match opening.stage {
                Stage::Opening => self.on_retransmit(now, &flow),
                Stage::Open { .. } | Stage::Closed { .. } => Action::Drop(Drop::LateRetransmit),
            };
        }
        if self.is_open_elsewhere(now, packet) {
            return Action::Drop(Drop::LateRetransmit);
        }
        if let Some(previous) = self.openings.remove(&flow) {
            self.release(&previous);
        }
        self.strays.remove(&flow);
        self.stats.openings += 1;
        self.hedge_budget.add(HEDGE_BUDGET_PER_OPENING);
        let Some(service) = self
            .table
            .routes
            .get(&flow.service)
            .and_then(|route| route.service_for(split_key(&flow)))
        else {
            return self.refuse(packet, Refusal::NoRoute);
        };
        let mut opening = Opening::new(now, service, packet.seq, RawPacket::new(raw));
        opening.began_as_retransmit = packet.ack > 0;
        opening.arrived_after = self.arrived_after.unwrap_or(now);
        let hop = match self.pick(now, &opening) {
            Ok(hop) => hop,
            Err(SelectError::NoneEligible) => return self.refuse(packet, Refusal::NoneEligible),
            Err(SelectError::AllAtLimit) => return self.refuse(packet, Refusal::AllAtLimit),
        };
        opening.add_attempt(now, hop.upstream, hop.zone);
        self.emit_opening_sent(&flow, &hop, 0, Duration::ZERO);
        if let Some(evicted) = self.openings.insert(flow, opening) {
            self.release(&evicted);
        }
        self.schedule(now + self.hedge_delay(), &flow);
        Action::Forward(hop)
    }

    /// Handles a retransmitted opening without an answer. It goes to another upstream, because the
    /// first one may have failed, or to the last one again if there is no other.
    fn on_retransmit(&mut self, now: Timestamp, flow: &FlowKey) -> Action {
        self.stats.retransmits += 1;
        self.record_last_attempt_failure(now, flow);
        match self.try_next(now, flow) {
            Some(hop) => Action::Forward(hop),
            None => self.last_hop(flow).map_or(Action::Drop(Drop::UnknownToken), Action::Forward),
        }
    }

    /// Handles a packet of a flow that is open from the client's view.
    fn on_established(&mut self, now: Timestamp, packet: &Packet) -> Action {
        let flow = packet.flow;
        let Some(repeatable) = self.table.routes.get(&flow.service).map(|route| route.repeatable)
        else {
            return self.on_unrouted(packet);
        };
        let mut token_upstream = self.upstream_named(packet, packet.token);
        if token_upstream.is_none() {
            token_upstream = self.upstream_of_opening(packet);
            if token_upstream.is_some()
                && let Some(action) = self.inquire(now, packet)
            {
                return action;
            }
            self.adopt(now, packet, token_upstream);
        }
        if self.awaits_first_ack(now, packet) {
            return self.look_up(now, packet);
        }
        let (upstream, progress) = self.track_flow(now, packet, token_upstream);
        let known = upstream.or_else(|| self.pinned_upstream(now, packet));
        let Some(upstream) = known.or(token_upstream) else {
            return self.look_up(now, packet);
        };
        self.count_corrected(packet, upstream);
        let progress = if progress == Progress::Unknown {
            self.track_stray(now, packet, upstream)
        } else {
            progress
        };
        let Some(upstream) = self.table.upstreams.get(&upstream) else {
            return Action::Drop(Drop::UnknownToken);
        };
        let hop = hop_to(upstream);
        let condition = self.selector.condition(now, upstream);
        if condition != UpstreamCondition::Reachable
            && let Some(reason) = stranded::assess(now, packet, repeatable, condition, progress)
        {
            return self.reset_open(packet, Some(hop.upstream), reason);
        }
        self.stats.steered += 1;
        Action::Forward(hop)
    }

    fn on_unrouted(&mut self, packet: &Packet) -> Action {
        if self.table.removed_routes.contains(&packet.flow.service) && !packet.rst {
            return self.reset_open(packet, None, ResetReason::RouteRemoved);
        }
        Action::Drop(Drop::NoRoute)
    }

    /// Updates the flow's record with a packet; `token_upstream` is named by its token. Returns the flow's upstream if it is tracked, and
    /// the flow's progress.
    fn track_flow(
        &mut self,
        now: Timestamp,
        packet: &Packet,
        token_upstream: Option<UpstreamId>,
    ) -> (Option<UpstreamId>, Progress) {
        self.track_opening(now, packet, token_upstream);
        let progress = self.track_answer(now, packet);
        (self.track_end(packet), progress)
    }

    /// Opens a tracked flow at an upstream.
    fn open(&mut self, flow: &FlowKey, upstream: UpstreamId, base: u32) {
        let Some(opening) = self.openings.get_mut(flow) else {
            return;
        };
        opening.stage = Stage::Open { upstream, base };
        let opening = *opening;
        for other in opening.attempts().filter(|attempt| attempt.upstream != upstream) {
            self.selector.close(other.upstream, true);
        }
        if !opening.attempts().any(|attempt| attempt.upstream == upstream) {
            self.selector.open(upstream);
        }
    }

    /// Counts a packet whose token doesn't name the flow's upstream.
    fn count_corrected(&mut self, packet: &Packet, upstream: UpstreamId) {
        let (token, opening) = (upstream.token(), self.openings.get(&packet.flow));
        let initial_seq = opening.map_or(packet.seq.wrapping_sub(1), |opening| opening.seq);
        let is_named = packet.token == token || packet.token == token.bound_to(initial_seq);
        self.stats.corrected += u64::from(!is_named);
    }

    /// Closes the flow's record if the packet ends the flow. Returns the flow's upstream if it is
    /// known.
    fn track_end(&mut self, packet: &Packet) -> Option<UpstreamId> {
        let ended = packet.fin || packet.rst;
        let opening = self.openings.get_mut(&packet.flow)?;
        match opening.stage {
            Stage::Open { upstream, base } => {
                if ended {
                    opening.stage = Stage::Closed { upstream, base };
                    self.selector.close(upstream, opening.in_flight);
                }
                same_stream(packet, base).then_some(upstream)
            }
            Stage::Closed { upstream, base } => same_stream(packet, base).then_some(upstream),
            Stage::Opening if ended => {
                let aborted = self.openings.remove(&packet.flow)?;
                self.release(&aborted);
                None
            }
            Stage::Opening => None,
        }
    }

    /// Updates the flow's request with a packet, and reports the outcome of its answer. Returns
    /// the flow's progress.
    fn track_answer(&mut self, now: Timestamp, packet: &Packet) -> Progress {
        let Some(opening) = self.openings.get_mut(&packet.flow) else {
            return Progress::Unknown;
        };
        let Stage::Open { upstream, base } = opening.stage else {
            return Progress::Unknown;
        };
        if !same_stream(packet, base) {
            return Progress::Unknown;
        }
        let baseline = self.baselines.entry(packet.flow.service).or_default();
        let received_at = opening.request.map_or(now, |request| request.received_at);
        let update = Request::on_packet(&mut opening.request, now, packet, baseline);
        // Until its first request arrives, the flow counts as one.
        let in_flight = opening.request.is_none_or(|request| request.awaits_answer());
        if std::mem::replace(&mut opening.in_flight, in_flight) != in_flight {
            self.selector.set_in_flight(upstream, in_flight);
        }
        if update.acked {
            let recently = packet.data_len == 0;
            self.selector.record_alive(now, &self.table, upstream, received_at, recently);
        }
        if update.started {
            let timeout = baseline.timeout();
            self.schedule(now + timeout, &packet.flow);
        }
        self.on_acknowledgement(upstream, update.acknowledgement);
        let progress = self.on_progress(now, upstream, &update);
        if let Some(latency_ratio_milli) = update.latency_ratio_milli {
            self.selector.record_first_byte(now, upstream, latency_ratio_milli);
            self.observe_slowness(now, upstream, latency_ratio_milli);
        }
        match update.outcome {
            None => {}
            Some(AnswerOutcome::Good) => {
                let state = self.selector.record_outcome(now, upstream, Outcome::Good);
                self.emit_outlier_state(upstream, state);
            }
            Some(AnswerOutcome::Failed(failure)) => {
                self.record_answer_failure(
                    now,
                    &packet.flow,
                    upstream,
                    failure,
                    now.since(received_at),
                );
            }
        }
        progress
    }

    /// Records a failure if the flow's request has passed its answer timeout.
    fn check_answer_timeout(&mut self, now: Timestamp, flow: &FlowKey) {
        let Some(opening) = self.openings.get_mut(flow) else {
            return;
        };
        let (Stage::Open { upstream, .. }, Some(request)) = (opening.stage, &mut opening.request)
        else {
            return;
        };
        let timeout = self
            .baselines
            .get(&flow.service)
            .map_or_else(|| AnswerBaseline::default().timeout(), AnswerBaseline::timeout);
        let received_at = request.received_at;
        if let Some(failure) = request.check_timeout(now, timeout) {
            self.record_answer_failure(now, flow, upstream, failure, now.since(received_at));
        }
    }

    fn record_answer_failure(
        &mut self,
        now: Timestamp,
        flow: &FlowKey,
        upstream: UpstreamId,
        failure: AnswerFailure,
        waited: Duration,
    ) {
        self.stats.answers_failed += 1;
        self.events.push(Event::AnswerFailed { flow: *flow, upstream, failure, waited });
        // An upstream that sheds because it is full is of use. If it were ejected, the others would
        // be full next.
        if failure == AnswerFailure::Short && self.selector.is_full(&self.table, upstream) {
            return;
        }
        let state = self.selector.record_outcome(now, upstream, Outcome::Failed);
        self.emit_outlier_state(upstream, state);
    }

    fn emit_outlier_state(&mut self, upstream: UpstreamId, state: Option<OutlierState>) {
        if let Some(state) = state {
            self.events.push(Event::OutlierStateChanged { upstream, state });
        }
    }

    fn record_accepted(
        &mut self,
        now: Timestamp,
        packet: &Packet,
        upstream: UpstreamId,
        took: Duration,
    ) {
        self.stats.accepted += 1;
        // The token names the attempt that was answered, so a slow first attempt adds its own
        // latency.
        self.opening_latency.observe(took);
        self.events.push(Event::Accepted { flow: packet.flow, upstream, took });
        if self.selector.record_success(now, &self.table, upstream) {
            self.events.push(Event::UpstreamRecovered { upstream });
        }
    }

    /// The upstream that the token of an opening names in one of the client's first packets, whose
    /// sequence number follows the opening's. In a later packet it names none: an upstream that did
    /// not get the flow may have sent it.
    fn upstream_of_opening(&self, packet: &Packet) -> Option<UpstreamId> {
        let initial_seq = packet.seq.wrapping_sub(1);
        self.upstream_named(packet, packet.token.bound_to(initial_seq))
    }

    /// The upstream that a token names, among the services that the packet's route has ever named.
    fn upstream_named(&self, packet: &Packet, token: Token) -> Option<UpstreamId> {
        let candidates = self.tokens.get(&token)?;
        candidates.iter().copied().find(|id| self.may_serve(&packet.flow, *id))
    }

    /// Whether an upstream belongs to a service that the flow's route has ever named.
    fn may_serve(&self, flow: &FlowKey, id: UpstreamId) -> bool {
        let route = self.table.routes.get(&flow.service);
        let upstream = self.table.upstreams.get(&id);
        route
            .zip(upstream)
            .is_some_and(|(route, upstream)| route.all_services.contains(&upstream.service))
    }

    /// Handles a flow's timer: removes an expired record, or checks for an answer timeout and a due
    /// hedged request.
    fn on_deadline(&mut self, now: Timestamp, flow: &FlowKey) -> Option<Hedge> {
        let opening = *self.openings.get(flow)?;
        let expiry = match opening.stage {
            Stage::Opening => UNANSWERED_EXPIRY,
            Stage::Open { .. } => OPEN_EXPIRY,
            Stage::Closed { .. } => CLOSED_EXPIRY,
        };
        let expires_at = opening.last_packet_at + expiry;
        if expires_at <= now {
            let expired = self.openings.remove(flow)?;
            self.emit_unanswered(flow, &expired);
            self.release(&expired);
            return None;
        }
        self.check_answer_timeout(now, flow);
        let hedge = self.hedge(now, flow, &opening);
        let next = if hedge.is_some() { now + self.hedge_delay() } else { expires_at };
        self.schedule(next, flow);
        hedge
    }

    fn hedge(&mut self, now: Timestamp, flow: &FlowKey, opening: &Opening) -> Option<Hedge> {
        if opening.stage != Stage::Opening {
            return None;
        }
        self.record_last_attempt_failure(now, flow);
        let raw = opening.raw?;
        // After a pause of the process the client may have opened the flow through another entry.
        if now.since(opening.last_packet_at) > MAX_OPENING_AGE {
            return None;
        }
        if opening.attempts().count() >= self.cfg.max_attempts as usize
            || !self.hedge_budget.take(now, 1.0)
        {
            return None;
        }
        let hop = self.try_next(now, flow)?;
        self.stats.hedges += 1;
        Some(Hedge { flow: *flow, hop, raw })
    }

    fn record_last_attempt_failure(&mut self, now: Timestamp, flow: &FlowKey) {
        let attempt = self.openings.get_mut(flow).and_then(Opening::mark_last_attempt_failed);
        let Some(Attempt { upstream: id, sent_at, .. }) = attempt else {
            return;
        };
        match self.selector.record_failure(now, &self.table, id, sent_at) {
            FailureEffect::Counted => {}
            FailureEffect::UpstreamAvoided => {
                self.events.push(Event::UpstreamAvoided { upstream: id });
            }
            FailureEffect::ZoneAvoided => {
                if let Some(upstream) = self.table.upstreams.get(&id) {
                    self.events.push(Event::ZoneAvoided { zone: upstream.zone });
                }
            }
        }
    }

    fn try_next(&mut self, now: Timestamp, flow: &FlowKey) -> Option<Hop> {
        let opening = *self.openings.get(flow)?;
        let attempt = opening.attempts().count() as u32;
        let hop = self.pick(now, &opening).ok()?;
        let added = self
            .openings
            .get_mut(flow)
            .is_some_and(|opening| opening.add_attempt(now, hop.upstream, hop.zone));
        if !added {
            self.selector.close(hop.upstream, true);
            return None;
        }
        self.emit_opening_sent(flow, &hop, attempt, now.since(opening.opened_at));
        Some(hop)
    }

    fn last_hop(&self, flow: &FlowKey) -> Option<Hop> {
        let opening = self.openings.get(flow)?;
        let last = opening.attempts().next_back()?.upstream;
        let upstream = self.table.upstreams.get(&last)?;
        upstream.accepts_new.then(|| opening_hop(upstream, opening.seq))
    }

    fn pick(&mut self, now: Timestamp, opening: &Opening) -> Result<Hop, SelectError> {
        let tokens = &self.tokens;
        // Of upstreams with the same token only the first may get new flows: the packets of the
        // others could not be distinguished from its own.
        let usable = |id: UpstreamId| {
            let token = id.token();
            token != Token(0) && tokens.get(&token).and_then(|same| same.first()) == Some(&id)
        };
        let table = Arc::clone(&self.table);
        let id = self.selector.pick(now, &table, opening, usable)?;
        let upstream = table.upstreams.get(&id).ok_or(SelectError::NoneEligible)?;
        Ok(opening_hop(upstream, opening.seq))
    }

    fn refuse(&mut self, packet: &Packet, reason: Refusal) -> Action {
        self.stats.refusals += 1;
        self.events.push(Event::Refused { flow: packet.flow, reason });
        Action::Reset(Reset { flow: packet.flow, seq: 0 })
    }

    fn reset_open(
        &mut self,
        packet: &Packet,
        upstream: Option<UpstreamId>,
        reason: ResetReason,
    ) -> Action {
        self.stats.resets += 1;
        if let Some(opening) = self.openings.remove(&packet.flow) {
            self.release(&opening);
        }
        self.strays.remove(&packet.flow);
        self.events.push(Event::FlowReset { flow: packet.flow, upstream, reason });
        Action::Reset(Reset { flow: packet.flow, seq: packet.ack })
    }

    fn emit_opening_sent(&mut self, flow: &FlowKey, hop: &Hop, attempt: u32, waited: Duration) {
        let upstream = hop.upstream;
        self.events.push(Event::OpeningSent { flow: *flow, upstream, attempt, waited });
    }

    fn emit_unanswered(&mut self, flow: &FlowKey, opening: &Opening) {
        if opening.stage != Stage::Opening {
            return;
        }
        if let Some(last) = opening.attempts().next_back() {
            let (upstream, attempts) = (last.upstream, opening.attempts().count() as u32);
            self.events.push(Event::Unanswered { flow: *flow, upstream, attempts });
        }
    }

    /// Subtracts a record's flows from the load of its upstreams.
    fn release(&mut self, opening: &Opening) {
        match opening.stage {
            Stage::Opening => {
                opening.attempts().for_each(|attempt| self.selector.close(attempt.upstream, true));
            }
            Stage::Open { upstream, .. } => self.selector.close(upstream, opening.in_flight),
            Stage::Closed { .. } => {}
        }
    }

    /// The timeout that applies to a flow that waits for an answer.
    fn pending_timeout(&self, flow: &FlowKey) -> Option<Duration> {
        let opening = self.openings.get(flow)?;
        match opening.stage {
            Stage::Opening => Some(self.hedge_delay()),
            Stage::Open { .. } if opening.request.is_some_and(|request| request.is_pending()) => {
                self.baselines.get(&flow.service).map(AnswerBaseline::timeout)
            }
            Stage::Open { .. } | Stage::Closed { .. } => None,
        }
    }

    fn schedule(&mut self, deadline: Timestamp, flow: &FlowKey) {
        if let Some(opening) = self.openings.get_mut(flow) {
            opening.deadline = deadline;
            self.timers.push(Reverse((deadline, *flow)));
        }
    }

    fn hedge_delay(&self) -> Duration {
        self.opening_latency.timeout(self.cfg.min_hedge_delay, self.cfg.max_hedge_delay)
    }
}

fn hop_to(upstream: &Upstream) -> Hop {
    Hop {
        upstream: upstream.id,
        zone: upstream.zone,
        token: upstream.id.token(),
        addr: upstream.addr,
    }
}

/// The hop of an opening with the client's initial sequence number.
fn opening_hop(upstream: &Upstream, initial_seq: u32) -> Hop {
    Hop { token: upstream.id.token().bound_to(initial_seq), ..hop_to(upstream) }
}

/// Whether a packet acknowledges bytes of the stream whose first acknowledgement number was `base`.
fn same_stream(packet: &Packet, base: u32) -> bool {
    packet.ack.wrapping_sub(base) < MAX_STREAM_OFFSET_BYTES
}

/// A hash of a flow's client address, which selects the target of a split route.
fn split_key(flow: &FlowKey) -> u64 {
    let client = u64::from(u32::from(*flow.client.ip())) << 16 | u64::from(flow.client.port());
    // Fibonacci hashing spreads adjacent ports over the targets.
    client.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32
}
