//! Ring buffer of a process's latest events.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use stdx::time::Timestamp;

use crate::event::{Event, Kind};
use crate::hlc::{Hlc, Stamp};

/// Ring buffer of a process's latest events; drops the oldest event when it is full.
#[derive(Debug)]
pub struct Ring {
    instance: String,
    zone: String,
    clock: Hlc,
    next_sequence: u64,
    capacity: usize,
    events: VecDeque<Event>,
}

stdx::record! {
    /// Events read from a ring.
    #[derive(Serialize, Deserialize)]
    pub struct Page {
        /// Sequence number to continue from.
        pub next: u64,
        /// Number of requested events that had been dropped already.
        pub missed: u64,
        /// The events.
        pub events: Vec<Event>,
    }
}

impl Ring {
    /// An empty ring for at most `capacity` events.
    pub fn new(instance: &str, zone: &str, capacity: usize) -> Self {
        Self {
            instance: instance.to_owned(),
            zone: zone.to_owned(),
            clock: Hlc::default(),
            next_sequence: 0,
            capacity: capacity.max(1),
            events: VecDeque::new(),
        }
    }

    /// Records an event and returns it.
    pub fn record(
        &mut self,
        now: Timestamp,
        kind: Kind,
        service: Option<&str>,
        detail: String,
    ) -> &Event {
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        let event = Event {
            stamp: self.clock.tick(now),
            sequence: self.next_sequence,
            instance: self.instance.clone(),
            zone: self.zone.clone(),
            kind,
            service: service.map(str::to_owned),
            detail,
        };
        self.next_sequence += 1;
        self.events.push_back(event);
        &self.events[self.events.len() - 1]
    }

    /// A stamp for an outgoing message.
    pub fn stamp(&mut self, now: Timestamp) -> Stamp {
        self.clock.tick(now)
    }

    /// Merges a stamp received in a message.
    pub fn observe(&mut self, now: Timestamp, remote: Stamp) {
        self.clock.observe(now, remote);
    }

    /// The events with a sequence number of at least `sequence`.
    pub fn since(&self, sequence: u64) -> Page {
        let first = self.next_sequence - self.events.len() as u64;
        let skip = sequence.saturating_sub(first) as usize;
        Page {
            next: self.next_sequence,
            missed: first.saturating_sub(sequence),
            events: self.events.iter().skip(skip).cloned().collect(),
        }
    }
}
