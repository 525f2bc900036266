//! What this entry observes of each upstream, and what the view says of it.

use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

use indexmap::IndexMap;
use stdx::hash;
use stdx::time::Timestamp;

use crate::sums::{self, Load, Sums};

/// Time constant of the mean of requests in flight. Shorter than the time between two reports, so
/// that it adds little to their age, and longer than most requests, whose number is noise.
const MEAN_TIME: Duration = Duration::from_millis(150);

/// Mean load below which an upstream is left out of a report.
const MIN_MEAN: f32 = 1.0 / 128.0;

/// Weight of a report in an upstream's slowness.
const SLOWNESS_GAIN: f32 = 0.5;

/// Half-life of slowness while no entry reports any.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(4);

/// The upstreams by number. Lookups are on the way of each opening.
pub type Upstreams = IndexMap<u64, Upstream, BuildHasherDefault<MixHasher>>;

/// An upstream.
#[derive(Debug, Clone, Copy)]
pub struct Upstream {
    code: u32,
    /// Requests in flight as last observed.
    pub in_flight: u32,
    observed_at: Timestamp,
    /// Mean of the requests in flight up to `observed_at`.
    mean: f32,
    /// Sum and number of the slownesses since the last report, as binary logarithms.
    slowness_sum: f32,
    slowness_count: u32,
    /// Requests in flight at the entries that the view covers.
    pub fleet_in_flight: f32,
    /// Slowness as a binary logarithm, at `slowness_at`.
    slowness_log2: f32,
    slowness_at: Timestamp,
}

impl Upstream {
    /// An upstream that was not observed yet.
    pub const fn new(id: u64, now: Timestamp) -> Self {
        Self {
            code: sums::code_of(id),
            in_flight: 0,
            observed_at: now,
            mean: 0.0,
            slowness_sum: 0.0,
            slowness_count: 0,
            fleet_in_flight: 0.0,
            slowness_log2: 0.0,
            slowness_at: now,
        }
    }

    /// Records the requests in flight, and the slowness of one that was answered.
    pub fn observe(&mut self, now: Timestamp, in_flight: u32, slowness_milli: Option<u32>) {
        self.advance(now);
        self.in_flight = in_flight;
        if let Some(slowness_milli) = slowness_milli {
            self.slowness_sum += (slowness_milli.max(1) as f32 / 1e3).log2();
            self.slowness_count += 1;
        }
    }

    /// Slowness as a binary logarithm. Without reports it returns to the usual.
    pub fn slowness_log2(&self, now: Timestamp) -> f32 {
        let half_lives =
            now.since(self.slowness_at).as_secs_f32() / SLOWNESS_HALF_LIFE.as_secs_f32();
        self.slowness_log2 * (-half_lives).exp2()
    }

    /// Takes over what the view says.
    pub fn apply(&mut self, now: Timestamp, fleet: &Sums) {
        let load = fleet.get(self.code);
        self.fleet_in_flight = load.map_or(0.0, |load| load.in_flight);
        if let Some(slowness_log2) = load.and_then(|load| load.slowness_log2) {
            let before = self.slowness_log2(now);
            self.slowness_log2 = before + SLOWNESS_GAIN * (slowness_log2 - before);
            self.slowness_at = now;
        }
    }

    /// The load since the last report; `None` if there was none.
    fn take_load(&mut self, now: Timestamp) -> Option<Load> {
        self.advance(now);
        let slowness_count = std::mem::take(&mut self.slowness_count);
        let slowness_sum = std::mem::take(&mut self.slowness_sum);
        let slowness_log2 = (slowness_count > 0).then(|| slowness_sum / slowness_count as f32);
        (self.mean >= MIN_MEAN || slowness_log2.is_some()).then_some(Load {
            code: self.code,
            in_flight: self.mean,
            slowness_log2,
        })
    }

    /// Continues the mean up to `now`.
    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.observed_at).as_secs_f32();
        let kept = (-elapsed / MEAN_TIME.as_secs_f32()).exp();
        let in_flight = self.in_flight as f32;
        self.mean = in_flight + (self.mean - in_flight) * kept;
        self.observed_at = self.observed_at.max(now);
    }
}

/// The loads of all upstreams since the last report.
pub fn take_sums(upstreams: &mut Upstreams, now: Timestamp) -> Sums {
    Sums::new(upstreams.values_mut().filter_map(|upstream| upstream.take_load(now)).collect())
}

/// Hashes an upstream's number.
#[derive(Debug, Clone, Copy, Default)]
pub struct MixHasher(u64);

impl Hasher for MixHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u64(&mut self, number: u64) {
        self.0 = hash::mix(self.0 ^ number);
    }
}
