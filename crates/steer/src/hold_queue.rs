//! Bounded queue of packets that arrived before the table was loaded. Dropped ones cost a client's
//! retransmission timeout.

use std::collections::VecDeque;

use stdx::time::Timestamp;

use crate::openings::MAX_OPENING_AGE;

/// Capacity of the queue in packets.
const MAX_PACKETS: usize = 512;

/// A bounded first-in, first-out queue of packets; a full queue drops its oldest packet.
#[derive(Debug, Clone)]
pub struct HoldQueue<P> {
    packets: VecDeque<(Timestamp, P)>,
}

impl<P> Default for HoldQueue<P> {
    fn default() -> Self {
        Self { packets: VecDeque::new() }
    }
}

impl<P> HoldQueue<P> {
    /// Adds a packet. Returns false if the oldest one was dropped to make room.
    pub fn push(&mut self, now: Timestamp, packet: P) -> bool {
        let has_room = self.packets.len() < MAX_PACKETS;
        if !has_room {
            self.packets.pop_front();
        }
        self.packets.push_back((now, packet));
        has_room
    }

    /// When the oldest packet was added.
    pub fn queued_since(&self) -> Option<Timestamp> {
        self.packets.front().map(|(queued_at, _)| *queued_at)
    }

    /// Removes the oldest packet that has not expired, and all expired ones before it.
    pub fn pop(&mut self, now: Timestamp) -> Option<P> {
        while let Some((queued_at, packet)) = self.packets.pop_front() {
            if now.since(queued_at) <= MAX_OPENING_AGE {
                return Some(packet);
            }
        }
        None
    }
}
