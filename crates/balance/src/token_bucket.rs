//! A token bucket that limits optional work such as retried openings and probes.

use std::time::Duration;

use stdx::time::Timestamp;

/// A token bucket, refilled at a constant rate.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    tokens: f64,
    capacity: f64,
    per_second: f64,
    last: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket of `capacity` tokens that is refilled at `per_second` tokens per
    /// second.
    pub fn new(now: Timestamp, capacity: f64, per_second: f64) -> Self {
        Self { tokens: capacity, capacity, per_second, last: now }
    }

    /// Sets the capacity and the refill rate from `now` on.
    pub fn set_rate(&mut self, now: Timestamp, capacity: f64, per_second: f64) {
        self.refill(now);
        self.capacity = capacity;
        self.per_second = per_second;
        self.tokens = self.tokens.min(capacity);
    }

    /// Whether the bucket holds at least `count` tokens.
    pub fn has_tokens(&mut self, now: Timestamp, count: f64) -> bool {
        self.refill(now);
        self.tokens >= count
    }

    /// Takes `count` tokens. Takes none and returns `false` if fewer are available.
    pub fn take(&mut self, now: Timestamp, count: f64) -> bool {
        if !self.has_tokens(now, count) {
            return false;
        }
        self.tokens -= count;
        true
    }

    /// Adds `count` tokens, up to the capacity. Used for budgets that are a fraction of other work,
    /// such as a retry budget.
    pub fn add(&mut self, count: f64) {
        self.tokens = (self.tokens + count).min(self.capacity);
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed: Duration = now.since(self.last);
        self.last = self.last.max(now);
        self.add(elapsed.as_secs_f64() * self.per_second);
    }
}
