//! Packets that came before the table, kept for a moment: a client's copy comes only later.

use std::collections::VecDeque;
use std::time::Duration;

use stdx::time::Timestamp;

/// Packets that are kept at most.
const PACKETS_MAX: usize = 512;

/// Time after which a kept packet is of no use: the client has sent a copy or given up.
const KEEP: Duration = Duration::from_millis(600);

/// A bounded queue of packets.
#[derive(Debug, Default)]
pub struct Held {
    packets: VecDeque<(Timestamp, Vec<u8>)>,
}

impl Held {
    /// Keeps a packet. Returns false if an older one had to go for it.
    pub fn push(&mut self, now: Timestamp, packet: &[u8]) -> bool {
        let room = self.packets.len() < PACKETS_MAX;
        if !room {
            self.packets.pop_front();
        }
        self.packets.push_back((now, packet.to_vec()));
        room
    }

    /// The oldest packet that is still of use.
    pub fn pop(&mut self, now: Timestamp) -> Option<Vec<u8>> {
        while let Some((at, packet)) = self.packets.pop_front() {
            if now.since(at) <= KEEP {
                return Some(packet);
            }
        }
        None
    }
}
