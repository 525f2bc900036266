//! Assignment of slots to their home entries, with each slot's previous home.

use std::hash::Hasher;
use std::net::Ipv4Addr;

use siphasher::sip::SipHasher13;
use stdx::time::Timestamp;

use crate::key::{HashKey, SLOTS, Slot};

stdx::value! {
    /// An entry's identifier: its address.
    pub struct Id(pub Ipv4Addr);
}

/// The home of every slot, chosen by rendezvous hashing over the live entries.
#[derive(Debug, Clone)]
pub struct Homes {
    key: HashKey,
    members: Vec<Id>,
    slots: Vec<Home>,
}

#[derive(Debug, Clone, Copy)]
struct Home {
    current: Option<Id>,
    previous: Option<Id>,
    moved_at: Timestamp,
}

impl Homes {
    /// An assignment without entries: no slot has a home.
    pub fn new(now: Timestamp, key: HashKey) -> Self {
        let home = Home { current: None, previous: None, moved_at: now };
        Self { key, members: Vec::new(), slots: vec![home; SLOTS] }
    }

    /// Replaces the list of live entries and reassigns the slots whose home changes.
    pub fn set_members(&mut self, now: Timestamp, members: &[Id]) {
        if self.members == members {
            return;
        }
        self.members = members.to_vec();
        for (index, home) in self.slots.iter_mut().enumerate() {
            let next = rendezvous(self.key, index, members);
            if next == home.current {
                continue;
            }
            home.previous = home.current;
            home.current = next;
            home.moved_at = now;
        }
    }

    /// The live entries.
    pub fn members(&self) -> &[Id] {
        &self.members
    }

    /// The home of a slot; `None` while no entry is known.
    pub fn current(&self, slot: Slot) -> Option<Id> {
        self.slots[usize::from(slot.0)].current
    }

    /// The home of a slot before its last reassignment.
    pub fn previous(&self, slot: Slot) -> Option<Id> {
        self.slots[usize::from(slot.0)].previous
    }

    /// The time of the slot's last reassignment.
    pub fn moved_at(&self, slot: Slot) -> Timestamp {
        self.slots[usize::from(slot.0)].moved_at
    }
}

/// Chooses the member with the highest hash for a slot.
fn rendezvous(key: HashKey, index: usize, members: &[Id]) -> Option<Id> {
    members.iter().copied().max_by_key(|id| {
        let mut hasher = SipHasher13::new_with_keys(key.0, key.1);
        hasher.write_usize(index);
        hasher.write_u32(id.0.to_bits());
        (hasher.finish(), *id)
    })
}
