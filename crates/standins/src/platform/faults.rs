//! Fault injection for the key-value service.

use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;
use tonic::Status;

/// The injected faults, and counts of the calls.
#[derive(Debug)]
pub struct Faults {
    state: Mutex<State>,
    watch_cuts: watch::Sender<u64>,
}

#[derive(Debug, Clone, Copy, Default)]
struct State {
    down: bool,
    delay: Duration,
    replies_to_lose: u32,
    reads: u64,
    writes: u64,
    watches: u64,
}

stdx::value! {
    /// Numbers of calls received.
    pub struct Calls {
        /// Reads.
        pub reads: u64,
        /// Writes.
        pub writes: u64,
        /// Creations of watches.
        pub watches: u64,
    }
}

impl Default for Faults {
    fn default() -> Self {
        Self { state: Mutex::default(), watch_cuts: watch::Sender::new(0) }
    }
}

impl Faults {
    /// Starts or ends an outage; starting one also cuts all watches.
    pub fn set_down(&self, down: bool) {
        self.update(|state| state.down = down);
        if down {
            self.cut_watches();
        }
    }

    /// Delays every call by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.update(|state| state.delay = delay);
    }

    /// Drops the replies of the next `count` writes after the writes took effect.
    pub fn lose_replies(&self, count: u32) {
        self.update(|state| state.replies_to_lose = count);
    }

    /// Ends all watches with an error.
    pub fn cut_watches(&self) {
        self.watch_cuts.send_modify(|count| *count += 1);
    }

    /// A receiver that is notified each time watches are cut.
    pub fn subscribe_watch_cuts(&self) -> watch::Receiver<u64> {
        self.watch_cuts.subscribe()
    }

    /// Numbers of calls received so far.
    pub fn calls(&self) -> Calls {
        let state = self.state();
        Calls { reads: state.reads, writes: state.writes, watches: state.watches }
    }

    /// Counts a read and applies the faults to it.
    ///
    /// # Errors
    ///
    /// Returns `unavailable` during an outage.
    pub async fn on_read(&self) -> Result<(), Status> {
        self.update(|state| state.reads += 1);
        self.apply().await
    }

    /// Counts a write and applies the faults to it.
    ///
    /// # Errors
    ///
    /// Returns `unavailable` during an outage.
    pub async fn on_write(&self) -> Result<(), Status> {
        self.update(|state| state.writes += 1);
        self.apply().await
    }

    /// Counts the creation of a watch and applies the faults to it.
    ///
    /// # Errors
    ///
    /// Returns `unavailable` during an outage.
    pub async fn on_watch(&self) -> Result<(), Status> {
        self.update(|state| state.watches += 1);
        self.apply().await
    }

    /// Applies the faults to the reply of a write that took effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the reply has to be dropped.
    pub fn on_write_reply(&self) -> Result<(), Status> {
        let mut lost = false;
        self.update(|state| {
            lost = state.replies_to_lose > 0;
            state.replies_to_lose = state.replies_to_lose.saturating_sub(1);
        });
        if lost { Err(Status::unavailable("reply lost")) } else { Ok(()) }
    }

    async fn apply(&self) -> Result<(), Status> {
        let state = self.state();
        if !state.delay.is_zero() {
            tokio::time::sleep(state.delay).await;
        }
        if state.down { Err(Status::unavailable("outage")) } else { Ok(()) }
    }

    fn state(&self) -> State {
        *self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn update(&self, f: impl FnOnce(&mut State)) {
        f(&mut self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner));
    }
}
