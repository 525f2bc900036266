//! How long an entry goes on carrying after it was told to stop.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::{self, Instant};

/// Time that an entry goes on carrying after SIGTERM, at the least: routers take an entry out after
/// two misses half a second apart.
const LINGER_LEAST: Duration = Duration::from_millis(1_100);

/// The same at the most, while packets still come: a router that has too few other entries goes on
/// sending, and then this entry had better be back soon.
const LINGER_MOST: Duration = Duration::from_millis(2_600);

/// Time without a packet that shows that routers have moved on.
const QUIET: Duration = Duration::from_millis(250);

/// Part of the time until SIGKILL that the linger may use, in percent.
const LINGER_PERCENT: u32 = 60;

/// Goes on carrying until routers have moved on, for a part of `grace` at most. `received` counts the
/// packets that came.
pub async fn drain(grace: Duration, received: &AtomicU64) {
    let start = Instant::now();
    let most = LINGER_MOST.min(grace * LINGER_PERCENT / 100);
    time::sleep(LINGER_LEAST.min(most)).await;
    let mut seen = received.load(Ordering::Relaxed);
    while start.elapsed() < most {
        time::sleep(QUIET).await;
        let now = received.load(Ordering::Relaxed);
        if now == seen {
            return;
        }
        seen = now;
    }
}
