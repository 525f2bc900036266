//! Tracks a request on an open flow and the acknowledged bytes of its answer, from the client's
//! packets alone.

use std::time::Duration;

use stdx::time::Timestamp;

use crate::acknowledgements::{Acknowledgement, Answer};
use crate::baseline::AnswerBaseline;
use crate::packet::Packet;

/// Maximum forward distance of sequence and acknowledgement numbers: half of the sequence space.
/// Greater distances are old packets or another stream's.
const MAX_SEQ_ADVANCE_BYTES: u32 = 1 << 31;

/// A client that closes within this fraction (1/2) of the answer timeout doesn't count as a failure
/// of the upstream: it may have closed for another reason.
const EARLY_CLOSE_DIVISOR: u32 = 2;

/// Time between a request's packets from which the later ones are copies. Clients send them after
/// 200 ms, and again after twice as long each time.
const MIN_COPY_INTERVAL: Duration = Duration::from_millis(150);

stdx::value! {
    /// A client's request.
    pub struct Request {
        /// When the request's first bytes arrived.
        pub received_at: Timestamp,
        /// The client's acknowledgement number at that time.
        first_ack: u32,
        /// The client's highest acknowledgement number.
        acked: u32,
        /// The sequence number after the request's last byte.
        end_seq: u32,
        /// When the last packet with new data or a new acknowledgement arrived.
        advanced_at: Timestamp,
        /// When the request, or the last copy of it that was reported, arrived.
        copied_at: Timestamp,
        /// Packets with new data.
        packets: u32,
        /// Copies that were reported since the last new data.
        copies: u32,
        /// Whether the client has acknowledged a byte of the answer.
        answer_started: bool,
        /// Whether the outcome was reported; it is reported once.
        reported: bool,
    }

    /// Why an answer counts as failed.
    pub enum AnswerFailure {
        /// No byte arrived within the answer timeout, or before the client closed the flow.
        NoAnswer,
        /// The answer or the flow ended with far fewer bytes than the baseline.
        Short,
    }

    /// Outcome of an answer.
    pub enum AnswerOutcome {
        /// The size is within the baseline.
        Good,
        /// The answer failed.
        Failed(AnswerFailure),
    }

    /// A copy of a request that its client sent for want of an acknowledgement.
    pub struct RequestCopy {
        /// When the request, or the last copy of it, was sent before.
        pub sent_at: Timestamp,
        /// Whether a copy of the same data was sent before. An upstream acknowledges every second packet at
        /// once, even if the request waits in its queue.
        pub repeated: bool,
    }

    /// Changes to the request that a packet caused.
    #[derive(Default)]
    pub struct RequestUpdate {
        /// Whether a new request has started.
        pub started: bool,
        /// Whether bytes of the answer were acknowledged for the first time.
        pub acked: bool,
        /// Time since the last packet with new data or a new acknowledgement, if this one has
        /// neither.
        pub stalled_for: Option<Duration>,
        /// Set if this packet is a copy of the request, because the client has no acknowledgement.
        pub copy: Option<RequestCopy>,
        /// When the upstream acknowledged the request, if the first bytes of the answer tell.
        pub acknowledgement: Option<Acknowledgement>,
        /// Latency of the answer's first byte relative to the baseline, in thousandths. Set when
        /// that byte is acknowledged, once the baseline has enough samples.
        pub latency_ratio_milli: Option<u32>,
        /// Outcome of the previous request, if it has just ended.
        pub outcome: Option<AnswerOutcome>,
    }
}

