//! Facts that entries offer to each other and take after a start without the store.

use std::net::SocketAddrV4;

use directory::giving::{OFFER_INTERVAL, Step};

use super::super::entry::{APPLY_BOUND, Entry};
use super::{Event, INTERNAL_DELAY, STORE_RESPONSE_DELAY, Simulation, member_addr};

/// Size of a part, for the receiver's pacing.
const PART_BYTES: usize = 6_000;

impl Simulation {
    /// An entry offers its facts. Answers come without delay.
    pub(super) fn on_offer_facts(&mut self, index: usize, generation: u32) {
        let now = self.now;
        let entry = &mut self.entries[index];
        if !entry.alive || entry.generation != generation {
            return;
        }
        self.schedule(OFFER_INTERVAL, Event::OfferFacts(index, generation));
        let entry = &mut self.entries[index];
        if entry.paused_until > now || !entry.directory.has_facts() {
            return;
        }
        let due = entry.offers.due(now, &entry.name, entry.directory.members());
        for to in due {
            let other = usize::from(to.port());
            if !self.can_exchange(index, other) {
                continue;
            }
            let needed = self.entries[other].directory.needs_facts();
            self.entries[index].offers.on_state(now, to, needed);
            if needed {
                let receiver = &mut self.entries[other];
                receiver.receiver.on_offer(now, member_addr(index));
                let generation = receiver.generation;
                self.schedule(INTERNAL_DELAY, Event::TakeFacts(other, generation));
            }
        }
    }

    /// An entry without facts makes its next step to get some.
    pub(super) fn on_take_facts(&mut self, index: usize, generation: u32) {
        let now = self.now;
        let entry = &self.entries[index];
        if !entry.alive || entry.generation != generation || entry.paused_until > now {
            return;
        }
        match entry.receiver.next_step(now) {
            Step::Done | Step::Wait(None) => {}
            Step::Wait(Some(at)) => {
                self.schedule(at.since(now), Event::TakeFacts(index, generation));
            }
            Step::Request(giver, place) => {
                self.take_facts(index, giver, place);
                self.schedule(STORE_RESPONSE_DELAY, Event::TakeFacts(index, generation));
            }
        }
    }

    fn take_facts(&mut self, index: usize, giver: SocketAddrV4, place: Option<u64>) {
        let now = self.now;
        let other = usize::from(giver.port());
        let as_of = facts_as_of(&self.entries[other]);
        let responds = self.can_exchange(index, other) && self.entries[other].directory.has_facts();
        if !responds {
            self.entries[index].receiver.on_failure(now, giver);
            return;
        }
        let part = self.entries[other].directory.facts(now, &self.entries[index].name, place);
        let next = part.next;
        let entry = &mut self.entries[index];
        if !entry.directory.take_facts(now, part, as_of + APPLY_BOUND) {
            entry.receiver.on_loaded();
            return;
        }
        entry.given_as_of = as_of;
        if next.is_none() {
            entry.sync.set_given(true);
        }
        entry.receiver.on_part(now, next, PART_BYTES, 0);
        self.publish_table(index);
    }

    fn can_exchange(&self, index: usize, other: usize) -> bool {
        let (entry, peer) = (&self.entries[index], &self.entries[other]);
        index != other
            && peer.alive
            && peer.paused_until <= self.now
            && !self.is_partitioned(entry.zone, peer.zone)
    }
}

/// When an entry's facts were complete.
fn facts_as_of(entry: &Entry) -> stdx::time::Timestamp {
    if entry.directory.has_loaded() { entry.sources.fresh_at() } else { entry.given_as_of }
}
