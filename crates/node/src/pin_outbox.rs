//! Messages with pins that their recipients have not confirmed yet. They are sent again, because what
//! only this entry knows of a flow is lost with it.

use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;
use steer::Pin;

use crate::pins;

/// Time until a message is sent again; it doubles each time.
const FIRST_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time until a message is sent again.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// Times that a message is sent to an entry that does not confirm it: for some 6 s, longer than
/// changes of the membership take to be in force.
const MAX_SENDS: u32 = 10;

/// Maximum number of unconfirmed messages; some 700 kB.
const MAX_UNCONFIRMED: usize = 512;

#[derive(Debug, Clone)]
struct Unconfirmed {
    bytes: Vec<u8>,
    sends: u32,
    due: Timestamp,
}

stdx::value! {
    /// Numbers of messages since the start.
    #[derive(Default)]
    pub struct OutboxStats {
        /// Messages that were sent for the first time.
        pub sent: u64,
        /// Messages that were sent again.
        pub resent: u64,
        /// Messages that were confirmed.
        pub confirmed: u64,
        /// Messages that were given up: their recipients have left or did not confirm them, or there
        /// were too many.
        pub given_up: u64,
    }
}

/// Unconfirmed messages by recipient and number, in the order in which they were sent first.
#[derive(Debug, Clone, Default)]
pub struct PinOutbox {
    messages: IndexMap<(SocketAddrV4, u32), Unconfirmed>,
    last_number: u32,
    stats: OutboxStats,
}

impl PinOutbox {
    /// Adds the messages with `pins` for their recipients, and returns them to be sent.
    pub fn add(
        &mut self,
        now: Timestamp,
        pins: &[Pin],
        holders: impl Fn(&Pin) -> Vec<SocketAddrV4>,
    ) -> Vec<(SocketAddrV4, Vec<u8>)> {
        let mut messages = Vec::new();
        for (to, pins) in pins::batches(pins, holders) {
            // 0 names no message.
            self.last_number = self.last_number.checked_add(1).unwrap_or(1);
            let bytes = pins::encode_pins(&pins, &[], self.last_number);
            if self.messages.len() >= MAX_UNCONFIRMED {
                self.messages.shift_remove_index(0);
                self.stats.given_up += 1;
            }
            let due = now + FIRST_INTERVAL;
            let unconfirmed = Unconfirmed { bytes: bytes.clone(), sends: 1, due };
            self.messages.insert((to, self.last_number), unconfirmed);
            self.stats.sent += 1;
            messages.push((to, bytes));
        }
        messages
    }

    /// The entry `from` has confirmed a message.
    pub fn on_confirmed(&mut self, from: SocketAddrV4, number: u32) {
        let is_first = self.messages.shift_remove(&(from, number)).is_some();
        self.stats.confirmed += u64::from(is_first);
    }

    /// Returns the messages that are due to be sent again. Gives up those that were sent often enough,
    /// and those whose recipients are no members any more.
    ///
    /// While this entry `is_listed` nowhere, the others ignore it, and no attempt counts.
    pub fn take_due(
        &mut self,
        now: Timestamp,
        is_listed: bool,
        is_member: impl Fn(SocketAddrV4) -> bool,
    ) -> Vec<(SocketAddrV4, Vec<u8>)> {
        let before = self.messages.len();
        self.messages.retain(|(to, _), message| {
            let is_last = message.sends >= MAX_SENDS && message.due <= now;
            !is_last && is_member(*to)
        });
        self.stats.given_up += (before - self.messages.len()) as u64;
        let mut due = Vec::new();
        for ((to, _), message) in &mut self.messages {
            if message.due > now {
                continue;
            }
            let interval = FIRST_INTERVAL * (1 << message.sends.min(16));
            message.due = now + interval.min(MAX_INTERVAL);
            if is_listed || message.sends + 1 < MAX_SENDS {
                message.sends += 1;
            }
            due.push((*to, message.bytes.clone()));
        }
        self.stats.resent += due.len() as u64;
        due
    }

    /// When [`Self::take_due`] has to be called next.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.messages.values().map(|message| message.due).min()
    }

    /// Number of messages that entries of a kind have not confirmed.
    pub fn unconfirmed(&self, counts: impl Fn(SocketAddrV4) -> bool) -> usize {
        self.messages.keys().filter(|(to, _)| counts(*to)).count()
    }

    /// Numbers of messages since the start.
    pub fn stats(&self) -> OutboxStats {
        self.stats
    }
}
