//! Structured logs: JSON lines on standard output, written by a thread of their own.
//!
//! A reader that is stuck costs lines, never packets: lines beyond the queue are dropped.

use std::time::Duration;

use stdx::time::Timestamp;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;

/// Lines that may wait for a slow reader.
const LINES_MAX: usize = 2_000;

/// Starts logging at `level`. Lines are written until the guard is dropped.
pub fn start(level: LevelFilter) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES_MAX)
        .finish(std::io::stdout());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_max_level(level)
        .with_target(false)
        .with_writer(writer)
        .init();
    guard
}

/// Bounds the lines of one kind in each second.
#[derive(Debug, Clone)]
pub struct RateLimit {
    per_s: u32,
    since: Timestamp,
    written: u32,
    left_out: u32,
}

impl RateLimit {
    /// At most `per_s` lines a second.
    pub fn new(per_s: u32) -> Self {
        Self { per_s, since: Timestamp::default(), written: 0, left_out: 0 }
    }

    /// Whether one more line may be written.
    pub fn allow(&mut self, now: Timestamp) -> bool {
        if now.since(self.since) >= Duration::from_secs(1) {
            self.since = now;
            self.written = 0;
        }
        let allowed = self.written < self.per_s;
        self.written += u32::from(allowed);
        self.left_out += u32::from(!allowed);
        allowed
    }

    /// Lines left out since the last call.
    pub fn take_suppressed(&mut self) -> u32 {
        std::mem::take(&mut self.left_out)
    }
}
