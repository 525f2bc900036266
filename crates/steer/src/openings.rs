//! Bounded table of recently opened flows and the upstreams that each opening was sent to.

use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;

use crate::packet::{FlowKey, RawPacket};
use crate::request::Request;
use crate::table::{ServiceId, UpstreamId, ZoneId};

/// Maximum number of upstreams per opening, counting the attempts of the entry itself and the two
/// retransmits that clients send.
pub const MAX_ATTEMPTS: usize = 4;

/// Time after the arrival of an opening for which it is sent to upstreams. Clients retransmit it
/// after 200 ms, possibly through another entry; an opening that two entries forward reaches two
/// upstreams.
pub const MAX_OPENING_AGE: Duration = Duration::from_millis(180);

/// Records that an eviction compares before it removes one that may still be in use.
const EVICTION_SAMPLE_SIZE: usize = 8;

stdx::value! {
    /// One attempt to open a flow at an upstream.
    pub struct Attempt {
        /// The upstream.
        pub upstream: UpstreamId,
        /// Its zone.
        pub zone: ZoneId,
        /// When the opening was sent.
        pub sent_at: Timestamp,
        /// Whether the missing answer was counted as a failure of the upstream.
        pub failure_recorded: bool,
    }

    /// State of a flow.
    pub enum Stage {
        /// Sent to upstreams; the client has not acknowledged an answer.
        Opening,
        /// The client acknowledged the answer of `upstream`.
        Open {
            /// The flow's upstream.
            upstream: UpstreamId,
            /// The client's first acknowledgement number.
            base: u32,
        },
        /// The client has closed or reset the flow.
        Closed {
            /// The flow's upstream.
            upstream: UpstreamId,
            /// The client's first acknowledgement number.
            base: u32,
        },
    }

    /// A recently opened flow.
    pub struct Opening {
        /// The service that the client wants to reach.
        pub service: ServiceId,
        /// The client's initial sequence number. A different one on the same ports is a new flow.
        pub seq: u32,
        /// Whether the first packet that arrived here was a retransmit. An earlier one went through
        /// another entry or was lost.
        pub began_as_retransmit: bool,
        /// When the first packet was read.
        pub opened_at: Timestamp,
        /// Time after which the first packet arrived; it may have waited to be read since then.
        pub arrived_after: Timestamp,
        /// When the last packet arrived.
        pub last_packet_at: Timestamp,
        /// The flow's state.
        pub stage: Stage,
        /// When the record is checked next. Timers with a different time are stale.
        pub deadline: Timestamp,
        /// The opening packet, for hedged requests.
        pub raw: Option<RawPacket>,
        /// When a request came with the token of a later attempt, before an acknowledgement.
        pub request_before_ack: Option<Timestamp>,
        /// The client's last request on the flow.
        pub request: Option<Request>,
        /// Whether the flow, once open, waits for an answer and counts as a request in flight.
        pub in_flight: bool,
        attempts: [Option<Attempt>; MAX_ATTEMPTS],
    }
}

impl Opening {
    /// An opening that was not yet sent to an upstream.
    pub fn new(now: Timestamp, service: ServiceId, seq: u32, raw: Option<RawPacket>) -> Self {
        let attempts = [None; MAX_ATTEMPTS];
        Self {
            service,
            seq,
            began_as_retransmit: false,
            opened_at: now,
            arrived_after: now,
            last_packet_at: now,
            stage: Stage::Opening,
            deadline: now,
            raw,
            request_before_ack: None,
            request: None,
            in_flight: true,
            attempts,
        }
    }

    /// The attempts in the order in which they were made.
    pub fn attempts(&self) -> impl DoubleEndedIterator<Item = &Attempt> {
        self.attempts.iter().flatten()
    }

    /// Adds an attempt. Returns false if there were [`MAX_ATTEMPTS`] already.
    pub fn add_attempt(&mut self, now: Timestamp, upstream: UpstreamId, zone: ZoneId) -> bool {
        let Some(slot) = self.attempts.iter_mut().find(|slot| slot.is_none()) else {
            return false;
        };
        *slot = Some(Attempt { upstream, zone, sent_at: now, failure_recorded: false });
        true
    }

    /// Whether an upstream other than `upstream` may have got the opening and answer it at any time.
    pub fn may_be_answered_elsewhere(&self, now: Timestamp, upstream: UpstreamId) -> bool {
        self.may_have_passed_elsewhere(now)
            || self.attempts().any(|attempt| attempt.upstream != upstream)
    }

    /// Whether another packet of the opening may have gone through another entry: this entry got a
    /// retransmit first, or the client has had the time to send one.
    pub fn may_have_passed_elsewhere(&self, now: Timestamp) -> bool {
        self.began_as_retransmit || now.since(self.arrived_after) >= MAX_OPENING_AGE
    }

    /// The upstream of a flow that is or was open.
    pub fn upstream(&self) -> Option<UpstreamId> {
        match self.stage {
            Stage::Opening => None,
            Stage::Open { upstream, .. } | Stage::Closed { upstream, .. } => Some(upstream),
        }
    }

    /// Marks the last attempt as failed. Returns it unless it was marked before.
    pub fn mark_last_attempt_failed(&mut self) -> Option<Attempt> {
        let last = self.attempts.iter_mut().rev().flatten().next()?;
        let was_recorded = std::mem::replace(&mut last.failure_recorded, true);
        (!was_recorded).then_some(*last)
    }
}

/// The tracked openings of one entry. The table is bounded and evicts records when full.
#[derive(Debug, Clone)]
pub struct Openings {
    flows: IndexMap<FlowKey, Opening>,
    max_len: usize,
    cursor: usize,
}

impl Openings {
    /// An empty table for up to `max_len` flows.
    pub fn new(max_len: usize) -> Self {
        Self { flows: IndexMap::new(), max_len: max_len.max(1), cursor: 0 }
    }

    /// The record of a flow, for changes.
    pub fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut Opening> {
        self.flows.get_mut(flow)
    }

    /// The record of a flow.
    pub fn get(&self, flow: &FlowKey) -> Option<&Opening> {
        self.flows.get(flow)
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &Opening)> {
        self.flows.iter()
    }

    /// Adds a record. Returns the one that was replaced or evicted, if any.
    pub fn insert(&mut self, flow: FlowKey, opening: Opening) -> Option<Opening> {
        let evicted = if self.flows.len() >= self.max_len { self.evict() } else { None };
        self.flows.insert(flow, opening).or(evicted)
    }

    /// Removes a record.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<Opening> {
        self.flows.swap_remove(flow)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Evicts one of the next [`EVICTION_SAMPLE_SIZE`] records: closed flows first, then
    /// those not open yet, then open ones; among equals the one that was idle the longest.
    fn evict(&mut self) -> Option<Opening> {
        let len = self.flows.len();
        let rank = |opening: &Opening| match opening.stage {
            Stage::Closed { .. } => (0, opening.last_packet_at),
            Stage::Opening => (1, opening.last_packet_at),
            Stage::Open { .. } => (2, opening.last_packet_at),
        };
        let sample = (0..EVICTION_SAMPLE_SIZE.min(len)).map(|offset| (self.cursor + offset) % len);
        let index = sample.min_by_key(|index| rank(&self.flows[*index]))?;
        self.cursor = (index + 1) % len;
        self.flows.swap_remove_index(index).map(|(_, opening)| opening)
    }
}
