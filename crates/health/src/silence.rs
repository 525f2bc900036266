//! Finds upstreams that have fallen silent, from what all entries sent to them and got no sign of
//! life for.
//!
//! Each entry sees a few flows of an upstream. It tells the others of openings and copies of
//! requests that were not answered, and of signs of life of upstreams that others suspect, each with
//! its age. A queue must not explain them: an upstream answers openings at once and acknowledges every
//! second packet, but a request of one packet may wait for its acknowledgement until it is answered.

use std::hash::Hash;
use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;

/// Observations that are kept of an upstream.
const MAX_UNANSWERED: usize = 8;

/// Age from which an opening counts as unanswered. Sooner its answer may be under way.
const MIN_OPENING_AGE: Duration = Duration::from_millis(100);

/// Weight of an opening; a client may have accepted the answer to a hedged one first.
const OPENING_WEIGHT: u32 = 1;

/// Weight of a copy of a request.
const REQUEST_WEIGHT: u32 = 2;

/// Weight from which an upstream is a suspect.
const MIN_SUSPECT_WEIGHT: u32 = 2;

/// Weight from which it counts as silent. One copy can be due to a lost packet.
const MIN_SILENT_WEIGHT: u32 = 4;

/// Time without a sign of life that this evidence has to span.
const MIN_SILENCE: Duration = Duration::from_millis(200);

/// Time that the news of another entry may have waited on its way. What it tells of is dated back by
/// it, so that a sign of life is not taken for an older one.
const MAX_TRANSIT: Duration = Duration::from_millis(50);

/// Time by which a sign of life has to follow a copied request to show that the copy was due to the
/// network. A request that was sent as the upstream ended may seem older than its last sign of life.
const MIN_REFUTED_BY: Duration = Duration::from_millis(100);

/// Maximum number of upstreams in one message. While a choked link has all clients send copies, messages
/// to 48 entries each 40 ms must not take much of it; the rest follows in the next ones.
const MAX_NEWS_PER_MESSAGE: usize = 4;

/// Number of this entry as an observer.
const SELF: u64 = 0;

stdx::value! {
    /// What was sent to an upstream.
    pub enum Sent {
        /// The opening of a flow.
        Opening,
        /// A request of which the client sent a copy, although an upstream that lives would have
        /// acknowledged it before.
        Request,
        /// A request of which the client sent a copy, and that may wait in the upstream's queue. It makes
        /// the upstream a suspect, but doesn't show that it is silent.
        QueuedRequest,
    }

    /// Something that was sent and not answered.
    struct Unanswered {
        sent: Sent,
        sent_at: Timestamp,
        observer: u64,
        told: bool,
    }
}

stdx::record! {
    /// What an entry tells the others of an upstream.
    pub struct News<K> {
        /// The upstream.
        pub key: K,
        /// What it did not answer since its last sign of life, with the time since it was sent.
        pub unanswered: Vec<(Sent, Duration)>,
        /// Time since its last sign of life, if the others may not know of it.
        pub alive: Option<Duration>,
    }
}

/// Silence of all upstreams; `K` identifies an upstream and `G` its service.
#[derive(Debug, Clone)]
pub struct Silences<K, G> {
    upstreams: IndexMap<K, Upstream<G>>,
    lifetime: Duration,
    /// Until when any evidence counts; without it, openings look nothing up.
    evidence_until: Timestamp,
    /// Index of the upstream of which the others are told next.
    next_told: usize,
    /// Entries whose clients copied requests to upstreams that live, and when that was last known:
    /// their links lose packets, or are choked.
    refuted: IndexMap<u64, Timestamp>,
}

#[derive(Debug, Clone)]
struct Upstream<G> {
    service: G,
    /// Last sign of life that any entry has seen, and that this one has seen.
    alive_at: Timestamp,
    own_alive_at: Timestamp,
    /// What was sent after it and not answered.
    unanswered: [Option<Unanswered>; MAX_UNANSWERED],
    /// Whether the others are to be told of the last sign of life.
    tell_alive: bool,
}

