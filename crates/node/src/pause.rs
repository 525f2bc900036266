//! Finds out whether the process stood still: one clock goes on then, the other does not.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A difference between the clocks that shows a stand-still; less is read as one that did no harm.
const GAP: Duration = Duration::from_millis(300);

/// Compares the two clocks from time to time.
#[derive(Debug, Clone)]
pub struct PauseDetector {
    ahead: Duration,
}

impl PauseDetector {
    /// Begins comparing.
    pub fn start() -> Self {
        Self { ahead: ahead() }
    }

    /// How long the process stood still since the last call, if it did.
    pub fn check(&mut self) -> Option<Duration> {
        let ahead = ahead();
        let gap = ahead.saturating_sub(self.ahead);
        self.ahead = ahead;
        (gap >= GAP).then_some(gap)
    }
}

/// How far the clock that counts stand-stills is ahead of the one that doesn't.
fn ahead() -> Duration {
    let read = |id| {
        let time = clock_gettime(id);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
    };
    read(ClockId::Boottime).saturating_sub(read(ClockId::Monotonic))
}
