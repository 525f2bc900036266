//! Which upstreams of a service fail more than the others, from how their answers end.
//!
//! Entries count good and failed answers and tell each other about upstreams that had failures, so
//! that one that fails is known before each entry has lost flows to it. A burst or a slow link harms
//! all upstreams of a service alike, and then none is an outlier.

use std::hash::Hash;
use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;

/// Time after which an answer counts half: several answers of a busy upstream, and short enough to
/// follow one that changes.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// The same for what happens to all upstreams at once, such as this entry's own slowness: little more
/// than the time that an answer is waited for.
const HALF_LIFE_LATELY: Duration = Duration::from_millis(250);

/// Failed answers that show more than chance; one can be a client that went away.
const EVIDENCE: f64 = 1.8;

/// Failed answers, as they have faded, that no longer matter.
const FADED: f64 = 0.5;

/// Least part of its answers that an outlier fails: below it clients' retries do.
const FAILED_LEAST: f64 = 0.15;

/// How many times more of its answers than the others of its service an outlier fails.
const FAILED_OVER_OTHERS: f64 = 2.5;

/// Upstreams of a service that may be ejected at once: one in this many.
const EJECTED_PARTS: usize = 3;

/// Time that an upstream is ejected at first; it doubles each time that it fails its trial.
const EJECT_FIRST: Duration = Duration::from_secs(2);

/// Doublings of that time at most.
const EJECT_DOUBLINGS: u32 = 3;

/// Good answers on trial after which an upstream is sound again: one that fails two answers in five
/// gets there once in 60 trials.
const TRIAL_GOOD: f64 = 8.0;

/// Longest trial; a quiet service has few flows to try with.
const TRIAL_MOST: Duration = Duration::from_secs(10);

/// Time without a trial's failure or another ejection after which earlier ones are forgotten.
const FORGET_EJECTIONS: Duration = Duration::from_secs(30);

/// Answers at most that one message of another entry may count for, so that a broken peer can't
/// outweigh all others for long.
const MESSAGE_MOST: u32 = 100;

/// News about upstreams at most in one message: fits a datagram.
const NEWS_MOST: usize = 48;

stdx::value! {
    /// How an answer ended.
    pub enum Outcome {
        /// It came, and looked as usual.
        Good,
        /// It did not come, or it was much shorter than usual.
        Failed,
    }

    /// How far an upstream is trusted.
    pub enum OutlierState {
        /// Like the others of its service.
        Healthy,
        /// Some flows show whether it has recovered.
        HalfOpen,
        /// It fails more than the others: only where nothing else is left.
        Ejected,
    }

    /// Answers of an upstream that were seen since the last news.
    pub struct Tally<K> {
        /// The upstream.
        pub key: K,
        /// Good answers.
        pub good: u32,
        /// Failed answers.
        pub failed: u32,
    }
}

/// What one entry knows of all upstreams; `K` names an upstream and `G` its service.
#[derive(Debug, Clone)]
pub struct Outliers<K, G> {
    upstreams: IndexMap<K, State<G>>,
    services: IndexMap<G, Group>,
}

#[derive(Debug, Clone)]
struct State<G> {
    service: G,
    /// Answers seen here and by other entries.
    seen: Weights,
    /// Answers seen here.
    own: Weights,
    own_lately: Weights,
    /// The last entry that told of a failed answer, and whether another one had before.
    source: Option<u64>,
    several: bool,
    /// Answers seen here since the last news.
    news: (u32, u32),
    phase: Phase,
    ejections: u32,
    last_ejected: Timestamp,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Healthy,
    Ejected { until: Timestamp },
    HalfOpen { since: Timestamp, good: f64 },
}

/// The upstreams of one service, as far as this entry has seen itself: what others tell is about
/// upstreams that fail, and would make failing look usual.
#[derive(Debug, Clone)]
struct Group {
    members: usize,
    ejected: usize,
    seen: Weights,
    lately: Weights,
}

/// Counts that fade.
#[derive(Debug, Clone, Copy)]
struct Weights {
    good: f64,
    failed: f64,
    at: Timestamp,
    half_life: Duration,
}

impl<K: Copy + Eq + Hash, G: Copy + Eq + Hash> Outliers<K, G> {
    /// Knows nothing yet.
    pub fn new() -> Self {
        Self { upstreams: IndexMap::new(), services: IndexMap::new() }
    }

