//! What to do with each packet, given the table, the openings and `now`.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use balance::TokenBucket;
use health::{Outcome, OutlierState, Tally};
use indexmap::IndexMap;
use stdx::time::Timestamp;

use crate::baseline::AnswerBaseline;
use crate::decision::{Action, Drop, Event, Hedge, Hop, Refusal, Reset, Settings, Stats};
use crate::latency::LatencyEstimator;
use crate::openings::{Opening, Openings, Stage};
use crate::packet::{FlowKey, Packet, RawPacket};
use crate::request::{AnswerFailure, Request, Verdict};
use crate::selection::{FailureEffect, SelectError, UpstreamSelector};
use crate::table::{Route, Table, Token, Upstream, UpstreamId, ZoneId};

/// Hedges that each opening adds to the budget; a fraction, so that hedges can't double a load.
const HEDGES_PER_OPENING: f64 = 0.2;

/// Hedges that may be sent at once, after a time with few.
const HEDGE_BURST: f64 = 20.0;

/// Hedges a second that are allowed however few openings there are.
const HEDGES_PER_S: f64 = 5.0;

/// Time without a packet after which an unanswered opening is forgotten: clients give up at 1.4 s.
const FORGET_UNANSWERED: Duration = Duration::from_secs(2);

/// Time without a packet after which a flow that has ended is forgotten.
const FORGET_CLOSED: Duration = Duration::from_secs(2);

/// Time without a packet after which an open flow no longer counts as in flight; its token still
/// steers it.
const FORGET_OPEN: Duration = Duration::from_secs(20);

/// An acknowledgement at most this far after the first belongs to the same answer stream: half of
/// the sequence space.
const SAME_STREAM: u32 = 1 << 31;

/// The decisions of one entry.
#[derive(Debug)]
pub struct Engine {
    cfg: Settings,
    table: Arc<Table>,
    tokens: IndexMap<Token, Vec<UpstreamId>>,
    choices: UpstreamSelector,
    openings: Openings,
    timers: BinaryHeap<Reverse<(Timestamp, FlowKey)>>,
    opening_latency: LatencyEstimator,
    /// What answers look like, by the address that clients use.
    usual: IndexMap<SocketAddrV4, AnswerBaseline>,
    hedges: TokenBucket,
    last_look: Timestamp,
    stats: Stats,
    events: Vec<Event>,
}

impl Engine {
    /// An engine that knows no upstream.
    pub fn new(now: Timestamp, cfg: Settings) -> Self {
        Self {
            cfg,
            table: Arc::new(Table::default()),
            tokens: IndexMap::new(),
            choices: UpstreamSelector::new(cfg.possibly_cold_period, cfg.seed),
            openings: Openings::new(cfg.max_openings),
            timers: BinaryHeap::new(),
            opening_latency: LatencyEstimator::default(),
            usual: IndexMap::new(),
            hedges: TokenBucket::new(now, HEDGE_BURST, HEDGES_PER_S),
            last_look: now,
            stats: Stats::default(),
            events: Vec::new(),
        }
    }

    /// Decides for a packet of a client. `raw` is the packet as it came, kept if it is an opening.
    pub fn on_packet(&mut self, now: Timestamp, packet: &Packet, raw: &[u8]) -> Action {
        if !self.table.synced {
            return Action::Hold;
        }
        if packet.syn && !packet.has_ack {
            return self.on_opening(now, packet, raw);
        }
        self.on_later(now, packet)
    }

    /// The next opening packet that has to be sent to a further upstream, if one is due.
    ///
    /// `behind` says that packets are waiting to be read. Then, and after a stall, answers may be
    /// among them, and silence is counted from here.
    pub fn on_timer(&mut self, now: Timestamp, behind: bool) -> Option<Hedge> {
        let stalled = behind || now.since(self.last_look) > self.cfg.stall_threshold;
        self.last_look = now;
        while let Some(Reverse((due, flow))) = self.timers.peek().copied() {
            if due > now {
                return None;
            }
            self.timers.pop();
            if self.openings.get(&flow).is_none_or(|opening| opening.due != due) {
                continue;
            }
            if stalled && let Some(wait) = self.waits_for(&flow) {
                self.schedule(now + wait, &flow);
                continue;
            }
            if let Some(hedge) = self.on_due(now, &flow) {
                return Some(hedge);
            }
        }
        None
    }

