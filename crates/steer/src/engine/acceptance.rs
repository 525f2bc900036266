//! Acceptance of openings: which upstream a client has acknowledged.

use std::time::Duration;

use stdx::time::Timestamp;

use super::Engine;
use crate::openings::{Opening, Stage};
use crate::packet::Packet;
use crate::table::UpstreamId;

/// Time for which a client's first acknowledgement may be overtaken by its first request. It is
/// shorter than the clients' retransmission timeout.
const MAX_OVERTAKING_TIME: Duration = Duration::from_millis(100);

/// Openings after which it is known how clients begin their flows.
const MIN_CLIENT_SAMPLE: u32 = 16;

/// Openings that are remembered for it.
const MAX_CLIENT_SAMPLE: u32 = 1_024;

/// How clients begin flows that are open at the only upstream that was tried.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ClientHabits {
    acks_first: u32,
    requests_first: u32,
}

impl ClientHabits {
    fn observe(&mut self, packet: &Packet) {
        if self.acks_first + self.requests_first >= MAX_CLIENT_SAMPLE {
            self.acks_first /= 2;
            self.requests_first /= 2;
        }
        let count =
            if is_request(packet) { &mut self.requests_first } else { &mut self.acks_first };
        *count += 1;
    }

    /// Whether clients acknowledge an opening in a packet of its own, before their first request.
    fn acknowledge_first(self) -> bool {
        self.acks_first >= MIN_CLIENT_SAMPLE && self.requests_first <= self.acks_first / 8
    }
}

impl Engine {
    /// Opens the flow of a packet at the upstream whose answer it acknowledges, if it is tracked.
    pub(super) fn track_opening(
        &mut self,
        now: Timestamp,
        packet: &Packet,
        token_upstream: Option<UpstreamId>,
    ) {
        let max_hedge_delay = self.cfg.max_hedge_delay;
        let Some(opening) = self.openings.get_mut(&packet.flow) else {
            return;
        };
        opening.last_packet_at = now;
        let only_attempt = || {
            let mut attempts = opening.attempts();
            let attempt = attempts.next().filter(|_| attempts.next().is_none())?;
            let token = attempt.upstream.token().bound_to(opening.seq);
            let is_recent = now.since(attempt.sent_at) <= max_hedge_delay;
            (is_recent && packet.token == token).then_some(attempt.upstream)
        };
        // The client's first packets may arrive out of order.
        let Some(upstream) = token_upstream.or_else(only_attempt) else {
            return;
        };
        if opening.stage != Stage::Opening || !packet.has_ack {
            return;
        }
        let opening = *opening;
        if opening.attempts().count() == 1 {
            self.client_habits.observe(packet);
        }
        let upstream = self.acknowledged_attempt(now, &opening, packet).unwrap_or(upstream);
        self.open(&packet.flow, upstream, packet.ack);
        if let Some(attempt) = opening.attempts().find(|attempt| attempt.upstream == upstream) {
            self.record_accepted(now, packet, upstream, now.since(attempt.sent_at));
        }
        if opening.may_be_answered_elsewhere(now, upstream) {
            self.pin(now, &packet.flow);
        }
    }

    /// Whether a flow's first packet is a request whose token may be wrong, and the client's
    /// acknowledgement may still arrive: a later attempt may have answered after the client had
    /// acknowledged an earlier one.
    pub(super) fn awaits_first_ack(&mut self, now: Timestamp, packet: &Packet) -> bool {
        if !self.is_ambiguous(packet) {
            return false;
        }
        let Some(opening) = self.openings.get_mut(&packet.flow) else {
            return false;
        };
        let since = *opening.request_before_ack.get_or_insert(now);
        now.since(since) < MAX_OVERTAKING_TIME
    }

    /// The upstream of a flow whose first acknowledgement was lost. The client has received the
    /// answer of the later attempt, too, but the first one is hedged for want of an acknowledgement
    /// rather than of an answer, unless its upstream is known to fail.
    fn acknowledged_attempt(
        &mut self,
        now: Timestamp,
        opening: &Opening,
        packet: &Packet,
    ) -> Option<UpstreamId> {
        if opening.request_before_ack.is_none() || !is_request(packet) {
            return None;
        }
        let first = opening.attempts().next()?.upstream;
        let upstream = self.table.upstreams.get(&first)?;
        (!self.selector.is_avoided(now, upstream)).then_some(first)
    }

    /// Whether a packet is the first request of a hedged opening, with the token of a later attempt.
    fn is_ambiguous(&self, packet: &Packet) -> bool {
        let Some(opening) = self.openings.get(&packet.flow) else {
            return false;
        };
        let token_of = |id: UpstreamId| id.token().bound_to(opening.seq);
        let mut attempts = opening.attempts();
        let is_first = attempts.next().is_none_or(|first| token_of(first.upstream) == packet.token);
        let is_later = attempts.any(|attempt| token_of(attempt.upstream) == packet.token);
        opening.stage == Stage::Opening
            && packet.has_ack
            && !packet.rst
            && is_request(packet)
            && !is_first
            && is_later
            && self.client_habits.acknowledge_first()
    }
}

fn is_request(packet: &Packet) -> bool {
    packet.data_len > 0
}
