//! Timestamps as plain numbers, so that decisions can take the current time as an argument.

use std::ops;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

crate::value! {
    /// A point in time in microseconds since the Unix epoch.
    ///
    /// Timestamps of a process come from its [`Clock`] and never go backwards.
    #[derive(Default)]
    pub struct Timestamp(pub u64);
}

impl Timestamp {
    /// The timestamp `secs` seconds after the Unix epoch.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// The timestamp `millis` milliseconds after the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the Unix epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole seconds since the Unix epoch.
    pub const fn as_secs(self) -> u64 {
        self.0 / 1_000_000
    }

    /// The time elapsed since `earlier`; zero if `earlier` is later than `self`.
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

impl ops::Sub<Duration> for Timestamp {
    type Output = Self;

    /// The time `rhs` earlier; the Unix epoch if that is before it.
    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// A clock that starts at the wall time and then advances with the boot-time clock. Jumps of the
/// wall clock do not affect it, and time during which the machine is suspended counts.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Duration,
    start_micros: u64,
}

impl Clock {
    /// Starts a clock at the current wall time.
    pub fn start() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            started_at: since_boot(),
            start_micros: u64::try_from(wall.as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.start_micros) + since_boot().saturating_sub(self.started_at)
    }
}

/// The time since the machine was booted.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