    /// When [`Engine::on_timer`] has work next.
    pub fn next_timer(&self) -> Option<Timestamp> {
        self.timers.peek().map(|Reverse((due, _))| *due)
    }

    /// Takes over a new table.
    pub fn apply(&mut self, table: Arc<Table>, own_zone: &str) {
        let own_zone = table.zones.iter().position(|zone| zone == own_zone);
        self.choices.apply(&table, own_zone.map(|place| ZoneId(place as u16)));
        self.tokens.clear();
        for id in table.upstreams.keys() {
            self.tokens.entry(id.token()).or_default().push(*id);
        }
        self.usual.retain(|addr, _| table.routes.contains_key(addr));
        self.table = table;
    }

    /// Takes what the entry `from` has seen of upstreams' answers.
    pub fn on_peer_updates(&mut self, now: Timestamp, from: u64, news: &[Tally<UpstreamId>]) {
        for tally in news {
            let standing = self.choices.heard(now, from, tally);
            self.note_standing(tally.key, standing);
        }
    }

    /// What other entries should know of upstreams' answers since the last call.
    pub fn take_updates(&mut self, now: Timestamp) -> Vec<Tally<UpstreamId>> {
        self.choices.take_updates(now)
    }

    /// The table in force.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Since when some service's upstreams are all in zones that do not answer.
    pub fn unusable_since(&self) -> Option<Timestamp> {
        self.choices.unusable_since(&self.table)
    }

