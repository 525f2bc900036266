//! When to read the store, and how: all of it, or what has changed.

use std::time::Duration;

use stdx::time::Timestamp;

/// Part of the tightest bound that a waiting call may last, in percent: a store that came back
/// while the call was waiting has to be read again inside the bound.
const WAIT_PERCENT: u32 = 60;

/// Part of the tightest bound between an answer with changes and the next call, in percent.
/// Changes come in batches, and calls cost.
const PACE_PERCENT: u32 = 35;

/// Time that the network and a slow store may add to a call, as a part of the bound in percent.
const SLACK_PERCENT: u32 = 30;

/// The part of the slack that a punctual answer may use: the store takes milliseconds, a slow one
/// some hundred.
const LATE_PART: u32 = 2;

/// First wait after a call that failed.
const RETRY_FIRST: Duration = Duration::from_millis(100);

/// Doublings of that wait at most.
const RETRY_DOUBLINGS: u32 = 3;

stdx::value! {
    /// How long calls take and how often they come.
    pub struct Pace {
        /// How long a call may wait for a change.
        pub wait: Duration,
        /// Time after which a call that has no answer is given up, beyond its wait.
        pub grace: Duration,
        /// Time between changes and the next call.
        pub interval: Duration,
    }

    /// What to do next.
    pub enum Action {
        /// Read everything.
        Load,
        /// Wait for changes after a revision.
        Watch(u64),
        /// Do nothing for a while.
        Sleep(Duration),
    }

    /// How a call went.
    pub enum CallResult {
        /// Everything was read, up to a revision.
        Loaded(u64),
        /// Changes up to a revision; whether there were any.
        Watched(u64, bool),
        /// The store no longer knows the changes since the revision.
        Compacted,
        /// The store, or something before it, refused.
        Refused,
        /// No answer in time, or the connection was lost.
        Lost,
    }
}

/// Where one entry is in following the store.
#[derive(Debug, Clone)]
pub struct StoreSync {
    pace: Pace,
    cursor: Option<u64>,
    pause: Option<Duration>,
    failures: u32,
    /// By when the waiting call has an answer, if the store was there all the while.
    answer_by: Option<Timestamp>,
    lost_since: Option<Timestamp>,
}

impl Pace {
    /// The pace that keeps a bound on how late a change may be in force.
    pub fn within(bound: Duration) -> Self {
        Self {
            wait: bound * WAIT_PERCENT / 100,
            grace: bound * SLACK_PERCENT / 100,
            interval: bound * PACE_PERCENT / 100,
        }
    }
}

impl StoreSync {
    /// Has read nothing.
    pub fn new(pace: Pace) -> Self {
        Self { pace, cursor: None, pause: None, failures: 0, answer_by: None, lost_since: None }
    }

    /// What to do next.
    pub fn next_action(&mut self, now: Timestamp) -> Action {
        if let Some(pause) = self.pause.take() {
            return Action::Sleep(pause);
        }
        self.answer_by = self.cursor.map(|_| now + self.pace.wait + self.pace.grace / LATE_PART);
        self.cursor.map_or(Action::Load, Action::Watch)
    }

    /// Whether a waiting call that ends now has outlasted its wait: the store may have been away
    /// meanwhile, and what it says may be what an outage left.
    pub fn is_late(&self, now: Timestamp) -> bool {
        self.answer_by.is_some_and(|by| by < now)
    }

    /// Takes an answer. Returns whether the store has come back with it.
    pub fn on_result(&mut self, now: Timestamp, answer: CallResult) -> bool {
        match answer {
            CallResult::Loaded(at) => {
                self.failures = 0;
                self.cursor = Some(at);
                return self.lost_since.take().is_some();
            }
            CallResult::Watched(at, any) => {
                self.failures = 0;
                self.cursor = Some(at);
                self.pause = any.then_some(self.pace.interval);
            }
            CallResult::Compacted => self.cursor = None,
            CallResult::Refused | CallResult::Lost => {
                // A watch may have been silent while the store was away, so all is read again.
                self.cursor = None;
                self.pause = Some(RETRY_FIRST * 2_u32.pow(self.failures.min(RETRY_DOUBLINGS)));
                self.failures += 1;
                self.lost_since.get_or_insert(now);
            }
        }
        false
    }

    /// Notes that the process stood still, so that what it knows may be old: all is read again.
    pub fn on_process_pause(&mut self) {
        self.cursor = None;
        self.pause = None;
    }

    /// Since when the store does not answer.
    pub fn lost_since(&self) -> Option<Timestamp> {
        self.lost_since
    }

    /// Takes over another pace.
    pub fn set_pace(&mut self, pace: Pace) {
        self.pace = pace;
    }

    /// The pace of its calls.
    pub fn pace(&self) -> Pace {
        self.pace
    }
}