impl Request {
    /// Updates the flow's current request with a packet of the client.
    pub fn on_packet(
        request: &mut Option<Self>,
        now: Timestamp,
        packet: &Packet,
        baseline: &mut AnswerBaseline,
    ) -> RequestUpdate {
        let Some(current) = request else {
            return Self::start(request, now, packet);
        };
        let acked_before = current.acked;
        let awaited = current.awaits_answer();
        let latency_ratio_milli = current.on_ack(now, packet, baseline);
        let acked = current.acked != acked_before;
        let acknowledgement = (awaited && acked).then(|| {
            let waited = now.since(current.received_at);
            let first_bytes = current.acked.wrapping_sub(current.first_ack);
            // A FIN follows the answer at any time, too.
            let at_any_time = packet.data_len > 0 || packet.fin;
            let answer = Answer { waited, copies: current.copies, first_bytes, at_any_time };
            // Of the packets of a longer request some are acknowledged at once anywhere.
            answer.acknowledgement().filter(|_| current.packets == 1)
        });
        let advance = packet.seq.wrapping_add(packet.data_len.into()).wrapping_sub(current.end_seq);
        let has_new_data = packet.data_len > 0 && advance > 0 && advance < MAX_SEQ_ADVANCE_BYTES;
        if has_new_data && !current.answer_started && !current.reported {
            current.end_seq = current.end_seq.wrapping_add(advance);
            (current.packets, current.copies) = (current.packets + 1, 0);
        }
        let is_next_request = has_new_data && (current.answer_started || current.reported);
        let ended = is_next_request || packet.fin || packet.rst;
        let outcome = if ended { current.finish(now, baseline) } else { None };
        let stalled_for =
            (!has_new_data && !acked).then(|| now.since(current.advanced_at)).filter(|_| !ended);
        if stalled_for.is_none() {
            (current.advanced_at, current.copied_at) = (now, now);
        }
        let is_copy = stalled_for.is_some()
            && packet.data_len > 0
            && !current.answer_started
            && now.since(current.copied_at) >= MIN_COPY_INTERVAL;
        let copy = is_copy.then(|| {
            let sent_at = std::mem::replace(&mut current.copied_at, now);
            current.copies += 1;
            RequestCopy { sent_at, repeated: current.copies > 1 }
        });
        let started = is_next_request && Self::start(request, now, packet).started;
        let acknowledgement = acknowledgement.flatten();
        RequestUpdate {
            started,
            acked,
            stalled_for,
            copy,
            acknowledgement,
            latency_ratio_milli,
            outcome,
        }
    }

    /// The client's highest acknowledgement number.
    pub fn acked(&self) -> u32 {
        self.acked
    }

    /// Whether the request still waits for the first byte of its answer.
    pub fn is_pending(&self) -> bool {
        !self.answer_started && !self.reported
    }

    /// Whether no byte of the answer was acknowledged yet, however long ago the request was sent.
    pub fn awaits_answer(&self) -> bool {
        !self.answer_started
    }

    /// Marks a pending request as failed if its answer timeout has passed.
    pub fn check_timeout(&mut self, now: Timestamp, timeout: Duration) -> Option<AnswerFailure> {
        let timed_out = self.is_pending() && now.since(self.received_at) >= timeout;
        self.reported |= timed_out;
        timed_out.then_some(AnswerFailure::NoAnswer)
    }

    fn start(request: &mut Option<Self>, now: Timestamp, packet: &Packet) -> RequestUpdate {
        if packet.data_len == 0 {
            return RequestUpdate::default();
        }
        *request = Some(Self {
            received_at: now,
            first_ack: packet.ack,
            acked: packet.ack,
            end_seq: packet.seq.wrapping_add(packet.data_len.into()),
            advanced_at: now,
            copied_at: now,
            packets: 1,
            copies: 0,
            answer_started: false,
            reported: false,
        });
        RequestUpdate { started: true, ..RequestUpdate::default() }
    }

    fn on_ack(
        &mut self,
        now: Timestamp,
        packet: &Packet,
        baseline: &mut AnswerBaseline,
    ) -> Option<u32> {
        let advance = packet.ack.wrapping_sub(self.acked);
        if !packet.has_ack || advance == 0 || advance >= MAX_SEQ_ADVANCE_BYTES {
            return None;
        }
        self.acked = packet.ack;
        if std::mem::replace(&mut self.answer_started, true) || baseline.may_be_rejection(advance) {
            return None;
        }
        baseline.observe_first_byte(now.since(self.received_at))
    }

    fn finish(&mut self, now: Timestamp, baseline: &mut AnswerBaseline) -> Option<AnswerOutcome> {
        if std::mem::replace(&mut self.reported, true) {
            return None;
        }
        if !self.answer_started {
            let closed_early =
                now.since(self.received_at) < baseline.timeout() / EARLY_CLOSE_DIVISOR;
            return (!closed_early).then_some(AnswerOutcome::Failed(AnswerFailure::NoAnswer));
        }
        if baseline.observe_size(self.acked.wrapping_sub(self.first_ack)) {
            return Some(AnswerOutcome::Failed(AnswerFailure::Short));
        }
        Some(AnswerOutcome::Good)
    }
}
