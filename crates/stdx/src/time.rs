//! Points in time as plain numbers, so that every decision can take `now` as an argument.

use std::ops;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

crate::value! {
    /// A point in time in microseconds since the Unix epoch, never going back within a process.
    #[derive(Default)]
    pub struct Timestamp(pub u64);
}

impl Timestamp {
    /// The time `secs` seconds after the epoch.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// The time `millis` milliseconds after the epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole seconds since the epoch.
    pub const fn as_secs(self) -> u64 {
        self.0 / 1_000_000
    }

    /// The time passed since `earlier`; zero when `earlier` lies in the future.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

/// A clock that starts at the system's wall time and then follows the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    anchor: Instant,
    start: u64,
}

impl Clock {
    /// Anchors a clock at the present wall time.
    pub fn start() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { anchor: Instant::now(), start: u64::try_from(wall.as_micros()).unwrap_or(u64::MAX) }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.start) + self.anchor.elapsed()
    }
}
