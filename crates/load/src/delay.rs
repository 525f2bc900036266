//! Finds reports that were under way for long, such as those that lay in the socket of a frozen
//! process. Clocks need not agree: only the change of their difference counts.

use indexmap::IndexMap;
use std::time::Duration;

use stdx::time::Timestamp;

/// Senders that are followed; a sender beyond them is taken to be quick.
const MAX_SENDERS: usize = 64;

/// Part of the time by which the least difference rises, so that a clock that was set back, or runs
/// slower, does not make its reports old forever.
const RISE_DIVISOR: u64 = 100;

/// Delay that no network has, and the time for which a sender's reports have it from which on its clock
/// was set back. Reports that lay in the socket of a frozen process come all at once.
const MIN_STEP: Duration = Duration::from_secs(10);
const MIN_STEP_TIME: Duration = Duration::from_secs(3);

/// Least difference of the clocks of this entry and of senders.
#[derive(Debug, Clone, Default)]
pub struct Delays {
    senders: IndexMap<u64, Offset>,
}

#[derive(Debug, Clone, Copy)]
struct Offset {
    least_ms: i64,
    at: Timestamp,
    /// Since when all reports have come later than [`MIN_STEP`].
    late_since: Option<Timestamp>,
}

impl Delays {
    /// How much longer than the quickest a report of `from` was under way; `sent_ms` is the
    /// sender's clock in milliseconds, modulo 2^32.
    pub fn delay(&mut self, now: Timestamp, from: u64, sent_ms: u32) -> Duration {
        let difference = (now.as_micros() / 1_000) as u32;
        let difference_ms = i64::from(difference.wrapping_sub(sent_ms).cast_signed());
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&from) {
            return Duration::ZERO;
        }
        let new = Offset { least_ms: difference_ms, at: now, late_since: None };
        let offset = self.senders.entry(from).or_insert(new);
        let rise_ms = now.since(offset.at).as_millis() as u64 / RISE_DIVISOR;
        offset.least_ms = (offset.least_ms + rise_ms.cast_signed()).min(difference_ms);
        offset.at = now;
        let is_late = difference_ms - offset.least_ms >= MIN_STEP.as_millis() as i64;
        offset.late_since = is_late.then(|| offset.late_since.unwrap_or(now));
        if offset.late_since.is_some_and(|since| now.since(since) >= MIN_STEP_TIME) {
            *offset = new;
        }
        Duration::from_millis((difference_ms - offset.least_ms).unsigned_abs())
    }

    /// Forgets the senders for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(u64) -> bool) {
        self.senders.retain(|sender, _| is_known(*sender));
    }
}
