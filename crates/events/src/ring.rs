//! The bounded store of a process's latest events.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use stdx::time::Timestamp;

use crate::event::{Event, Kind};
use crate::hlc::{Hlc, Stamp};

/// A process's latest events.
#[derive(Debug)]
pub struct Ring {
    instance: String,
    zone: String,
    clock: Hlc,
    next: u64,
    bound: usize,
    events: VecDeque<Event>,
}

stdx::record! {
    /// Part of a ring.
    #[derive(Serialize, Deserialize)]
    pub struct Page {
        /// Sequence to ask for next.
        pub next: u64,
        /// Events that were dropped before they could be fetched.
        pub missed: u64,
        /// The events.
        pub events: Vec<Event>,
    }
}

impl Ring {
    /// An empty ring for at most `bound` events.
    pub fn new(instance: &str, zone: &str, bound: usize) -> Self {
        Self {
            instance: instance.to_owned(),
            zone: zone.to_owned(),
            clock: Hlc::default(),
            next: 0,
            bound: bound.max(1),
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
        if self.events.len() == self.bound {
            self.events.pop_front();
        }
        let event = Event {
            stamp: self.clock.tick(now),
            sequence: self.next,
            instance: self.instance.clone(),
            zone: self.zone.clone(),
            kind,
            service: service.map(str::to_owned),
            detail,
        };
        self.next += 1;
        self.events.push_back(event);
        &self.events[self.events.len() - 1]
    }

    /// The present stamp, to be sent along with a message.
    pub fn stamp(&mut self, now: Timestamp) -> Stamp {
        self.clock.tick(now)
    }

    /// Takes over a stamp that came with a message.
    pub fn observe(&mut self, now: Timestamp, remote: Stamp) {
        self.clock.observe(now, remote);
    }

    /// The events from a sequence on.
    pub fn since(&self, sequence: u64) -> Page {
        let first = self.next - self.events.len() as u64;
        let skip = sequence.saturating_sub(first) as usize;
        Page {
            next: self.next,
            missed: first.saturating_sub(sequence),
            events: self.events.iter().skip(skip).cloned().collect(),
        }
    }
}