    /// Takes over which upstreams there are, with their services.
    pub fn set_members(&mut self, members: impl Iterator<Item = (K, G)>) {
        let mut known = std::mem::take(&mut self.upstreams);
        self.services.values_mut().for_each(|group| (group.members, group.ejected) = (0, 0));
        for (key, service) in members {
            let state = known.swap_remove(&key).filter(|state| state.service == service);
            let state = state.unwrap_or_else(|| State::new(service));
            let group = self.services.entry(service).or_insert_with(Group::new);
            group.members += 1;
            group.ejected += usize::from(!matches!(state.phase, Phase::Healthy));
            self.upstreams.insert(key, state);
        }
    }

    /// Forgets what is known against an upstream: it has started anew, or was out of reach.
    pub fn reset(&mut self, key: K) {
        let Some(state) = self.upstreams.get_mut(&key) else {
            return;
        };
        if state.phase != Phase::Healthy
            && let Some(group) = self.services.get_mut(&state.service)
        {
            group.ejected = group.ejected.saturating_sub(1);
        }
        *state = State::new(state.service);
    }

    /// Notes an answer that this entry has seen. Returns whether the upstream's standing changed.
    pub fn record(&mut self, now: Timestamp, key: K, outcome: Outcome) -> Option<OutlierState> {
        let state = self.upstreams.get_mut(&key)?;
        let (good, failed) = match outcome {
            Outcome::Good => (1, 0),
            Outcome::Failed => (0, 1),
        };
        state.news.0 += good;
        state.news.1 += failed;
        state.own.add(now, good, failed);
        state.own_lately.add(now, good, failed);
        if let Some(group) = self.services.get_mut(&state.service) {
            group.seen.add(now, good, failed);
            group.lately.add(now, good, failed);
        }
        self.take(now, key, good, failed)
    }

    /// Takes what the entry `from` has seen. Returns whether the upstream's standing changed.
    pub fn merge(&mut self, now: Timestamp, from: u64, tally: &Tally<K>) -> Option<OutlierState> {
        let state = self.upstreams.get_mut(&tally.key)?;
        if tally.failed > 0 {
            if state.seen.at(now).failed < FADED {
                (state.source, state.several) = (None, false);
            }
            state.several |= state.source.is_some_and(|last| last != from);
            state.source = Some(from);
        }
        self.take(now, tally.key, tally.good.min(MESSAGE_MOST), tally.failed.min(MESSAGE_MOST))
    }

    /// What was seen here since the last call of upstreams that other entries should know about. While
    /// most others fail here, too, this entry has no news but its own trouble.
    pub fn take_updates(&mut self, now: Timestamp) -> Vec<Tally<K>> {
        let mut news = Vec::new();
        for (key, state) in &mut self.upstreams {
            let (good, failed) = std::mem::take(&mut state.news);
            if good + failed == 0 || news.len() >= NEWS_MOST {
                continue;
            }
            let suspect = state.phase != Phase::Healthy || state.seen.at(now).failed >= FADED;
            let group = self.services.get(&state.service);
            let usual = group.map_or(0.0, |group| group.others_failed(now, state));
            let stands_out = FAILED_OVER_OTHERS * usual <= 1.0;
            if suspect && stands_out {
                news.push(Tally { key: *key, good, failed });
            }
        }
        news
    }

    /// How far an upstream is trusted now.
    pub fn state(&mut self, now: Timestamp, key: K) -> OutlierState {
        let Some(state) = self.upstreams.get_mut(&key) else {
            return OutlierState::Healthy;
        };
        match state.phase {
            Phase::Healthy => OutlierState::Healthy,
            Phase::Ejected { until } if now < until => OutlierState::Ejected,
            Phase::Ejected { .. } => {
                state.phase = Phase::HalfOpen { since: now, good: 0.0 };
                state.seen = Weights::default();
                OutlierState::HalfOpen
            }
            Phase::HalfOpen { since, .. } if now.since(since) < TRIAL_MOST => {
                OutlierState::HalfOpen
            }
            Phase::HalfOpen { .. } => {
                self.acquit(key);
                OutlierState::Healthy
            }
        }
    }

