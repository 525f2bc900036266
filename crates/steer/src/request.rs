//! A request on an open flow and its answer, as the client's packets show them.

use std::time::Duration;

use stdx::time::Timestamp;

use crate::baseline::AnswerBaseline;
use crate::packet::Packet;

/// Acknowledgements further ahead than this are of another stream: half of the sequence space.
const AHEAD_MOST: u32 = 1 << 31;

/// A client that leaves before this part of the patience has passed (one in two) may have had
/// reasons of its own.
const LEFT_EARLY_PARTS: u32 = 2;

stdx::value! {
    /// A request that a client has sent.
    pub struct Request {
        /// When its first bytes came.
        pub asked: Timestamp,
        /// What the client had acknowledged by then.
        from: u32,
        /// What it has acknowledged since.
        acked: u32,
        /// Where its bytes end.
        sent_to: u32,
        /// Whether the answer has begun.
        begun: bool,
        /// Whether the answer was judged.
        judged: bool,
    }

    /// How an answer failed.
    pub enum AnswerFailure {
        /// Nothing came for longer than usual.
        NoAnswer,
        /// The flow ended, or the answer, with far fewer bytes than usual.
        Short,
    }

    /// How an answer ended.
    pub enum Verdict {
        /// As usual.
        Good,
        /// It failed.
        Failed(AnswerFailure),
    }

    /// What a packet shows.
    #[derive(Default)]
    pub struct Shown {
        /// Whether a request begins.
        pub asked: bool,
        /// How long the first byte of an answer took, if it has just come, in thousandths of what is
        /// usual; unknown while little was measured.
        pub slowness_milli: Option<u32>,
        /// How the answer to the request before ended, if it did.
        pub verdict: Option<Verdict>,
    }
}

impl Request {
    /// Takes a client's packet on its open flow.
    pub fn follow(
        request: &mut Option<Self>,
        now: Timestamp,
        packet: &Packet,
        usual: &mut AnswerBaseline,
    ) -> Shown {
        let Some(known) = request else {
            return Self::begin(request, now, packet);
        };
        let slowness_milli = known.take_ack(now, packet, usual);
        let more = packet.seq.wrapping_add(packet.data_len.into()).wrapping_sub(known.sent_to);
        let is_new = packet.data_len > 0 && more > 0 && more < AHEAD_MOST;
        if is_new && !known.begun && !known.judged {
            known.sent_to = known.sent_to.wrapping_add(more);
        }
        let is_next = is_new && (known.begun || known.judged);
        let ends = is_next || packet.fin || packet.rst;
        let verdict = if ends { known.judge(now, usual) } else { None };
        let asked = is_next && Self::begin(request, now, packet).asked;
        Shown { asked, slowness_milli, verdict }
    }

    /// Whether nothing of the answer has come yet.
    pub fn is_waiting(&self) -> bool {
        !self.begun && !self.judged
    }

    /// Judges a request whose answer has not begun.
    pub fn judge_silence(&mut self, now: Timestamp, patience: Duration) -> Option<AnswerFailure> {
        let is_silent = self.is_waiting() && now.since(self.asked) >= patience;
        self.judged |= is_silent;
        is_silent.then_some(AnswerFailure::NoAnswer)
    }

    fn begin(request: &mut Option<Self>, now: Timestamp, packet: &Packet) -> Shown {
        if packet.data_len == 0 {
            return Shown::default();
        }
        *request = Some(Self {
            asked: now,
            from: packet.ack,
            acked: packet.ack,
            sent_to: packet.seq.wrapping_add(packet.data_len.into()),
            begun: false,
            judged: false,
        });
        Shown { asked: true, ..Shown::default() }
    }

    fn take_ack(
        &mut self,
        now: Timestamp,
        packet: &Packet,
        usual: &mut AnswerBaseline,
    ) -> Option<u32> {
        let more = packet.ack.wrapping_sub(self.acked);
        if !packet.has_ack || more == 0 || more >= AHEAD_MOST {
            return None;
        }
        self.acked = packet.ack;
        if std::mem::replace(&mut self.begun, true) {
            return None;
        }
        usual.observe_first_byte(now.since(self.asked))
    }

    fn judge(&mut self, now: Timestamp, usual: &mut AnswerBaseline) -> Option<Verdict> {
        if std::mem::replace(&mut self.judged, true) {
            return None;
        }
        if !self.begun {
            let left_early = now.since(self.asked) < usual.patience() / LEFT_EARLY_PARTS;
            return (!left_early).then_some(Verdict::Failed(AnswerFailure::NoAnswer));
        }
        if usual.is_short(self.acked.wrapping_sub(self.from)) {
            return Some(Verdict::Failed(AnswerFailure::Short));
        }
        Some(Verdict::Good)
    }
}
