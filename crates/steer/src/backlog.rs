//! Packets that may have waited in the socket while the process was paused.

use std::time::Duration;

use stdx::time::Timestamp;

/// Shortest pause that is reported.
const MIN_PAUSE: Duration = Duration::from_millis(300);

/// Shortest pause after which openings may be too old to be forwarded: clients give up after this
/// time. After a shorter pause an opening may still be served, if late.
const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Maximum number of packets after a pause that are taken for old. It exceeds the capacity of a
/// socket's buffer, so further packets have arrived after the pause.
const MAX_QUEUED_PACKETS: u32 = 8_192;

/// Tells which received packets may have arrived before the end of a pause of the process.
///
/// The opening of a flow is of no use if it has waited for long: its client has sent it again
/// through another entry, or given up. An upstream would answer it all the same, and the client
/// would return the token of that answer for its flow at another upstream.
#[derive(Debug, Clone)]
pub struct Backlog {
    last_active_at: Timestamp,
    /// Further packets that may be old.
    remaining: u32,
}

impl Backlog {
    /// The backlog of a socket that was opened at `now`.
    pub fn new(now: Timestamp) -> Self {
        Self { last_active_at: now, remaining: 0 }
    }

    /// Returns how long the process was paused, if it was since the last call. To be called after
    /// each wait for packets and after each packet that was read.
    pub fn check_pause(&mut self, now: Timestamp) -> Option<Duration> {
        let gap = now.since(self.last_active_at);
        self.last_active_at = now;
        if gap < MIN_PAUSE {
            return None;
        }
        if gap >= OPENING_TIMEOUT {
            self.remaining = MAX_QUEUED_PACKETS;
        }
        Some(gap)
    }

    /// Whether a packet that was just read may be old.
    pub fn on_packet(&mut self) -> bool {
        let may_be_old = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        may_be_old
    }

    /// The socket has no more packets.
    pub fn on_empty(&mut self) {
        self.remaining = 0;
    }
}