    fn take(&mut self, now: Timestamp, key: K, good: u32, failed: u32) -> Option<OutlierState> {
        let before = self.state(now, key);
        let state = self.upstreams.get_mut(&key)?;
        state.seen.add(now, good, failed);
        match &mut state.phase {
            Phase::Ejected { .. } => {}
            Phase::HalfOpen { good: so_far, .. } => {
                *so_far += f64::from(good);
                let passed = *so_far >= TRIAL_GOOD;
                if failed > 0 {
                    self.eject(now, key);
                } else if passed {
                    self.acquit(key);
                }
            }
            Phase::Healthy => {
                if failed > 0 && self.is_outlier(now, key) {
                    self.eject(now, key);
                }
            }
        }
        let after = self.state(now, key);
        (after != before).then_some(after)
    }

    fn is_outlier(&self, now: Timestamp, key: K) -> bool {
        let Some(state) = self.upstreams.get(&key) else {
            return false;
        };
        let Some(group) = self.services.get(&state.service) else {
            return false;
        };
        let seen = state.seen.at(now);
        let own = state.own.at(now);
        let bound = FAILED_LEAST.max(FAILED_OVER_OTHERS * group.others_failed(now, state));
        let has_room = (group.ejected + 1) * EJECTED_PARTS <= group.members;
        // One entry alone may have lost its way to the upstream; that is then its own matter.
        let shown = own.failed >= EVIDENCE || state.several;
        shown && seen.failed >= EVIDENCE && seen.part_failed() >= bound && has_room
    }

    fn eject(&mut self, now: Timestamp, key: K) {
        let Some(state) = self.upstreams.get_mut(&key) else {
            return;
        };
        if state.phase == Phase::Healthy
            && let Some(group) = self.services.get_mut(&state.service)
        {
            group.ejected += 1;
        }
        if now.since(state.last_ejected) > FORGET_EJECTIONS {
            state.ejections = 0;
        }
        let time = EJECT_FIRST * 2_u32.pow(state.ejections.min(EJECT_DOUBLINGS));
        state.phase = Phase::Ejected { until: now + time };
        state.ejections += 1;
        state.last_ejected = now;
    }

    fn acquit(&mut self, key: K) {
        let Some(state) = self.upstreams.get_mut(&key) else {
            return;
        };
        state.phase = Phase::Healthy;
        state.seen = Weights::default();
        if let Some(group) = self.services.get_mut(&state.service) {
            group.ejected = group.ejected.saturating_sub(1);
        }
    }
}

impl<K: Copy + Eq + Hash, G: Copy + Eq + Hash> Default for Outliers<K, G> {
    fn default() -> Self {
        Self::new()
    }
}

impl<G> State<G> {
    fn new(service: G) -> Self {
        Self {
            service,
            seen: Weights::default(),
            own: Weights::default(),
            own_lately: Weights::lately(),
            source: None,
            several: false,
            news: (0, 0),
            phase: Phase::Healthy,
            ejections: 0,
            last_ejected: Timestamp::default(),
        }
    }
}

impl Group {
    fn new() -> Self {
        Self { members: 0, ejected: 0, seen: Weights::default(), lately: Weights::lately() }
    }

    /// The part of its answers that the others of an upstream's service fail, over the last seconds or
    /// just now, whichever is more.
    fn others_failed<G>(&self, now: Timestamp, state: &State<G>) -> f64 {
        let seen = self.seen.at(now).without(state.own.at(now)).part_failed();
        let lately = self.lately.at(now).without(state.own_lately.at(now)).part_failed();
        seen.max(lately)
    }
}

impl Default for Weights {
    fn default() -> Self {
        Self { good: 0.0, failed: 0.0, at: Timestamp::default(), half_life: HALF_LIFE }
    }
}

impl Weights {
    /// Counts that fade soon.
    fn lately() -> Self {
        Self { half_life: HALF_LIFE_LATELY, ..Self::default() }
    }

    fn add(&mut self, now: Timestamp, good: u32, failed: u32) {
        *self = self.at(now);
        self.good += f64::from(good);
        self.failed += f64::from(failed);
    }

    /// The counts as they have faded by `now`.
    fn at(&self, now: Timestamp) -> Self {
        let halvings = now.since(self.at).as_secs_f64() / self.half_life.as_secs_f64();
        let left = (-halvings).exp2();
        Self { good: self.good * left, failed: self.failed * left, at: now.max(self.at), ..*self }
    }

    /// What is left without a part of the counts.
    fn without(self, part: Self) -> Self {
        Self {
            good: (self.good - part.good).max(0.0),
            failed: (self.failed - part.failed).max(0.0),
            ..self
        }
    }

    fn part_failed(&self) -> f64 {
        let all = self.good + self.failed;
        if all > 0.0 { self.failed / all } else { 0.0 }
    }
}
