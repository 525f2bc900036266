//! Resets of flows at upstreams that have ended or fallen silent, ahead of their clients' next packets.

use std::collections::VecDeque;
use std::time::Duration;

use balance::TokenBucket;
use health::Sent;
use indexmap::IndexSet;
use stdx::time::Timestamp;

use super::Engine;
use crate::acknowledgements::Acknowledgement;
use crate::decision::{Event, Reset};
use crate::openings::Stage;
use crate::packet::{FlowKey, Packet};
use crate::request::{Request, RequestUpdate};
use crate::stranded::{self, Progress, ResetReason};
use crate::table::{Table, UpstreamId};

/// Resets per second, and the burst. Clients open new flows after them.
const MAX_RESETS_PER_S: f64 = 200.0;
const RESET_BURST: f64 = 40.0;

/// Interval between two searches for the flows of upstreams.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which packets have waited without a break from which on one may have waited for long:
/// half of the time after which clients send copies.
const MIN_LATE: Duration = Duration::from_millis(100);

/// Flows that may be reset without a packet of theirs.
#[derive(Debug)]
pub(super) struct Stranded {
    /// Upstreams whose flows are to be searched for.
    upstreams: IndexSet<UpstreamId>,
    flows: VecDeque<FlowKey>,
    searched_at: Timestamp,
    budget: TokenBucket,
}

impl Stranded {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            upstreams: IndexSet::new(),
            flows: VecDeque::new(),
            searched_at: now,
            budget: TokenBucket::new(now, RESET_BURST, MAX_RESETS_PER_S),
        }
    }
}

impl Engine {
    /// Returns the next flow to reset, if any; to be called until it returns `None`, after
    /// [`Engine::on_timer`]. None while received packets wait: they may show that a flow is answered.
    pub fn next_reset(&mut self, now: Timestamp) -> Option<Reset> {
        if self.backlogged_since.is_some() {
            return None;
        }
        self.search_stranded(now);
        while let Some(flow) = self.stranded.flows.front().copied() {
            let reset = self.stranded_for(now, &flow);
            if reset.is_some() && !self.stranded.budget.take(now, 1.0) {
                return None;
            }
            self.stranded.flows.pop_front();
            if let Some((reason, seq)) = reset {
                return Some(self.reset_idle(&flow, reason, seq));
            }
        }
        None
    }

    /// Follows the last request of a flow that is not tracked. Returns its progress.
    pub(super) fn track_stray(
        &mut self,
        now: Timestamp,
        packet: &Packet,
        upstream: UpstreamId,
    ) -> Progress {
        let flow = &packet.flow;
        if packet.fin || packet.rst {
            self.strays.remove(flow);
        }
        let is_known = packet.data_len > 0 || self.strays.get(flow).is_some();
        if packet.fin || packet.rst || !is_known || self.openings.get(flow).is_some() {
            return Progress::Unknown;
        }
        let baseline = self.baselines.entry(flow.service).or_default();
        let stray = self.strays.at(now, flow, upstream);
        let requested_at = stray.request.map_or(now, |request| request.received_at);
        let update = Request::on_packet(&mut stray.request, now, packet, baseline);
        if update.acked {
            let recently = packet.data_len == 0;
            self.selector.record_alive(now, &self.table, upstream, requested_at, recently);
        }
        // The request may be a copy whose original went through another entry.
        let late = update.acknowledgement.filter(|kind| *kind == Acknowledgement::Late);
        self.on_acknowledgement(upstream, late);
        self.on_progress(now, upstream, &update)
    }

    /// Takes note of packets that wait to be read.
    pub(super) fn note_backlog(&mut self, now: Timestamp, backlogged: bool) {
        // Those that were read before the first call without a backlog have waited, too.
        if self.backlogged_since.is_some_and(|since| now.since(since) >= MIN_LATE) {
            self.late_until = now;
        }
        self.backlogged_since = backlogged.then(|| self.backlogged_since.unwrap_or(now));
    }

