//! A token bucket that limits optional work such as retried openings and probes.

use std::time::Duration;

use stdx::time::Timestamp;

/// A token bucket, refilled at a constant rate.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    tokens: f64,
    capacity: f64,
    tokens_per_s: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket of `capacity` tokens that is refilled at `tokens_per_s`.
    pub fn new(now: Timestamp, capacity: f64, tokens_per_s: f64) -> Self {
        Self { tokens: capacity, capacity, tokens_per_s, refilled_at: now }
    }

    /// Sets the capacity and the refill rate from `now` on.
    pub fn set_rate(&mut self, now: Timestamp, capacity: f64, tokens_per_s: f64) {
        self.refill(now);
        self.capacity = capacity;
        self.tokens_per_s = tokens_per_s;
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
        let elapsed: Duration = now.since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.add(elapsed.as_secs_f64() * self.tokens_per_s);
    }
}
