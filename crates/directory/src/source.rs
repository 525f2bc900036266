//! Who reads the store, and who is told by an entry that does.
//!
//! One waiting call an entry does not scale, and calls cost. A few entries of each zone read the
//! store; the others ask one of them for changes. How old an answer may be is bounded by its age, which
//! counts from the store's last answer to the reader and grows on the way; who is told too old things
//! reads the store itself.

use std::cmp::Reverse;
use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;
use stdx::hash;
use stdx::time::Timestamp;

use crate::record::Member;
use crate::store_sync::Pace;

/// Readers of a zone at the least, so that one may die.
const READERS_LEAST: usize = 2;

/// Entries of a zone that one reader more is for: about as many calls a second as a reader has
/// packets to spare for.
const FOLLOWERS_A_READER: usize = 32;

/// Part of the tightest bound up to which an answer may be old, in percent; in the rest the store is
/// read.
const TRUST_PERCENT: u32 = 70;

/// Part of the tightest bound that a reader waits for the store's changes, and a follower for the
/// reader's, in percent: with a reader's pause (35%) it stays within the trust.
const WAIT_PERCENT: u32 = 25;

/// Time that an answer may take beyond its wait, in the same zone and with a small processor share.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Time for which a reader that failed is not asked again.
const DISTRUST: Duration = Duration::from_secs(5);

stdx::record! {
    /// What an entry does for the others of its zone.
    pub enum Role {
        /// Reads the store for itself; nobody would be told by it.
        Alone,
        /// Reads the store for others, too.
        Reader,
        /// Is told by one of these, best first.
        Follower(Vec<SocketAddrV4>),
    }
}

stdx::value! {
    /// Whom to ask for changes.
    pub enum Source {
        /// The store.
        Store,
        /// A reader.
        Reader(ReaderCall),
    }

    /// A call to a reader.
    pub struct ReaderCall {
        /// The reader.
        pub addr: SocketAddrV4,
        /// How long the call may wait for a change.
        pub wait: Duration,
        /// Time after which it is given up.
        pub timeout: Duration,
    }
}

/// What one entry knows of its readers.
#[derive(Debug, Clone)]
pub struct SourceSelector {
    bound: Duration,
    /// All that the store had acknowledged by then is known here.
    fresh_at: Timestamp,
    distrusted: IndexMap<SocketAddrV4, Timestamp>,
}

/// An entry that asks for its role.
#[derive(Debug, Clone, Copy)]
pub struct LocalEntry<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Capacity of its link in Mbit/s.
    pub link_mbps: u32,
}

/// The place of an entry among those of its zone, best reader first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank<'a> {
    link: Reverse<u32>,
    number: u64,
    name: &'a str,
    /// Where it passes changes on; `None` for the entry that asks.
    addr: Option<SocketAddrV4>,
}

/// The role of an entry, of `members` with their names, which may lack it. All entries that see the
/// same members agree. Those with the widest links read, for a reader sends more than it reads.
pub fn role<'a>(own: LocalEntry<'a>, members: impl Iterator<Item = (&'a str, &'a Member)>) -> Role {
    let rank = |name: &'a str, link_mbps: u32, addr| Rank {
        link: Reverse(link_mbps),
        number: hash::mix(hash::of_name(name)),
        name,
        addr,
    };
    let mut ranked: Vec<Rank<'_>> = members
        .filter(|(name, member)| member.zone == own.zone && *name != own.name)
        .map(|(name, member)| rank(name, member.link_mbps, Some(member.addr)))
        .collect();
    ranked.push(rank(own.name, own.link_mbps, None));
    ranked.sort_unstable();
    let readers = READERS_LEAST.max(ranked.len().div_ceil(FOLLOWERS_A_READER));
    if ranked.len() <= readers {
        return Role::Alone;
    }
    ranked.truncate(readers);
    if ranked.iter().any(|rank| rank.addr.is_none()) {
        return Role::Reader;
    }
    // Followers begin with different readers.
    let own = hash::of_name(own.name);
    ranked.sort_unstable_by_key(|rank| hash::mix(rank.number ^ own));
    Role::Follower(ranked.into_iter().filter_map(|rank| rank.addr).collect())
}

impl Role {
    /// Its name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Alone => "alone",
            Self::Reader => "reader",
            Self::Follower(_) => "follower",
        }
    }

    /// The pace at which an entry of this role reads the store.
    pub fn pace(&self, bound: Duration) -> Pace {
        let pace = Pace::within(bound);
        match self {
            Self::Reader => Pace { wait: bound * WAIT_PERCENT / 100, ..pace },
            Self::Alone | Self::Follower(_) => pace,
        }
    }
}

impl SourceSelector {
    /// Has been told nothing; `bound` is the tightest on how late a change may be in force.
    pub fn new(bound: Duration) -> Self {
        Self { bound, fresh_at: Timestamp::default(), distrusted: IndexMap::new() }
    }

    /// Takes over another bound.
    pub fn set_bound(&mut self, bound: Duration) {
        self.bound = bound;
    }

    /// Whom to ask for the next changes.
    pub fn next_source(&mut self, now: Timestamp, role: &Role) -> Source {
        let Role::Follower(readers) = role else {
            return Source::Store;
        };
        self.distrusted.retain(|_, until| *until > now);
        let left = (self.fresh_at + self.trust()).since(now);
        let Some(wait) = left.checked_sub(ANSWER_TIME * 2) else {
            return Source::Store;
        };
        let Some(addr) = readers.iter().find(|addr| !self.distrusted.contains_key(*addr)) else {
            return Source::Store;
        };
        let wait = wait.min(self.bound * WAIT_PERCENT / 100);
        Source::Reader(ReaderCall { addr: *addr, wait, timeout: wait + ANSWER_TIME })
    }

    /// Notes that the store has answered.
    pub fn on_store_response(&mut self, now: Timestamp) {
        self.fresh_at = now;
    }

    /// Notes that a reader has answered, with what is `age` old. Returns whether that is fresh enough;
    /// if not, the reader is not asked for a while.
    pub fn on_reader_response(
        &mut self,
        now: Timestamp,
        addr: SocketAddrV4,
        age: Duration,
    ) -> bool {
        if age > self.trust() {
            self.on_reader_failure(now, addr);
            return false;
        }
        let told = Timestamp(now.as_micros().saturating_sub(age.as_micros() as u64));
        self.fresh_at = self.fresh_at.max(told);
        true
    }

    /// Notes that a reader did not answer, or can't.
    pub fn on_reader_failure(&mut self, now: Timestamp, addr: SocketAddrV4) {
        self.distrusted.insert(addr, now + DISTRUST);
    }

    /// All that the store had acknowledged by then is known here.
    pub fn fresh_at(&self) -> Timestamp {
        self.fresh_at
    }

    fn trust(&self) -> Duration {
        self.bound * TRUST_PERCENT / 100
    }
}