    /// Zones in which nothing answers.
    pub fn unreachable_zones(&self) -> impl Iterator<Item = ZoneId> + '_ {
        self.choices.unreachable_zones()
    }

    /// Notes that a zone can be reached, from elsewhere than openings.
    pub fn on_zone_reachable(&mut self, now: Timestamp, zone: &str) {
        let place = self.table.zones.iter().position(|name| name == zone);
        if let Some(place) = place {
            self.choices.on_zone_reachable(now, &self.table, ZoneId(place as u16));
        }
    }

    /// What was counted.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// AnswerBaseline time of an opening.
    pub fn opening_latency(&self) -> &LatencyEstimator {
        &self.opening_latency
    }

    /// Openings that are remembered.
    pub fn tracked_openings(&self) -> usize {
        self.openings.len()
    }

    /// Open flows that this entry counts at an upstream.
    pub fn open_flows(&self, id: UpstreamId) -> u32 {
        self.choices.open_flows(id)
    }

    /// The decisions since the last call.
    pub fn take_events(&mut self) -> std::vec::Drain<'_, Event> {
        self.events.drain(..)
    }

    fn on_opening(&mut self, now: Timestamp, packet: &Packet, raw: &[u8]) -> Action {
        let flow = packet.flow;
        if let Some(known) = self.openings.get_mut(&flow).filter(|known| known.seq == packet.seq) {
            known.last = now;
            return match known.stage {
                Stage::Opening => self.on_copy(now, &flow),
                Stage::Refused => Action::Drop(Drop::AfterRefusal),
                Stage::Open { .. } | Stage::Closed { .. } => Action::Drop(Drop::LateRetransmit),
            };
        }
        if let Some(before) = self.openings.remove(&flow) {
            self.release(&before);
        }
        self.stats.openings += 1;
        self.hedges.add(HEDGES_PER_OPENING);
        let Some(service) =
            self.table.routes.get(&flow.service).and_then(|route| route.service_for(draw(&flow)))
        else {
            return self.refuse(packet, Refusal::NoRoute);
        };
        let mut opening = Opening::new(now, service, packet.seq, RawPacket::new(raw));
        let hop = match self.pick(now, &opening) {
            Ok(hop) => hop,
            Err(SelectError::NoneEligible) => return self.refuse(packet, Refusal::NoneEligible),
            Err(SelectError::AllAtLimit) => return self.refuse(packet, Refusal::AllAtLimit),
        };
        opening.add_try(now, hop.upstream, hop.zone);
        self.note_opened(&flow, &hop, 0, Duration::ZERO);
        if let Some(evicted) = self.openings.insert(flow, opening) {
            self.release(&evicted);
        }
        self.schedule(now + self.timeout(), &flow);
        Action::Forward(hop)
    }

    /// A client's copy of an opening that nobody answered yet: to a further upstream if there is
    /// one, because the first may be gone, else to the newest again.
    fn on_copy(&mut self, now: Timestamp, flow: &FlowKey) -> Action {
        self.stats.retransmits += 1;
        self.strike_newest(now, flow);
        match self.try_further(now, flow) {
            Some(hop) => Action::Forward(hop),
            None => self.newest_hop(flow).map_or(Action::Drop(Drop::UnknownToken), Action::Forward),
        }
    }

    /// A packet of a flow that is open, as far as the client knows.
    fn on_later(&mut self, now: Timestamp, packet: &Packet) -> Action {
        let flow = packet.flow;
        if !self.table.routes.contains_key(&flow.service) {
            return self.on_routeless(packet);
        }
        let upstream = self.note_progress(now, packet);
        let by_token = self.by_token(packet);
        let upstream = match (upstream, by_token) {
            (Some(recorded), token) => {
                self.stats.corrected += u64::from(token != Some(recorded));
                recorded
            }
            (None, Some(token)) => token,
            (None, None) => return Action::Drop(Drop::UnknownToken),
        };
        let Some(upstream) = self.table.upstreams.get(&upstream) else {
            return Action::Drop(Drop::UnknownToken);
        };
        if upstream.ended && !packet.rst {
            let upstream = upstream.id;
            return self.reset_open(packet, Some(upstream));
        }
        self.stats.steered += 1;
        Action::Forward(hop_to(upstream))
    }

    fn on_routeless(&mut self, packet: &Packet) -> Action {
        if self.table.removed_routes.contains(&packet.flow.service) && !packet.rst {
            return self.reset_open(packet, None);
        }
        Action::Drop(Drop::NoRoute)
    }

    /// Notes what a packet says about its opening. Returns the flow's upstream if that is known.
    fn note_progress(&mut self, now: Timestamp, packet: &Packet) -> Option<UpstreamId> {
        let by_token = self.by_token(packet);
        let opening = self.openings.get_mut(&packet.flow)?;
        opening.last = now;
        if opening.stage == Stage::Opening && packet.has_ack {
            let tried = opening.tries().find(|tried| Some(tried.upstream) == by_token).copied();
            let upstream = tried.map(|tried| tried.upstream).or(by_token)?;
            opening.stage = Stage::Open { upstream, base: packet.ack };
            let known = *opening;
            for other in known.tries().filter(|tried| tried.upstream != upstream) {
                self.choices.close(other.upstream);
            }
            if let Some(tried) = tried {
                self.note_accepted(now, packet, tried.upstream, now.since(tried.at));
            }
        }
        self.note_answer(now, packet);
        let ends = packet.fin || packet.rst;
        let opening = self.openings.get_mut(&packet.flow)?;
        match opening.stage {
            Stage::Open { upstream, base } => {
                if ends {
                    opening.stage = Stage::Closed { upstream, base };
                    self.choices.close(upstream);
                }
                same_stream(packet, base).then_some(upstream)
            }
            Stage::Closed { upstream, base } => same_stream(packet, base).then_some(upstream),
            Stage::Opening if ends => {
                let given_up = self.openings.remove(&packet.flow)?;
                self.release(&given_up);
                None
            }
            Stage::Opening | Stage::Refused => None,
        }
    }

    /// Notes what a packet of an open flow says about the answer to its request.
    fn note_answer(&mut self, now: Timestamp, packet: &Packet) {
        let Some(opening) = self.openings.get_mut(&packet.flow) else {
            return;
        };
        let Stage::Open { upstream, base } = opening.stage else {
            return;
        };
        if !same_stream(packet, base) {
            return;
        }
        let usual = self.usual.entry(packet.flow.service).or_default();
        let asked = opening.request.map_or(now, |request| request.asked);
        let shown = Request::follow(&mut opening.request, now, packet, usual);
        if shown.asked {
            let patience = usual.patience();
            self.schedule(now + patience, &packet.flow);
        }
        if let Some(slowness) = shown.slowness_milli {
            self.choices.began(now, upstream, slowness);
        }
        match shown.verdict {
            None => {}
            Some(Verdict::Good) => {
                let standing = self.choices.answered(now, upstream, Outcome::Good);
                self.note_standing(upstream, standing);
            }
            Some(Verdict::Failed(failure)) => {
                self.note_failed(now, &packet.flow, upstream, failure, now.since(asked));
            }
        }
    }

    /// Counts a request that has waited for its answer for too long.
    fn note_silence(&mut self, now: Timestamp, flow: &FlowKey) {
        let Some(opening) = self.openings.get_mut(flow) else {
            return;
        };
        let (Stage::Open { upstream, .. }, Some(request)) = (opening.stage, &mut opening.request)
        else {
            return;
        };
        let patience = self
            .usual
            .get(&flow.service)
            .map_or_else(|| AnswerBaseline::default().patience(), AnswerBaseline::patience);
        let asked = request.asked;
        if let Some(failure) = request.judge_silence(now, patience) {
            self.note_failed(now, flow, upstream, failure, now.since(asked));
        }
    }

    fn note_failed(
        &mut self,
        now: Timestamp,
        flow: &FlowKey,
        upstream: UpstreamId,
        failure: AnswerFailure,
        waited: Duration,
    ) {
        self.stats.answers_failed += 1;
        self.events.push(Event::AnswerFailed { flow: *flow, upstream, failure, waited });
        let standing = self.choices.answered(now, upstream, Outcome::Failed);
        self.note_standing(upstream, standing);
    }

    fn note_standing(&mut self, upstream: UpstreamId, standing: Option<OutlierState>) {
        if let Some(standing) = standing {
            self.events.push(Event::OutlierStateChanged { upstream, state: standing });
        }
    }

    fn note_accepted(
        &mut self,
        now: Timestamp,
        packet: &Packet,
        upstream: UpstreamId,
        took: Duration,
    ) {
        self.stats.accepted += 1;
        // The token says which try won, so that a slow first one counts as what it was.
        self.opening_latency.observe(took);
        self.events.push(Event::Accepted { flow: packet.flow, upstream, took });
        if self.choices.succeeded(now, &self.table, upstream) {
            self.events.push(Event::UpstreamRecovered { upstream });
        }
    }

    /// The upstream that a packet's token names, among those its address may ever have gone to.
    fn by_token(&self, packet: &Packet) -> Option<UpstreamId> {
        let route = self.table.routes.get(&packet.flow.service)?;
        let named = self.tokens.get(&packet.token)?;
        named.iter().copied().find(|id| self.may_hold(route, *id))
    }

    fn may_hold(&self, route: &Route, id: UpstreamId) -> bool {
        self.table
            .upstreams
            .get(&id)
            .is_some_and(|upstream| route.all_services.contains(&upstream.service))
    }

    /// What is due for a flow: a further try, or to be forgotten.
    fn on_due(&mut self, now: Timestamp, flow: &FlowKey) -> Option<Hedge> {
        let opening = *self.openings.get(flow)?;
        let keep = match opening.stage {
            Stage::Opening => FORGET_UNANSWERED,
            Stage::Open { .. } => FORGET_OPEN,
            Stage::Closed { .. } | Stage::Refused => FORGET_CLOSED,
        };
        let forget_at = opening.last + keep;
        if forget_at <= now {
            let forgotten = self.openings.remove(flow)?;
            self.note_unanswered(flow, &forgotten);
            self.release(&forgotten);
            return None;
        }
        self.note_silence(now, flow);
        let hedge = self.hedge(now, flow, &opening);
        let next = if hedge.is_some() { now + self.timeout() } else { forget_at };
        self.schedule(next, flow);
        hedge
    }

    fn hedge(&mut self, now: Timestamp, flow: &FlowKey, opening: &Opening) -> Option<Hedge> {
        if opening.stage != Stage::Opening {
            return None;
        }
        self.strike_newest(now, flow);
        let raw = opening.raw?;
        if opening.tries().count() >= self.cfg.max_attempts as usize || !self.hedges.take(now, 1.0)
        {
            return None;
        }
        let hop = self.try_further(now, flow)?;
        self.stats.hedges += 1;
        Some(Hedge { flow: *flow, hop, raw })
    }

    fn strike_newest(&mut self, now: Timestamp, flow: &FlowKey) {
        let Some(id) = self.openings.get_mut(flow).and_then(Opening::strike_newest) else {
            return;
        };
        match self.choices.struck(now, &self.table, id) {
            FailureEffect::Counted => {}
            FailureEffect::UpstreamAvoided => {
                self.events.push(Event::UpstreamAvoided { upstream: id })
            }
            FailureEffect::ZoneAvoided => {
                if let Some(upstream) = self.table.upstreams.get(&id) {
                    self.events.push(Event::ZoneAvoided { zone: upstream.zone });
                }
            }
        }
    }

    fn try_further(&mut self, now: Timestamp, flow: &FlowKey) -> Option<Hop> {
        let opening = *self.openings.get(flow)?;
        let attempt = opening.tries().count() as u32;
        let hop = self.pick(now, &opening).ok()?;
        let added = self
            .openings
            .get_mut(flow)
            .is_some_and(|known| known.add_try(now, hop.upstream, hop.zone));
        if !added {
            self.choices.close(hop.upstream);
            return None;
        }
        self.note_opened(flow, &hop, attempt, now.since(opening.since));
        Some(hop)
    }

    fn newest_hop(&self, flow: &FlowKey) -> Option<Hop> {
        let newest = self.openings.get(flow)?.tries().next_back()?.upstream;
        let upstream = self.table.upstreams.get(&newest)?;
        upstream.accepts_new.then(|| hop_to(upstream))
    }

    fn pick(&mut self, now: Timestamp, opening: &Opening) -> Result<Hop, SelectError> {
        let tokens = &self.tokens;
        // Of upstreams whose tokens collide only the first may open flows: the others' packets
        // could not be told apart.
        let usable = |id: UpstreamId| {
            let token = id.token();
            token != Token(0) && tokens.get(&token).and_then(|same| same.first()) == Some(&id)
        };
        let table = Arc::clone(&self.table);
        let id = self.choices.pick(now, &table, opening, usable)?;
        let upstream = table.upstreams.get(&id).ok_or(SelectError::NoneEligible)?;
        Ok(hop_to(upstream))
    }

    fn refuse(&mut self, packet: &Packet, reason: Refusal) -> Action {
        self.stats.refusals += 1;
        self.events.push(Event::Refused { flow: packet.flow, reason });
        Action::Reset(Reset { flow: packet.flow, seq: 0 })
    }

    fn reset_open(&mut self, packet: &Packet, upstream: Option<UpstreamId>) -> Action {
        self.stats.resets += 1;
        self.events.push(Event::FlowReset { flow: packet.flow, upstream });
        Action::Reset(Reset { flow: packet.flow, seq: packet.ack })
    }

    fn note_opened(&mut self, flow: &FlowKey, hop: &Hop, attempt: u32, waited: Duration) {
        let upstream = hop.upstream;
        self.events.push(Event::OpeningSent { flow: *flow, upstream, attempt, waited });
    }

    fn note_unanswered(&mut self, flow: &FlowKey, opening: &Opening) {
        if opening.stage != Stage::Opening {
            return;
        }
        if let Some(newest) = opening.tries().next_back() {
            let (upstream, attempts) = (newest.upstream, opening.tries().count() as u32);
            self.events.push(Event::Unanswered { flow: *flow, upstream, attempts });
        }
    }

    /// Takes a record's flows off the counts.
    fn release(&mut self, opening: &Opening) {
        match opening.stage {
            Stage::Opening => opening.tries().for_each(|tried| self.choices.close(tried.upstream)),
            Stage::Open { upstream, .. } => self.choices.close(upstream),
            Stage::Closed { .. } | Stage::Refused => {}
        }
    }

    /// How long the next packet of a flow that waits for one may usually take.
    fn waits_for(&self, flow: &FlowKey) -> Option<Duration> {
        let opening = self.openings.get(flow)?;
        match opening.stage {
            Stage::Opening => Some(self.timeout()),
            Stage::Open { .. } if opening.request.is_some_and(|request| request.is_waiting()) => {
                self.usual.get(&flow.service).map(AnswerBaseline::patience)
            }
            Stage::Open { .. } | Stage::Closed { .. } | Stage::Refused => None,
        }
    }

    fn schedule(&mut self, due: Timestamp, flow: &FlowKey) {
        if let Some(opening) = self.openings.get_mut(flow) {
            opening.due = due;
            self.timers.push(Reverse((due, *flow)));
        }
    }

    fn timeout(&self) -> Duration {
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

/// Whether a packet acknowledges bytes of the stream that began at `base`.
fn same_stream(packet: &Packet, base: u32) -> bool {
    packet.ack.wrapping_sub(base) < SAME_STREAM
}

/// A number that is the same for all packets of a flow, for a route that is split.
fn draw(flow: &FlowKey) -> u64 {
    let client = u64::from(u32::from(*flow.client.ip())) << 16 | u64::from(flow.client.port());
    // Fibonacci hashing spreads neighbouring ports.
    client.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32
}
