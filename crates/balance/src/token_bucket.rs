//! A token bucket that bounds work which may be skipped, such as opening retries and probes.

use std::time::Duration;

use stdx::time::Timestamp;

/// A token bucket.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    tokens: f64,
    capacity: f64,
    per_second: f64,
    last: Timestamp,
}

impl TokenBucket {
    /// A full bucket of `capacity` tokens that gains `per_second` tokens a second.
    pub fn new(now: Timestamp, capacity: f64, per_second: f64) -> Self {
        Self { tokens: capacity, capacity, per_second, last: now }
    }

    /// Changes the capacity and the gain a second from `now` on.
    pub fn set_rate(&mut self, now: Timestamp, capacity: f64, per_second: f64) {
        self.refill(now);
        self.capacity = capacity;
        self.per_second = per_second;
        self.tokens = self.tokens.min(capacity);
    }

    /// Whether at least `count` tokens are there.
    pub fn has_tokens(&mut self, now: Timestamp, count: f64) -> bool {
        self.refill(now);
        self.tokens >= count
    }

    /// Takes `count` tokens; takes none and returns false if there are fewer.
    pub fn take(&mut self, now: Timestamp, count: f64) -> bool {
        if !self.has_tokens(now, count) {
            return false;
        }
        self.tokens -= count;
        true
    }

    /// Adds `count` tokens up to the capacity, for budgets that are a fraction of other work.
    pub fn add(&mut self, count: f64) {
        self.tokens = (self.tokens + count).min(self.capacity);
    }

    fn refill(&mut self, now: Timestamp) {
        let passed: Duration = now.since(self.last);
        self.last = self.last.max(now);
        self.add(passed.as_secs_f64() * self.per_second);
    }
}
