//! Detects process pauses: the boot-time clock advances during them, the monotonic clock does not.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Shortest pause that is reported; shorter ones do no harm.
const MIN_PAUSE: Duration = Duration::from_millis(300);

/// Detects process pauses by comparing the two clocks at each [`check`](Self::check).
#[derive(Debug, Clone)]
pub struct PauseDetector {
    offset: Duration,
}

impl PauseDetector {
    /// Reads the clocks for the first time.
    pub fn start() -> Self {
        Self { offset: clock_offset() }
    }

    /// Returns how long the process was paused since the last call, if it was.
    pub fn check(&mut self) -> Option<Duration> {
        let offset = clock_offset();
        let pause = offset.saturating_sub(self.offset);
        self.offset = offset;
        (pause >= MIN_PAUSE).then_some(pause)
    }
}

/// How far the boot-time clock is ahead of the monotonic clock.
fn clock_offset() -> Duration {
    let read = |id| {
        let time = clock_gettime(id);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
    };
    read(ClockId::Boottime).saturating_sub(read(ClockId::Monotonic))
}
