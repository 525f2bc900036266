//! Placement of new flows by the expected completion of their requests.
//!
//! An entry of many has none or one of its requests at an upstream, so its counts are far too coarse
//! to compare upstreams whose speed differs by a fifth. Counts are turned into work by the upstream's
//! slowness and rounded at a random phase: over entries and rounds, each upstream then gets work in
//! proportion to its speed, without messages.

use std::time::Duration;

use load::Estimate;
use stdx::hash;
use stdx::time::Timestamp;

/// Answers that the prior of an upstream's slowness, the usual one of its service, counts as. With few
/// answers, a wait for a slot can't be told from a slow upstream.
const PRIOR_ANSWERS: f64 = 8.0;

/// Half-life of the answers that the slowness is learned from. An entry of many gets few answers of
/// an upstream in a minute.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(30);

/// Part of a slow answer's deviation that counts. An answer is slower than the upstream if it waited
/// for a slot, and never faster, so that quick answers tell more.
const SLOW_ANSWER_PART: f64 = 0.5;

/// Maximum deviation upwards of one answer, as a logarithm: twice as slow.
const MAX_SLOW_DEVIATION_LN: f64 = std::f64::consts::LN_2;

/// Time constant with which the view is followed: several times the age of news.
const FOLLOW_TIME: Duration = Duration::from_secs(2);

/// Requests in flight over all entries, in thousandths, below which nothing is learned.
const MIN_IN_FLIGHT_MILLI: u32 = 100;

/// Part of the wait for a slot that an upstream's share follows, as an exponent.
const QUEUE_EXPONENT: f64 = 0.5;

/// Range of an upstream's cost. The dearest one keeps a quarter of a share, so that its recovery is
/// noticed.
const MIN_COST: f64 = 0.25;
const MAX_COST: f64 = 4.0;

/// Ratio of costs, either way, that counts as usual: random variation stays below it.
const MAX_USUAL_RATIO: f64 = 1.25;

/// Distance of an upstream's turns if it gets a whole share.
const TURN_MILLI: u64 = 1_000;

/// Distance by which an upstream's turn may be behind the latest.
const MAX_LAG_MILLI: u64 = 4 * TURN_MILLI;

/// Learned time of service of an upstream, relative to the answers of its routes.
#[derive(Debug, Clone, Copy)]
pub struct Slowness {
    ratio_ln: f64,
    answers: f64,
    updated_at: Timestamp,
    ratio: f64,
}

impl Slowness {
    /// The prior of an upstream without answers: it is as slow as is usual.
    pub fn prior() -> Self {
        Self { ratio_ln: 0.0, answers: 0.0, updated_at: Timestamp::default(), ratio: 1.0 }
    }

    /// Records an answer's latency relative to the usual one of its route, in thousandths.
    pub fn observe(&mut self, now: Timestamp, latency_ratio_milli: u32) {
        let half_lives =
            now.since(self.updated_at).as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64();
        self.answers = self.answers * (-half_lives).exp2() + 1.0;
        self.updated_at = now;
        let deviation = (f64::from(latency_ratio_milli.max(1)) / 1e3).ln() - self.ratio_ln;
        let deviation = if deviation > 0.0 {
            deviation.min(MAX_SLOW_DEVIATION_LN) * SLOW_ANSWER_PART
        } else {
            deviation
        };
        self.ratio_ln += deviation / self.answers.max(1.0);
        let known = self.answers / (self.answers + PRIOR_ANSWERS);
        self.ratio = (self.ratio_ln * known).exp().clamp(MIN_COST, MAX_COST);
    }

    /// The slowness relative to the answers of its routes.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }
}

/// A phase in `0..1` at which an entry rounds an upstream's work. A new round gives another phase, so
/// that no upstream is passed over for long.
pub fn phase(seed: u64, upstream: u64, round: u64) -> f64 {
    let bits = hash::mix(upstream ^ hash::mix(seed ^ hash::mix(round))) >> 32;
    bits as f64 / f64::from(u32::MAX)
}

/// Whole requests of usual work that `count` requests at an upstream and the next one's start amount
/// to. The number of requests at which a level is reached is proportional to the speed, in the mean
/// over phases; with a slowness of 1 it is `count`.
pub fn level(count: u32, slowness: f64, phase: f64) -> u32 {
    ((f64::from(count) + phase) * slowness) as u32
}

