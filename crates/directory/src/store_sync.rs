//! Schedules the calls to the store: full reads, watches, and backoff after failures.

use std::time::Duration;

use stdx::time::Timestamp;

use crate::record::Revision;

/// Wait of a watch, in percent of the tightest bound. If the store becomes available again during
/// the watch, the full read that follows has to complete within the bound.
const WAIT_PERCENT: u32 = 60;

/// Interval between a response with changes and the next call, in percent of the tightest bound.
/// Changes come in batches, and calls are expensive.
const INTERVAL_PERCENT: u32 = 35;

/// Grace period for the network and a slow store beyond a call's wait, in percent of the bound.
const GRACE_PERCENT: u32 = 30;

/// A watch is late if it ends later than its wait plus the grace period divided by this. The store
/// responds within milliseconds, a slow one within some hundred milliseconds.
const LATE_GRACE_DIVISOR: u32 = 2;

/// First backoff after a failed call.
const BASE_RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum number of doublings of that backoff.
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// Maximum number of doublings while nothing was read or given. The entry can't serve, and shall do so
/// soon after the store is back.
const MAX_FIRST_RETRY_DOUBLINGS: u32 = 1;

stdx::value! {
    /// Duration and interval of the calls to the store.
    pub struct Pace {
        /// Time for which a watch waits for a change.
        pub wait: Duration,
        /// Time beyond the wait after which a call times out.
        pub grace: Duration,
        /// Time between a response with changes and the next call.
        pub interval: Duration,
    }

    /// Next action of the caller.
    pub enum Action {
        /// Read all records.
        Load,
        /// Watch for changes after a revision.
        Watch(Revision),
        /// Sleep before the next action.
        Sleep(Duration),
    }

    /// Result of a call.
    pub enum CallResult {
        /// All records were read, as of a revision.
        Loaded(Revision),
        /// A watch ended at a revision; whether there were changes.
        Watched(Revision, bool),
        /// The store has compacted the history since the requested revision.
        Compacted,
        /// The store or a proxy refused the call.
        Refused,
        /// The call timed out or the connection was lost.
        Lost,
    }
}

/// State of one entry's synchronisation with the store.
#[derive(Debug, Clone)]
pub struct StoreSync {
    pace: Pace,
    cursor: Option<Revision>,
    sleep: Option<Duration>,
    failures: u32,
    /// Time by which the current watch ends if the store is available throughout.
    deadline: Option<Timestamp>,
    lost_since: Option<Timestamp>,
    has_loaded: bool,
    /// Whether the entry can serve with what other entries gave it.
    given: bool,
}

impl Pace {
    /// The pace with which changes take effect within `bound`.
    pub fn within(bound: Duration) -> Self {
        Self {
            wait: bound * WAIT_PERCENT / 100,
            grace: bound * GRACE_PERCENT / 100,
            interval: bound * INTERVAL_PERCENT / 100,
        }
    }
}

impl StoreSync {
    /// Creates the state before the first read.
    pub fn new(pace: Pace) -> Self {
        Self {
            pace,
            cursor: None,
            sleep: None,
            failures: 0,
            deadline: None,
            lost_since: None,
            has_loaded: false,
            given: false,
        }
    }

    /// Returns the next action.
    pub fn next_action(&mut self, now: Timestamp) -> Action {
        if let Some(sleep) = self.sleep.take() {
            return Action::Sleep(sleep);
        }
        self.deadline =
            self.cursor.map(|_| now + self.pace.wait + self.pace.grace / LATE_GRACE_DIVISOR);
        self.cursor.map_or(Action::Load, Action::Watch)
    }

    /// Whether a watch that ends now has exceeded its wait. The store may have been unavailable
    /// meanwhile, and its response may show records that expired in the outage as removed.
    pub fn is_late(&self, now: Timestamp) -> bool {
        self.deadline.is_some_and(|deadline| deadline < now)
    }

    /// Handles the result of a call. Returns whether the store is available again after an outage.
    pub fn on_result(&mut self, now: Timestamp, result: CallResult) -> bool {
        match result {
            CallResult::Loaded(revision) => {
                self.failures = 0;
                self.has_loaded = true;
                self.cursor = Some(revision);
                return self.lost_since.take().is_some();
            }
            CallResult::Watched(revision, changed) => {
                self.failures = 0;
                if self.cursor.is_some_and(|cursor| cursor.era != revision.era) {
                    // The changes since the cursor are unknown if the store lost some of them.
                    self.cursor = None;
                    return false;
                }
                self.cursor = Some(revision);
                self.sleep = changed.then_some(self.pace.interval);
            }
            CallResult::Compacted => self.cursor = None,
            CallResult::Refused | CallResult::Lost => {
                // A watch may have missed changes while the store was unavailable, so all is read.
                self.cursor = None;
                let max_doublings = if self.has_loaded || self.given {
                    MAX_RETRY_DOUBLINGS
                } else {
                    MAX_FIRST_RETRY_DOUBLINGS
                };
                self.sleep = Some(BASE_RETRY_BACKOFF * 2_u32.pow(self.failures.min(max_doublings)));
                self.failures += 1;
                self.lost_since.get_or_insert(now);
            }
        }
        false
    }

    /// Sets whether the entry can serve with what other entries gave it, so that the store's return
    /// is less urgent.
    pub fn set_given(&mut self, given: bool) {
        self.given = given;
    }

    /// Handles a newer era of the store: all records are read again at once.
    pub fn on_new_era(&mut self) {
        self.cursor = None;
        self.sleep = None;
    }

    /// Handles a pause of this process: the state may be outdated, so all records are read again.
    pub fn on_process_pause(&mut self) {
        self.cursor = None;
        self.sleep = None;
    }

    /// Time since which the store does not respond.
    pub fn lost_since(&self) -> Option<Timestamp> {
        self.lost_since
    }

    /// Sets the pace.
    pub fn set_pace(&mut self, pace: Pace) {
        self.pace = pace;
    }

    /// The current pace.
    pub fn pace(&self) -> Pace {
        self.pace
    }
}
