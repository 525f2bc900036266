//! Flows whose first packets have arrived without their opening, and that the other entries are asked
//! about.

use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;

use crate::packet::FlowKey;
use crate::pins::Pin;

/// Time after which a missing answer counts as one that knows nothing. Queued packets and clients'
/// retransmission timeouts are longer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a settled inquiry counts.
const SETTLED_LIFETIME: Duration = Duration::from_secs(1);

/// Maximum number of inquiries that are awaited. With the flows of unknown tokens that are looked up
/// at the same time, their packets fit into the queue.
const MAX_AWAITED: usize = 128;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Awaited,
    /// Its packets can be handled.
    Settled,
    /// The caller knows that its packets can be handled.
    Reported,
}

#[derive(Debug, Clone, Copy)]
struct Inquiry {
    /// The client's initial sequence number and first acknowledgement number, which distinguish flows
    /// on the same ports.
    initial_seq: u32,
    ack: u32,
    begun_at: Timestamp,
    state: State,
}

/// Result of [`Inquiries::check`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// The other entries have to be asked; they were not yet.
    Begun,
    /// Not all of the other entries have answered.
    Awaited,
    /// No other entry knows the flow, or those that do don't answer.
    Settled,
    /// Too many flows are asked about.
    Full,
}

/// A bounded table of inquiries, in the order in which they began.
#[derive(Debug, Clone, Default)]
pub struct Inquiries {
    flows: IndexMap<FlowKey, Inquiry>,
    timed_out: u64,
}

impl Inquiries {
    /// Looks for the inquiry about the flow of a client's first packet, and begins one if there is none.
    pub fn check(&mut self, now: Timestamp, flow: &FlowKey, initial_seq: u32, ack: u32) -> Check {
        self.settle_overdue(now);
        let current = self.flows.get(flow).filter(|inquiry| inquiry.initial_seq == initial_seq);
        match current.map(|inquiry| inquiry.state) {
            Some(State::Awaited) => return Check::Awaited,
            Some(State::Settled | State::Reported) => return Check::Settled,
            None => {}
        }
        let awaited = self.flows.values().filter(|inquiry| inquiry.state == State::Awaited);
        if awaited.count() >= MAX_AWAITED {
            return Check::Full;
        }
        self.flows.shift_remove(flow);
        self.flows
            .insert(*flow, Inquiry { initial_seq, ack, begun_at: now, state: State::Awaited });
        Check::Begun
    }

    /// Whether a pin answers the inquiry about its flow; `None` if there is none.
    pub fn is_answer(&self, pin: &Pin) -> Option<bool> {
        let inquiry = self.flows.get(&pin.flow)?;
        Some(pin.begins_with(inquiry.initial_seq, inquiry.ack))
    }

    /// Number of inquiries that were settled without all answers.
    pub fn timed_out(&self) -> u64 {
        self.timed_out
    }

    /// All other entries that were asked have answered, or one that knows the flow has.
    /// Returns whether an answer was awaited.
    pub fn settle(&mut self, flow: &FlowKey) -> bool {
        let awaited = self.flows.get_mut(flow).filter(|it| it.state == State::Awaited);
        awaited.map(|inquiry| inquiry.state = State::Settled).is_some()
    }

    /// The inquiry about a flow has no further use.
    pub fn remove(&mut self, flow: &FlowKey) {
        self.flows.shift_remove(flow);
    }

    /// The next flow that was settled since the last call.
    pub fn next_settled(&mut self, now: Timestamp) -> Option<FlowKey> {
        self.settle_overdue(now);
        let mut inquiries = self.flows.iter_mut();
        let (flow, inquiry) = inquiries.find(|(_, inquiry)| inquiry.state == State::Settled)?;
        inquiry.state = State::Reported;
        Some(*flow)
    }

    /// When the next inquiry is settled without an answer.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let mut inquiries = self.flows.values();
        let first = inquiries.find(|inquiry| inquiry.state == State::Awaited)?;
        Some(first.begun_at + ANSWER_TIMEOUT)
    }

    fn settle_overdue(&mut self, now: Timestamp) {
        self.flows.retain(|_, inquiry| now.since(inquiry.begun_at) < SETTLED_LIFETIME);
        for inquiry in self.flows.values_mut() {
            if inquiry.state == State::Awaited && now.since(inquiry.begun_at) >= ANSWER_TIMEOUT {
                inquiry.state = State::Settled;
                self.timed_out += 1;
            }
        }
    }
}
