//! Giving facts to entries that start while the store is away: whom an entry offers them to, from
//! whom one without facts takes them, and how fast. See docs/design/giving-facts.md.

use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use stdx::hash;
use stdx::time::Timestamp;

use crate::record::{Member, Revision};

/// Interval at which facts are offered.
pub const OFFER_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which an entry that had facts is silent: two missed answers.
const MAX_SILENCE: Duration = Duration::from_millis(600);

/// Maximum offers at a time. More entries without facts are offered them in turn.
const MAX_OFFERS: usize = 16;

/// Successors that are offered facts at first, by an entry that does not know who has some. Far ones
/// are among them, as it may be one of few after a start of all.
const FIRST_REACH: usize = 64;

/// Successors that are offered facts after the nearest one that has some fell silent.
const MIN_REACH: usize = 4;

/// Factor by which more successors are offered facts while none that has some is found.
const REACH_FACTOR: usize = 4;

/// Time after the start in which the store alone is waited for. It usually answers in 40 ms.
const STORE_WAIT: Duration = Duration::from_millis(100);

/// Time for which a giver that failed is left alone.
const GIVER_BACKOFF: Duration = Duration::from_millis(250);

/// Maximum entries that are remembered as possible givers; any stranger can offer.
const MAX_GIVERS: usize = 16;

/// Share of a link that giving may use, in percent. The rest is left for clients' packets.
const LINK_PERCENT: u64 = 25;

/// Capacity of a link that is not known, in Mbit/s.
const UNKNOWN_LINK_MBPS: u32 = 10;

/// Maximum wait for an answer's turn. A receiver that would wait longer tries another giver.
const MAX_PACING: Duration = Duration::from_millis(300);

/// Selects the entries to which this one offers its facts.
#[derive(Debug, Clone)]
pub struct Offers {
    /// Entries that have facts, and when they said so.
    have_facts: IndexMap<SocketAddrV4, Timestamp>,
    /// Successors among which one that has facts is looked for.
    reach: usize,
    /// Number of calls, for offering in turn.
    calls: usize,
}

impl Default for Offers {
    fn default() -> Self {
        Self { have_facts: IndexMap::new(), reach: FIRST_REACH, calls: 0 }
    }
}

impl Offers {
    /// The entries to offer facts to now, to be called each [`OFFER_INTERVAL`]: the successors of
    /// `own` on the ring of all `members`, up to and with the first that has facts itself.
    pub fn due<'a>(
        &mut self,
        now: Timestamp,
        own: &str,
        members: impl Iterator<Item = (&'a str, &'a Member)>,
    ) -> Vec<SocketAddrV4> {
        self.have_facts.retain(|_, said_at| now.since(*said_at) <= MAX_SILENCE);
        let position = |name: &str| hash::mix(hash::fnv1a(name));
        let own_position = position(own);
        let mut ring: Vec<(u64, SocketAddrV4)> = members
            .filter(|(name, _)| *name != own)
            .map(|(name, member)| (position(name).wrapping_sub(own_position), member.addr))
            .collect();
        ring.sort_unstable();
        let addrs: Vec<SocketAddrV4> = ring.into_iter().map(|(_, addr)| addr).collect();
        let holder = addrs.iter().position(|addr| self.have_facts.contains_key(addr));
        let len = holder.map_or(self.reach.min(addrs.len()), |holder| holder + 1);
        self.reach = if holder.is_some() { MIN_REACH } else { (len * REACH_FACTOR).max(MIN_REACH) };
        self.calls += 1;
        let chosen = choose(len, self.calls);
        chosen.into_iter().filter_map(|index| addrs.get(index).copied()).collect()
    }

    /// Records the answer to an offer.
    pub fn on_state(&mut self, now: Timestamp, from: SocketAddrV4, needed: bool) {
        if needed {
            self.have_facts.swap_remove(&from);
        } else {
            self.have_facts.insert(from, now);
        }
    }
}

/// Chooses up to [`MAX_OFFERS`] of `len` successors: the last one, those at distances that double, so
/// that each divides what is left with the ones that it gives to, and others in turn.
fn choose(len: usize, calls: usize) -> IndexSet<usize> {
    if len <= MAX_OFFERS {
        return (0..len).collect();
    }
    let doubling = std::iter::successors(Some(1), |distance| Some(distance * 2));
    let mut chosen: IndexSet<usize> = [len - 1].into();
    chosen.extend(doubling.map(|distance| distance - 1).take_while(|index| *index < len));
    let in_turn = (0..len).cycle().skip(calls * MAX_OFFERS % len).take(len);
    let mut in_turn = in_turn.filter(|index| !chosen.contains(index));
    let mut others: Vec<usize> = Vec::new();
    while chosen.len() + others.len() < MAX_OFFERS
        && let Some(index) = in_turn.next()
    {
        others.push(index);
    }
    chosen.extend(others);
    // Far ones first: those that they give to are then not left to this entry.
    chosen.sort_unstable_by(|a, b| b.cmp(a));
    chosen
}

