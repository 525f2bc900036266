//! Flows that were opened lately, and what was tried for each.

use indexmap::IndexMap;
use stdx::time::Timestamp;

use crate::packet::{FlowKey, RawPacket};
use crate::request::Request;
use crate::table::{ServiceId, UpstreamId, ZoneId};

/// Upstreams that one opening is sent to at most: hedges, and the two copies that clients send.
pub const MAX_ATTEMPTS: usize = 4;

/// Records that are looked at before one that may still be of use is dropped for a new one.
const EVICTION_LOOKS: usize = 8;

stdx::value! {
    /// One upstream that an opening was sent to.
    pub struct Try {
        /// The upstream.
        pub upstream: UpstreamId,
        /// Its zone.
        pub zone: ZoneId,
        /// When.
        pub at: Timestamp,
        /// Whether its silence was counted against it.
        pub struck: bool,
    }

    /// How far a flow has come.
    pub enum Stage {
        /// Sent to upstreams; no acknowledgement of the client was seen.
        Opening,
        /// The client acknowledged the answer of `upstream`, beginning at `base`.
        Open {
            /// The upstream that has the flow.
            upstream: UpstreamId,
            /// The client's first acknowledgement.
            base: u32,
        },
        /// The client has closed or reset the flow.
        Closed {
            /// The upstream that had the flow.
            upstream: UpstreamId,
            /// The client's first acknowledgement.
            base: u32,
        },
        /// Given up: refused or reset by this entry.
        Refused,
    }

    /// A flow that was opened lately.
    pub struct Opening {
        /// The service that it is for.
        pub service: ServiceId,
        /// The client's first sequence number; another one is another flow.
        pub seq: u32,
        /// When its first packet came.
        pub since: Timestamp,
        /// When its last packet came.
        pub last: Timestamp,
        /// How far it has come.
        pub stage: Stage,
        /// When it is to be looked at next; timers for other moments are of an earlier flow.
        pub due: Timestamp,
        /// The opening packet, for sending it again.
        pub raw: Option<RawPacket>,
        /// The client's last request on the flow.
        pub request: Option<Request>,
        tries: [Option<Try>; MAX_ATTEMPTS],
    }
}

impl Opening {
    /// An opening that was sent to nobody yet.
    pub fn new(now: Timestamp, service: ServiceId, seq: u32, raw: Option<RawPacket>) -> Self {
        let tries = [None; MAX_ATTEMPTS];
        Self {
            service,
            seq,
            since: now,
            last: now,
            stage: Stage::Opening,
            due: now,
            raw,
            request: None,
            tries,
        }
    }

    /// The upstreams that were tried, first one first.
    pub fn tries(&self) -> impl DoubleEndedIterator<Item = &Try> {
        self.tries.iter().flatten()
    }

    /// Notes a try; returns whether there was room for it.
    pub fn add_try(&mut self, now: Timestamp, upstream: UpstreamId, zone: ZoneId) -> bool {
        let Some(slot) = self.tries.iter_mut().find(|slot| slot.is_none()) else {
            return false;
        };
        *slot = Some(Try { upstream, zone, at: now, struck: false });
        true
    }

    /// Marks the newest try as counted; returns its upstream unless it was counted before.
    pub fn strike_newest(&mut self) -> Option<UpstreamId> {
        let newest = self.tries.iter_mut().rev().flatten().next()?;
        let counted = std::mem::replace(&mut newest.struck, true);
        (!counted).then_some(newest.upstream)
    }
}

/// All openings of one entry, bounded.
#[derive(Debug, Clone)]
pub struct Openings {
    flows: IndexMap<FlowKey, Opening>,
    most: usize,
    cursor: usize,
}

impl Openings {
    /// Room for `most` flows.
    pub fn new(most: usize) -> Self {
        Self { flows: IndexMap::new(), most: most.max(1), cursor: 0 }
    }

    /// The record of a flow.
    pub fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut Opening> {
        self.flows.get_mut(flow)
    }

    /// The record of a flow.
    pub fn get(&self, flow: &FlowKey) -> Option<&Opening> {
        self.flows.get(flow)
    }

    /// Adds a record. Returns the one that had to go for it, if any.
    pub fn insert(&mut self, flow: FlowKey, opening: Opening) -> Option<Opening> {
        let evicted = if self.flows.len() >= self.most { self.evict() } else { None };
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

    /// Drops one of the next few records: an ended one if there is one, else one that is not
    /// open yet, else the one that was silent the longest.
    fn evict(&mut self) -> Option<Opening> {
        let len = self.flows.len();
        let rank = |opening: &Opening| match opening.stage {
            Stage::Closed { .. } | Stage::Refused => (0, opening.last),
            Stage::Opening => (1, opening.last),
            Stage::Open { .. } => (2, opening.last),
        };
        let looks = (0..EVICTION_LOOKS.min(len)).map(|step| (self.cursor + step) % len);
        let place = looks.min_by_key(|place| rank(&self.flows[*place]))?;
        self.cursor = (place + 1) % len;
        self.flows.swap_remove_index(place).map(|(_, opening)| opening)
    }
}
