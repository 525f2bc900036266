//! Delay line: a queue whose items become available after a constant delay.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A queue whose items become available after a constant delay.
#[derive(Debug)]
pub struct DelayLine<T> {
    delay: Duration,
    items: VecDeque<(Instant, T)>,
}

impl<T> DelayLine<T> {
    /// An empty delay line.
    pub fn new(delay: Duration) -> Self {
        Self { delay, items: VecDeque::new() }
    }

    /// Adds an item, which becomes available after the delay.
    pub fn push(&mut self, now: Instant, item: T) {
        self.items.push_back((now + self.delay, item));
    }

    /// Takes the next item if it is available at `now`.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        if self.items.front()?.0 > now {
            return None;
        }
        self.items.pop_front().map(|(_, item)| item)
    }

    /// When the next item becomes available.
    pub fn next_at(&self) -> Option<Instant> {
        self.items.front().map(|(available_at, _)| *available_at)
    }
}