/// What a request costs at an upstream by the shared view, relative to the usual time of service.
///
/// The slowness of answers has the wait for a slot in it. Without that it is the upstream's own,
/// which the share follows in full; the queue counts for the part `QUEUE_EXPONENT`, as it grows
/// to the full from a tenth more requests and is gone before news of it come.
pub fn shared_cost(estimate: &Estimate, slots: u32) -> f64 {
    let in_flight = f64::from(estimate.in_flight_milli) / 1e3;
    let slots = f64::from(slots.max(1));
    let wait = 1.0 + (in_flight + 1.0 - slots).max(0.0) / slots;
    f64::from(estimate.slowness_milli) / 1e3 * wait.powf(QUEUE_EXPONENT)
}

/// What a request costs at an upstream: its expected completion, followed over some seconds.
///
/// News are older than a queue lasts, and all entries hear them at once. Followed at once, they would
/// chase the upstreams that were idle half a second ago.
#[derive(Debug, Clone, Copy, Default)]
pub struct SharedCost {
    completion: Option<f64>,
    weight: f64,
    /// Whether all slots are taken, by the last news.
    is_full: bool,
    updated_at: Timestamp,
}

impl SharedCost {
    /// Follows the view.
    pub fn update(&mut self, now: Timestamp, estimate: Option<Estimate>, slots: u32) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let Some(estimate) = estimate else {
            (self.weight, self.is_full) = (0.0, false);
            return;
        };
        let target = shared_cost(&estimate, slots);
        // Nothing is learned of an upstream without requests, and the view forgets it: a slow one
        // would come back to a whole share and fail again.
        let is_idle = estimate.in_flight_milli < MIN_IN_FLIGHT_MILLI;
        let time = if is_idle { SLOWNESS_HALF_LIFE } else { FOLLOW_TIME };
        let gain = 1.0 - (-elapsed / time.as_secs_f64()).exp();
        let completion = self.completion.map_or(target, |last| last + (target - last) * gain);
        self.completion = Some(completion);
        self.weight = f64::from(estimate.weight_milli()) / 1e3;
        self.is_full = slots > 0 && estimate.in_flight_milli >= slots.saturating_mul(1_000);
    }

    /// Whether all slots of the upstream are known to be taken.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// The cost: `own`, the slowness that this entry has learned, as far as the view is not to be
    /// followed.
    pub fn blend(&self, own: f64) -> f64 {
        self.completion.map_or(own, |completion| own + (completion - own) * self.weight)
    }
}

/// A cost relative to `usual`, the mean of the service's upstreams; 1 if it hardly differs.
pub fn relative(cost: f64, usual: f64) -> f64 {
    let ratio = cost / usual.max(MIN_COST);
    let is_usual = (1.0 / MAX_USUAL_RATIO..=MAX_USUAL_RATIO).contains(&ratio);
    if is_usual { 1.0 } else { ratio.clamp(MIN_COST, MAX_COST) }
}

/// Part of the openings that leave the own zone because a request takes longer there than in others.
/// Small differences are not worth the bytes between zones.
pub fn spill(own_zone_cost: f64, other_zones_cost: f64) -> f64 {
    (1.0 - other_zones_cost * MAX_USUAL_RATIO / own_zone_cost.max(MIN_COST)).max(0.0)
}

/// Distance to an upstream's next turn, in thousandths of a round. A fast upstream has its turn more
/// often; a slow one is passed over by its [`level`] already.
pub fn turn_distance_milli(slowness: f64) -> u64 {
    (slowness.min(1.0) * TURN_MILLI as f64) as u64
}

/// Whether an upstream was passed over for rounds, because it was avoided or other zones were
/// preferred.
pub const fn is_behind(turn_milli: u64, latest_milli: u64) -> bool {
    turn_milli + MAX_LAG_MILLI < latest_milli
}

/// The next turn of an upstream that was behind. It comes back at a place that differs between
/// entries: if it were due at once at all of them, they would fill its queue.
pub fn rejoin_milli(latest_milli: u64, phase: f64) -> u64 {
    latest_milli + (phase * TURN_MILLI as f64) as u64
}

/// The place of a new upstream in the round, different at each entry.
pub fn first_turn_milli(seed: u64, upstream: u64) -> u64 {
    hash::mix(upstream ^ hash::mix(seed)) % TURN_MILLI
}
