//! What an entry does after SIGTERM: it goes on forwarding traffic for a time, and ends when the others
//! have confirmed what it knows of flows.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kameo::actor::ActorRef;
use tokio::time::{self, Instant};

use crate::control::{Control, CountUnconfirmedPins};

/// Minimum time of draining: routers stop using an entry after two missed readiness checks, half a
/// second apart.
const MIN_DRAIN: Duration = Duration::from_millis(1_100);

/// Maximum time of draining while packets still arrive. A router that has too few other entries
/// keeps sending, and then a prompt restart is preferable to longer draining.
const MAX_DRAIN: Duration = Duration::from_millis(2_600);

/// Time without a packet after which routers are taken to have moved their traffic.
const QUIET_PERIOD: Duration = Duration::from_millis(250);

/// Share of the grace period until SIGKILL that draining may take.
const MAX_DRAIN_PERCENT: u32 = 60;

/// Waits until routers have moved their traffic to other entries, for at most a share of `grace`,
/// the time until SIGKILL. `received` counts the packets received.
pub async fn drain(grace: Duration, received: &AtomicU64) {
    let start = Instant::now();
    let max = MAX_DRAIN.min(grace * MAX_DRAIN_PERCENT / 100);
    time::sleep(MIN_DRAIN.min(max)).await;
    let mut before = received.load(Ordering::Relaxed);
    while start.elapsed() < max {
        time::sleep(QUIET_PERIOD).await;
        let now = received.load(Ordering::Relaxed);
        if now == before {
            return;
        }
        before = now;
    }
}

/// Maximum time to wait for the confirmation of pins. An entry that has crashed is listed for longer.
const MAX_CONFIRM_TIME: Duration = Duration::from_millis(700);

/// Interval between checks for it.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until the other entries have confirmed the pins of this one. Returns the number of messages
/// that some have not.
pub async fn confirm_pins(control: &ActorRef<Control>) -> usize {
    let start = Instant::now();
    loop {
        let Ok(unconfirmed) = control.ask(CountUnconfirmedPins).await else {
            return 0;
        };
        if unconfirmed == 0 || start.elapsed() >= MAX_CONFIRM_TIME {
            return unconfirmed;
        }
        time::sleep(CONFIRM_INTERVAL).await;
    }
}
