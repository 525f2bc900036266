//! Structured logs: JSON lines on standard output, written by a separate thread.
//!
//! A stalled reader never blocks the process: lines that do not fit into the queue are dropped.

use std::time::Duration;

use stdx::time::Timestamp;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;

/// Lines queued for the writing thread.
const MAX_QUEUED_LINES: usize = 2_000;

/// Starts logging at `level`. Lines are written until the guard is dropped.
pub fn start(level: LevelFilter) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
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

/// Rate limit on the log lines of one kind, in windows of one second.
#[derive(Debug, Clone)]
pub struct RateLimit {
    per_s: u32,
    window_start: Timestamp,
    written: u32,
    suppressed: u32,
}

impl RateLimit {
    /// Allows `per_s` lines per second.
    pub fn new(per_s: u32) -> Self {
        Self { per_s, window_start: Timestamp::default(), written: 0, suppressed: 0 }
    }

    /// Whether one more line may be written; counts the line either way.
    pub fn allow(&mut self, now: Timestamp) -> bool {
        if now.since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.written = 0;
        }
        let allowed = self.written < self.per_s;
        self.written += u32::from(allowed);
        self.suppressed += u32::from(!allowed);
        allowed
    }

    /// Returns the number of lines suppressed since the last call.
    pub fn take_suppressed(&mut self) -> u32 {
        std::mem::take(&mut self.suppressed)
    }
}
