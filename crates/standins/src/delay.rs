//! A line with a constant delay.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Items on their way; all take the same time.
#[derive(Debug)]
pub struct Line<T> {
    delay: Duration,
    items: VecDeque<(Instant, T)>,
}

impl<T> Line<T> {
    /// An empty line.
    pub fn new(delay: Duration) -> Self {
        Self { delay, items: VecDeque::new() }
    }

    /// Puts an item on its way.
    pub fn push(&mut self, now: Instant, item: T) {
        self.items.push_back((now + self.delay, item));
    }

    /// Takes the next item that has arrived.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        if self.items.front()?.0 > now {
            return None;
        }
        self.items.pop_front().map(|(_, item)| item)
    }

    /// When the next item arrives.
    pub fn next_at(&self) -> Option<Instant> {
        self.items.front().map(|(at, _)| *at)
    }
}