stdx::value! {
    /// Next step of an entry without facts.
    pub enum Step {
        /// Wait for offers, until the given time at most.
        Wait(Option<Timestamp>),
        /// Request the part of the facts that begins at the given place from this entry.
        Request(SocketAddrV4, Option<u64>),
        /// Nothing is needed any more.
        Done,
    }
}

/// Selects the giver of an entry that has started without facts.
#[derive(Debug, Clone)]
pub struct Receiver {
    /// Entries that offered facts, with the times from which on they may be requested.
    givers: IndexMap<SocketAddrV4, Timestamp>,
    /// Those of them that have failed. They give way to new ones.
    failed: IndexSet<SocketAddrV4>,
    next_at: Timestamp,
    place: Option<u64>,
    done: bool,
}

impl Receiver {
    /// Creates the state at the start of the process.
    pub fn new(now: Timestamp) -> Self {
        Self {
            givers: IndexMap::new(),
            failed: IndexSet::new(),
            next_at: now + STORE_WAIT,
            place: None,
            done: false,
        }
    }

    /// Another entry offers its facts.
    pub fn on_offer(&mut self, now: Timestamp, from: SocketAddrV4) {
        if self.givers.contains_key(&from) {
            return;
        }
        if self.givers.len() >= MAX_GIVERS {
            let Some(failed) = self.failed.shift_remove_index(0) else {
                return;
            };
            self.givers.shift_remove(&failed);
        }
        self.givers.insert(from, now);
    }

    /// Returns the next step.
    pub fn next_step(&self, now: Timestamp) -> Step {
        if self.done {
            return Step::Done;
        }
        let Some((giver, from)) = self.givers.iter().min_by_key(|(_, from)| **from) else {
            return Step::Wait(None);
        };
        let at = self.next_at.max(*from);
        if at > now { Step::Wait(Some(at)) } else { Step::Request(*giver, self.place) }
    }

    /// Records a part of `bytes`, the place of the next one, and the own link in Mbit/s. The next
    /// part is requested after a pause that leaves room for clients' packets.
    pub fn on_part(&mut self, now: Timestamp, next: Option<u64>, bytes: usize, link_mbps: u32) {
        self.place = next;
        self.done = next.is_none();
        self.next_at = now + transfer_time(bytes, link_mbps);
    }

    /// A giver did not answer, was busy or told what can't be used. Another one goes on.
    pub fn on_failure(&mut self, now: Timestamp, giver: SocketAddrV4) {
        self.givers.insert(giver, now + GIVER_BACKOFF);
        self.failed.shift_remove(&giver);
        self.failed.insert(giver);
    }

    /// The store answers. Facts are needed again if it is lost before all is read; then there will be
    /// new offers.
    pub fn on_store_answers(&mut self) {
        self.givers.clear();
        self.failed.clear();
    }

    /// The store was read.
    pub fn on_loaded(&mut self) {
        self.done = true;
    }
}

stdx::value! {
    /// What a full read of the store means for facts that were given before.
    pub enum ReadWord {
        /// Both are merged by revision.
        Merge,
        /// Given records that contradict the read are wrong.
        Prevail,
        /// All given records are wrong, as some claim to be newer than the store.
        Distrust,
        /// The read began before the facts were given, and is older than they are.
        Outdated,
    }
}

/// Weighs a full read as of `read`, whose first page was requested at `requested_at`, against given
/// records up to `newest`. The last of them, or of the words of other entries, came at `heard_at`.
pub fn weigh_read(
    read: Revision,
    requested_at: Timestamp,
    newest: Revision,
    heard_at: Timestamp,
) -> ReadWord {
    if newest == Revision::default() {
        return ReadWord::Merge;
    }
    match (requested_at > heard_at, newest > read) {
        (true, true) => ReadWord::Distrust,
        (false, true) => ReadWord::Outdated,
        // After a step the store may still lack what was true.
        (true, false) if read.era == 0 => ReadWord::Prevail,
        (_, false) => ReadWord::Merge,
    }
}

/// Spaces the parts that an entry gives, over all receivers.
#[derive(Debug, Clone, Default)]
pub struct Pacer {
    free_at: Timestamp,
}

impl Pacer {
    /// Whether a part can be admitted now. Putting one together takes time.
    pub fn is_free(&self, now: Timestamp) -> bool {
        self.free_at.since(now) <= MAX_PACING
    }

    /// Time to wait before a part of `bytes` is sent over a link of `link_mbps` (0 if unknown).
    /// `None` if the receiver shall rather try another giver.
    pub fn admit(&mut self, now: Timestamp, bytes: usize, link_mbps: u32) -> Option<Duration> {
        if !self.is_free(now) {
            return None;
        }
        let wait = self.free_at.since(now);
        self.free_at = now + wait + transfer_time(bytes, link_mbps);
        Some(wait)
    }
}

/// Time that `bytes` take in the share of a link that giving may use.
fn transfer_time(bytes: usize, link_mbps: u32) -> Duration {
    let mbps = if link_mbps == 0 { UNKNOWN_LINK_MBPS } else { link_mbps };
    // A bit in a microsecond is a megabit in a second.
    Duration::from_micros(bytes as u64 * 8 * 100 / LINK_PERCENT / u64::from(mbps))
}