impl<K: Copy + Eq + Hash, G: Copy + Eq> Silences<K, G> {
    /// No upstreams. Evidence counts for `lifetime` after it was sent.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            upstreams: IndexMap::new(),
            lifetime,
            evidence_until: Timestamp::default(),
            next_told: 0,
            refuted: IndexMap::new(),
        }
    }

    /// Sets the upstreams with their services. Those that stay keep their state.
    pub fn set_members(&mut self, members: impl Iterator<Item = (K, G)>) {
        let mut previous = std::mem::take(&mut self.upstreams);
        for (key, service) in members {
            let upstream = previous.swap_remove(&key).filter(|u| u.service == service);
            self.upstreams.insert(key, upstream.unwrap_or_else(|| Upstream::new(service)));
        }
    }

    /// Forgets what is known of an upstream that has started anew.
    pub fn reset(&mut self, key: K) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            *upstream = Upstream::new(upstream.service);
        }
    }

    /// Records that this entry sent something at `sent_at` that has not been answered.
    pub fn record_unanswered(&mut self, now: Timestamp, key: K, sent: Sent, sent_at: Timestamp) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            let unanswered = Unanswered { sent, sent_at, observer: SELF, told: false };
            upstream.add(now, self.lifetime, unanswered);
            self.evidence_until = self.evidence_until.max(sent_at + self.lifetime);
        }
    }

    /// Records a sign of life that this entry sees.
    pub fn record_alive(&mut self, now: Timestamp, key: K) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.own_alive_at = now;
            upstream.tell_alive |= upstream.unanswered.iter().flatten().any(|item| item.told);
            upstream.mark_alive(now, |observer| _ = self.refuted.insert(observer, now));
        }
    }

    /// Adds what the entry `from` tells.
    pub fn merge(&mut self, now: Timestamp, from: u64, news: &News<K>) {
        let Some(upstream) = self.upstreams.get_mut(&news.key) else {
            return;
        };
        if let Some(age) = news.alive {
            let at = now - age;
            upstream.mark_alive(at, |observer| _ = self.refuted.insert(observer, now));
            upstream.tell_alive &= upstream.own_alive_at > at;
        }
        for (sent, age) in news.unanswered.iter().take(MAX_UNANSWERED) {
            let sent_at = now - (*age + MAX_TRANSIT);
            upstream.tell_alive |= upstream.own_alive_at >= sent_at;
            let unanswered = Unanswered { sent: *sent, sent_at, observer: from, told: true };
            if unanswered.is_refuted(upstream.alive_at) {
                self.refuted.insert(from, now);
            }
            upstream.add(now, self.lifetime, unanswered);
            self.evidence_until = self.evidence_until.max(sent_at + self.lifetime);
        }
    }

    /// Returns what the other entries are to be told: first of upstreams that live, as others may be
    /// about to act on their silence, and of all in turn, as some may always have news.
    pub fn take_news(&mut self, now: Timestamp) -> Vec<News<K>> {
        self.refuted.retain(|_, at| now.since(*at) <= self.lifetime);
        let mut all = Vec::new();
        let (len, first) = (self.upstreams.len(), self.next_told);
        for only_alive in [true, false] {
            for index in (0..len).map(|offset| (first + offset) % len) {
                let Some((key, upstream)) = self.upstreams.get_index_mut(index) else {
                    continue;
                };
                if upstream.is_quiet() || only_alive && !upstream.tell_alive {
                    continue;
                }
                if all.len() >= MAX_NEWS_PER_MESSAGE {
                    return all;
                }
                if let Some(news) = upstream.take_news(now, *key, self.lifetime) {
                    all.push(news);
                    self.next_told = index + 1;
                }
            }
        }
        all
    }

    /// Whether there is evidence against an upstream, seen by any entry.
    pub fn is_suspect(&self, now: Timestamp, key: K) -> bool {
        now <= self.evidence_until && self.weight(now, key) >= MIN_SUSPECT_WEIGHT
    }

    /// Whether a copy of a request to the upstream was not answered either, at any entry.
    pub fn has_unanswered_request(&self, now: Timestamp, key: K) -> bool {
        self.upstreams.get(&key).is_some_and(|u| u.has_unanswered_request(now, self.lifetime))
    }

    /// Whether an upstream shows no sign of life to any entry, as two of them at least have seen,
    /// while at least half of its service does.
    pub fn is_silent(&self, now: Timestamp, key: K) -> bool {
        let is_sound = |observer: u64| {
            self.refuted.get(&observer).is_none_or(|at| now.since(*at) > self.lifetime)
        };
        let is_silent = |u: &Upstream<G>| u.is_silent(now, self.lifetime, is_sound);
        let Some(upstream) = self.upstreams.get(&key).filter(|u| is_silent(u)) else {
            return false;
        };
        let members = || self.upstreams.values().filter(|u| u.service == upstream.service);
        let silent = members().filter(|u| is_silent(u)).count();
        silent * 2 <= members().count()
    }

    fn weight(&self, now: Timestamp, key: K) -> u32 {
        self.upstreams.get(&key).map_or(0, |upstream| upstream.weight(now, self.lifetime))
    }
}

impl<G> Upstream<G> {
    fn new(service: G) -> Self {
        Self {
            service,
            alive_at: Timestamp::default(),
            own_alive_at: Timestamp::default(),
            unanswered: [None; MAX_UNANSWERED],
            tell_alive: false,
        }
    }

