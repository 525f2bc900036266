//! Packets that came before the table, kept for a moment: a client's copy comes only later.

use std::collections::VecDeque;
use std::time::Duration;

use stdx::time::Timestamp;

/// Packets that are kept at most.
const MAX_PACKETS: usize = 512;

/// Time after which a kept packet does harm: clients send the next copy after 200 ms, maybe through
/// another entry, and an opening that two entries send on reaches two upstreams.
const KEEP: Duration = Duration::from_millis(180);

/// A bounded queue of packets.
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
    /// Keeps a packet. Returns false if an older one had to go for it.
    pub fn push(&mut self, now: Timestamp, packet: P) -> bool {
        let room = self.packets.len() < MAX_PACKETS;
        if !room {
            self.packets.pop_front();
        }
        self.packets.push_back((now, packet));
        room
    }

    /// The oldest packet that is still of use.
    pub fn pop(&mut self, now: Timestamp) -> Option<P> {
        while let Some((at, packet)) = self.packets.pop_front() {
            if now.since(at) <= KEEP {
                return Some(packet);
            }
        }
        None
    }
}
