//! A hybrid logical clock: wall time, corrected so that effects always come after their causes.

use serde::{Deserialize, Serialize};
use stdx::time::Timestamp;

stdx::value! {
    /// A reading of the clock.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Stamp {
        /// Wall time in microseconds since the Unix epoch.
        pub micros: u64,
        /// Order among events of the same microsecond.
        pub counter: u32,
    }
}

/// The clock of one process.
#[derive(Debug, Clone, Default)]
pub struct Hlc {
    last: Stamp,
}

impl Hlc {
    /// The stamp of an event that happens here at `now`.
    pub fn tick(&mut self, now: Timestamp) -> Stamp {
        self.advance(now, self.last)
    }

    /// Takes over a stamp from a message, so that later events here come after it.
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
