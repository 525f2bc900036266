//! Faults that the stand-in shows on demand.

use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;
use tonic::Status;

/// The faults in force.
#[derive(Debug)]
pub struct Faults {
    state: Mutex<State>,
    cut: watch::Sender<u64>,
}

#[derive(Debug, Clone, Copy, Default)]
struct State {
    down: bool,
    delay: Duration,
    lose_replies: u32,
    reads: u64,
    writes: u64,
    watches: u64,
}

stdx::value! {
    /// Calls that the stand-in has seen.
    pub struct Calls {
        /// Reads.
        pub reads: u64,
        /// Writes.
        pub writes: u64,
        /// Watches opened.
        pub watches: u64,
    }
}

impl Default for Faults {
    fn default() -> Self {
        Self { state: Mutex::default(), cut: watch::Sender::new(0) }
    }
}

impl Faults {
    /// Starts or ends an outage; an outage cuts all watches.
    pub fn set_down(&self, down: bool) {
        self.change(|state| state.down = down);
        if down {
            self.cut_watches();
        }
    }

    /// Makes every call slower.
    pub fn set_delay(&self, delay: Duration) {
        self.change(|state| state.delay = delay);
    }

    /// Loses the replies of the next writes after they took effect.
    pub fn lose_replies(&self, count: u32) {
        self.change(|state| state.lose_replies = count);
    }

    /// Ends all watches.
    pub fn cut_watches(&self) {
        self.cut.send_modify(|count| *count += 1);
    }

    /// Changes whenever watches are cut.
    pub fn cuts(&self) -> watch::Receiver<u64> {
        self.cut.subscribe()
    }

    /// Calls seen so far.
    pub fn calls(&self) -> Calls {
        let state = self.read();
        Calls { reads: state.reads, writes: state.writes, watches: state.watches }
    }

    /// Passes a read.
    ///
    /// # Errors
    ///
    /// Fails during an outage.
    pub async fn pass_read(&self) -> Result<(), Status> {
        self.change(|state| state.reads += 1);
        self.pass().await
    }

    /// Passes a write.
    ///
    /// # Errors
    ///
    /// Fails during an outage.
    pub async fn pass_write(&self) -> Result<(), Status> {
        self.change(|state| state.writes += 1);
        self.pass().await
    }

    /// Passes the opening of a watch.
    ///
    /// # Errors
    ///
    /// Fails during an outage.
    pub async fn pass_watch(&self) -> Result<(), Status> {
        self.change(|state| state.watches += 1);
        self.pass().await
    }

    /// Passes the reply of a write that took effect.
    ///
    /// # Errors
    ///
    /// Fails if the reply is to be lost.
    pub fn pass_reply(&self) -> Result<(), Status> {
        let mut lost = false;
        self.change(|state| {
            lost = state.lose_replies > 0;
            state.lose_replies = state.lose_replies.saturating_sub(1);
        });
        if lost { Err(Status::unavailable("reply lost")) } else { Ok(()) }
    }

    async fn pass(&self) -> Result<(), Status> {
        let state = self.read();
        if !state.delay.is_zero() {
            tokio::time::sleep(state.delay).await;
        }
        if state.down { Err(Status::unavailable("outage")) } else { Ok(()) }
    }

    fn read(&self) -> State {
        *self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn change(&self, f: impl FnOnce(&mut State)) {
        f(&mut self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner));
    }
}