    fn is_quiet(&self) -> bool {
        !self.tell_alive && self.unanswered[0].is_none()
    }

    fn take_news<K>(&mut self, now: Timestamp, key: K, lifetime: Duration) -> Option<News<K>> {
        let alive = std::mem::take(&mut self.tell_alive)
            .then(|| now.since(self.own_alive_at))
            .filter(|age| *age <= lifetime);
        // A single opening is mostly one that a client accepted elsewhere.
        let is_suspect = self.weight(now, lifetime) >= MIN_SUSPECT_WEIGHT;
        let mut unanswered = Vec::new();
        for item in self.unanswered.iter_mut().flatten() {
            if is_suspect && !item.told && item.counts(now, lifetime) {
                item.told = true;
                unanswered.push((item.sent, now.since(item.sent_at)));
            }
        }
        (alive.is_some() || !unanswered.is_empty()).then_some(News { key, unanswered, alive })
    }

    fn mark_alive(&mut self, at: Timestamp, refute: impl FnMut(u64)) {
        self.alive_at = self.alive_at.max(at);
        let refuted = self.unanswered.iter().flatten().filter(|item| item.is_refuted(at));
        refuted.map(|item| item.observer).for_each(refute);
        self.retain(|item, alive_at| item.sent_at > alive_at);
    }

    /// Removes items and closes the gaps.
    fn retain(&mut self, keep: impl Fn(&Unanswered, Timestamp) -> bool) {
        let mut kept = [None; MAX_UNANSWERED];
        let items = self.unanswered.iter().flatten().filter(|item| keep(item, self.alive_at));
        kept.iter_mut().zip(items).for_each(|(slot, item)| *slot = Some(*item));
        self.unanswered = kept;
    }

    /// Adds an item. The newest queued request makes room, which is no evidence. Without any, the newest
    /// item does, so that the silence keeps its length, but not for a queued request.
    fn add(&mut self, now: Timestamp, lifetime: Duration, item: Unanswered) {
        if item.sent_at <= self.alive_at || now.since(item.sent_at) > lifetime {
            return;
        }
        self.retain(|item, _| now.since(item.sent_at) <= lifetime);
        let is_queued =
            |item: &Option<Unanswered>| item.is_some_and(|item| item.sent == Sent::QueuedRequest);
        let free = self.unanswered.iter().position(Option::is_none);
        let place = free.or_else(|| self.unanswered.iter().rposition(is_queued));
        if place.is_some() || item.sent != Sent::QueuedRequest {
            self.unanswered[place.unwrap_or(MAX_UNANSWERED - 1)] = Some(item);
        }
    }

    fn counting(&self, now: Timestamp, lifetime: Duration) -> impl Iterator<Item = &Unanswered> {
        self.unanswered.iter().map_while(Option::as_ref).filter(move |u| u.counts(now, lifetime))
    }

    fn weight(&self, now: Timestamp, lifetime: Duration) -> u32 {
        self.counting(now, lifetime).map(Unanswered::weight).sum()
    }

    fn has_unanswered_request(&self, now: Timestamp, lifetime: Duration) -> bool {
        self.counting(now, lifetime).any(|item| item.sent == Sent::Request)
    }

    fn is_silent(
        &self,
        now: Timestamp,
        lifetime: Duration,
        is_sound: impl Fn(u64) -> bool + Copy,
    ) -> bool {
        let counting = || {
            let counting = self.counting(now, lifetime).filter(|u| u.sent != Sent::QueuedRequest);
            counting.filter(move |item| is_sound(item.observer))
        };
        let mut observers = counting().map(|item| item.observer);
        let first = observers.next();
        let oldest = counting().map(|item| item.sent_at).min();
        counting().any(|item| item.sent == Sent::Request)
            && first.is_some_and(|first| observers.any(|other| other != first))
            && counting().map(Unanswered::weight).sum::<u32>() >= MIN_SILENT_WEIGHT
            && oldest.is_some_and(|oldest| now.since(oldest) >= MIN_SILENCE)
    }
}

impl Unanswered {
    fn weight(&self) -> u32 {
        match self.sent {
            Sent::Opening => OPENING_WEIGHT,
            Sent::Request | Sent::QueuedRequest => REQUEST_WEIGHT,
        }
    }

    fn is_refuted(&self, alive_at: Timestamp) -> bool {
        self.sent == Sent::Request && self.sent_at + MIN_REFUTED_BY <= alive_at
    }

    fn counts(&self, now: Timestamp, lifetime: Duration) -> bool {
        let age = now.since(self.sent_at);
        age <= lifetime && (self.sent != Sent::Opening || age >= MIN_OPENING_AGE)
    }
}
