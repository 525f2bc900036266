//! Bounded queue of packets that arrived before the table was loaded. Dropped ones cost a client's
//! retransmission timeout.

use std::collections::VecDeque;
use std::time::Duration;

use stdx::time::Timestamp;

/// Capacity of the queue in packets.
const MAX_PACKETS: usize = 512;

/// Time after which a queued packet is dropped. Clients retransmit after 200 ms, possibly through
/// another entry; an opening that two entries forward reaches two upstreams.
const MAX_HOLD_TIME: Duration = Duration::from_millis(180);

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

    /// Removes the oldest packet that has not expired, and all expired ones before it.
    pub fn pop(&mut self, now: Timestamp) -> Option<P> {
        while let Some((queued_at, packet)) = self.packets.pop_front() {
            if now.since(queued_at) <= MAX_HOLD_TIME {
                return Some(packet);
            }
        }
        None
    }
}
