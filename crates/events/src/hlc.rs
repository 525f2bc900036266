//! Hybrid logical clock: wall time, advanced where needed so that an effect is always stamped after
//! its cause.

use serde::{Deserialize, Serialize};
use stdx::time::Timestamp;

stdx::value! {
    /// A timestamp of a hybrid logical clock.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Stamp {
        /// Wall time in microseconds since the Unix epoch.
        pub micros: u64,
        /// Orders stamps with the same `micros`.
        pub counter: u32,
    }
}

/// The hybrid logical clock of one process.
#[derive(Debug, Clone, Default)]
pub struct Hlc {
    last: Stamp,
}

impl Hlc {
    /// The stamp of a local event at `now`.
    pub fn tick(&mut self, now: Timestamp) -> Stamp {
        self.advance(now, self.last)
    }

    /// Merges a stamp received in a message, so that later local events are stamped after it.
    pub fn observe(&mut self, now: Timestamp, remote: Stamp) -> Stamp {
        self.advance(now, self.last.max(remote))
    }

    fn advance(&mut self, now: Timestamp, floor: Stamp) -> Stamp {
        self.last = if now.as_micros() > floor.micros {
            Stamp { micros: now.as_micros(), counter: 0 }
        } else {
            Stamp { micros: floor.micros, counter: floor.counter + 1 }
        };
        self.last
    }
}
