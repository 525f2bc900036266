//! Pinned flows: flows whose upstream an entry has to remember, because the client's packets may
//! carry the token of another one.
//!
//! That can happen if more than one upstream answered the opening. Entries tell each other their
//! pins, so that a flow outlives the entry that opened it.

use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;

use crate::packet::FlowKey;
use crate::table::UpstreamId;

/// Time without use after which a pin is kept for at least once and at most twice. An upstream
/// repeats its answer to an opening for 10 s, and clients keep a flow idle for 15 s.
const GENERATION_TIME: Duration = Duration::from_secs(30);

/// Maximum number of pins in a generation.
const MAX_GENERATION_LEN: usize = 2_048;

stdx::value! {
    /// The upstream of a flow.
    pub struct Pin {
        /// The flow.
        pub flow: FlowKey,
        /// The client's initial sequence number, which distinguishes flows on the same ports.
        pub initial_seq: u32,
        /// The client's first acknowledgement number.
        pub first_ack: u32,
        /// The flow's upstream.
        pub upstream: UpstreamId,
    }
}

/// Maximum distance of the acknowledgement number in a client's first packet from the first one: an
/// upstream may have begun to answer before all of the request has arrived.
const MAX_FIRST_ACK_DISTANCE: u32 = 1 << 16;

impl Pin {
    /// Whether a client's first packet belongs to the flow, and not to another one on the same ports.
    pub const fn begins_with(&self, initial_seq: u32, ack: u32) -> bool {
        let distance = ack.wrapping_sub(self.first_ack);
        self.initial_seq == initial_seq && distance < MAX_FIRST_ACK_DISTANCE
    }
}

/// A pin and when it was first known.
#[derive(Debug, Clone, Copy)]
struct KnownPin {
    pin: Pin,
    since: Timestamp,
}

/// A bounded table of pins. It consists of two generations: when the younger one is full or old,
/// it replaces the other one.
#[derive(Debug, Clone, Default)]
pub struct Pins {
    young: IndexMap<FlowKey, KnownPin>,
    old: IndexMap<FlowKey, KnownPin>,
    rotated_at: Timestamp,
}

impl Pins {
    /// Adds a pin, which replaces an earlier one of the same ports.
    pub fn insert(&mut self, now: Timestamp, pin: Pin) {
        let known = self.find(&pin.flow).filter(|known| known.pin == pin);
        self.rotate(now);
        self.young.insert(pin.flow, known.unwrap_or(KnownPin { pin, since: now }));
    }

    /// The pin of a flow. Its use keeps it.
    pub fn get(&mut self, now: Timestamp, flow: &FlowKey) -> Option<Pin> {
        let pin = self.find(flow)?.pin;
        if !self.young.contains_key(flow) {
            self.insert(now, pin);
        }
        Some(pin)
    }

    /// Since when the flow of an opening has been pinned, by the opening's sequence number.
    pub fn pinned_since(&self, flow: &FlowKey, initial_seq: u32) -> Option<Timestamp> {
        let known = self.find(flow).filter(|known| known.pin.initial_seq == initial_seq)?;
        Some(known.since)
    }

    /// All pins.
    pub fn iter(&self) -> impl Iterator<Item = &Pin> {
        let replaced = |flow: &FlowKey| self.young.contains_key(flow);
        let old = self.old.values().filter(move |known| !replaced(&known.pin.flow));
        self.young.values().chain(old).map(|known| &known.pin)
    }

    fn find(&self, flow: &FlowKey) -> Option<KnownPin> {
        self.young.get(flow).or_else(|| self.old.get(flow)).copied()
    }

    fn rotate(&mut self, now: Timestamp) {
        if self.young.len() >= MAX_GENERATION_LEN || now.since(self.rotated_at) >= GENERATION_TIME {
            self.old = std::mem::take(&mut self.young);
            self.rotated_at = now;
        }
    }
}