    /// Takes note of a copy of a request, and returns the flow's progress. If the request had waited here
    /// for long, its upstream got it too late to acknowledge it before the copy.
    pub(super) fn on_progress(
        &mut self,
        now: Timestamp,
        upstream: UpstreamId,
        update: &RequestUpdate,
    ) -> Progress {
        let Some(stalled_for) = update.stalled_for else {
            return Progress::Advancing;
        };
        let Some(copy) = update.copy.filter(|copy| copy.sent_at > self.late_until) else {
            return Progress::Stalled(stalled_for);
        };
        let was_due = copy.repeated || self.acknowledges_at_once(upstream);
        let sent = if was_due { Sent::Request } else { Sent::QueuedRequest };
        self.stats.unacknowledged_requests += u64::from(was_due);
        self.stats.request_copies += 1;
        self.selector.record_unanswered_request(now, upstream, sent, copy.sent_at);
        self.note_stranded(now, upstream);
        if was_due { Progress::Unacknowledged(stalled_for) } else { Progress::Stalled(stalled_for) }
    }

    /// Has the flows of an upstream searched for, if there is evidence against it.
    pub(super) fn note_stranded(&mut self, now: Timestamp, id: UpstreamId) {
        let upstream = self.table.upstreams.get(&id);
        let strands = |upstream| self.selector.condition(now, upstream).strands_flows(now);
        if upstream.is_some_and(strands) {
            self.stranded.upstreams.insert(id);
        }
    }

    /// Has the flows of upstreams that have ended since the table `before` searched for. Flows that
    /// come to them later are reset at a packet of theirs.
    pub(super) fn note_ended(&mut self, before: &Table) {
        let had_ended =
            |id: &UpstreamId| before.upstreams.get(id).is_some_and(|upstream| upstream.ended);
        let ended = self.table.upstreams.values().filter(|upstream| upstream.ended);
        let ended = ended.map(|upstream| upstream.id).filter(|id| !had_ended(id));
        self.stranded.upstreams.extend(ended);
    }

    fn search_stranded(&mut self, now: Timestamp) {
        if self.stranded.upstreams.is_empty()
            || !self.stranded.flows.is_empty()
            || now.since(self.stranded.searched_at) < SEARCH_INTERVAL
        {
            return;
        }
        self.stranded.searched_at = now;
        self.stats.stranded_searches += 1;
        let upstreams = std::mem::take(&mut self.stranded.upstreams);
        let tracked = self.openings.iter().filter_map(|(flow, opening)| match opening.stage {
            Stage::Open { upstream, .. } => Some((flow, upstream)),
            Stage::Opening | Stage::Closed { .. } => None,
        });
        let strays = self.strays.iter().map(|(flow, stray)| (flow, stray.upstream));
        let flows = tracked.chain(strays).filter(|(_, upstream)| upstreams.contains(upstream));
        self.stranded.flows = flows.map(|(flow, _)| *flow).collect();
    }

    /// Why a flow is to be reset without a packet of its client, and the reset's sequence number.
    fn stranded_for(&self, now: Timestamp, flow: &FlowKey) -> Option<(ResetReason, u32)> {
        let tracked = self.openings.get(flow).map(|opening| match opening.stage {
            Stage::Open { upstream, base } => Some((upstream, opening.request, base)),
            Stage::Opening | Stage::Closed { .. } => None,
        });
        let stray = || self.strays.get(flow).map(|stray| (stray.upstream, stray.request, 0));
        let (upstream, request, base) = tracked.unwrap_or_else(stray)?;
        let repeatable = self.table.routes.get(&flow.service)?.repeatable;
        let condition = self.selector.condition(now, self.table.upstreams.get(&upstream)?);
        let waits = request.is_some_and(|request| request.awaits_answer());
        let reason = stranded::assess_idle(now, repeatable, condition, waits)?;
        Some((reason, request.map_or(base, |request| request.acked())))
    }

    fn reset_idle(&mut self, flow: &FlowKey, reason: ResetReason, seq: u32) -> Reset {
        self.stats.resets += 1;
        self.stats.resets_ahead += 1;
        let stray = self.strays.remove(flow).map(|stray| stray.upstream);
        let opening = self.openings.remove(flow);
        let upstream = opening.and_then(|opening| {
            self.release(&opening);
            opening.upstream()
        });
        let upstream = upstream.or(stray);
        self.events.push(Event::FlowReset { flow: *flow, upstream, reason });
        Reset { flow: *flow, seq }
    }
}
