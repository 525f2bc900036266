//! Selects the source of changes for an entry: the store, or another entry that reads the store.
//!
//! A watch from every entry does not scale, and calls are expensive. A few entries of each zone,
//! the readers, watch the store; the others, the followers, get the changes from a reader. Each
//! response carries its age, counted from the store's last response to the reader. A follower whose
//! changes are too old reads the store itself.

use std::cmp::Reverse;
use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;
use stdx::hash;
use stdx::time::Timestamp;

use crate::record::Member;
use crate::store_sync::Pace;

/// Minimum number of readers per zone, so that one may fail.
const MIN_READERS: usize = 2;

/// Number of entries of a zone per reader. Their calls per second take about the packet rate that a
/// reader can spare.
const ENTRIES_PER_READER: usize = 32;

/// Maximum age of a reader's response, in percent of the tightest bound. The rest of the bound is
/// left for reading the store.
const MAX_AGE_PERCENT: u32 = 70;

/// Wait of a reader's watch on the store and of a follower's call to a reader, in percent of the
/// tightest bound. Together with a reader's interval between calls (35%) it is below
/// [`MAX_AGE_PERCENT`].
const WAIT_PERCENT: u32 = 25;

/// Time that a response may take beyond its wait, within a zone and with a small share of a core.
const RESPONSE_GRACE: Duration = Duration::from_millis(100);

/// Time for which a failed reader is not called again.
const READER_BACKOFF: Duration = Duration::from_secs(5);

stdx::record! {
    /// Role of an entry in reading the store.
    pub enum Role {
        /// Reads the store; the zone has too few entries for followers.
        Alone,
        /// Reads the store and passes changes on to followers.
        Reader,
        /// Gets changes from one of these readers, in order of preference.
        Follower(Vec<SocketAddrV4>),
    }
}

stdx::value! {
    /// Source of the next changes.
    pub enum Source {
        /// The store.
        Store,
        /// A reader.
        Reader(ReaderCall),
    }

    /// Call to a reader.
    pub struct ReaderCall {
        /// Address of the reader.
        pub addr: SocketAddrV4,
        /// Time for which the reader waits for a change.
        pub wait: Duration,
        /// Timeout of the call.
        pub timeout: Duration,
    }
}

/// Selects the source of changes for one entry.
#[derive(Debug, Clone)]
pub struct SourceSelector {
    bound: Duration,
    /// All changes acknowledged by the store up to this time are known.
    fresh_at: Timestamp,
    backoff_until: IndexMap<SocketAddrV4, Timestamp>,
}

/// The entry whose role is determined.
#[derive(Debug, Clone, Copy)]
pub struct LocalEntry<'a> {
    /// Name of the entry.
    pub name: &'a str,
    /// Availability zone of the entry.
    pub zone: &'a str,
    /// Capacity of the entry's link in Mbit/s.
    pub link_mbps: u32,
}

/// Sort key of the entries of a zone, preferred readers first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank<'a> {
    link: Reverse<u32>,
    hash: u64,
    name: &'a str,
    /// Address for followers' calls; `None` for the local entry.
    addr: Option<SocketAddrV4>,
}

/// Determines the role of the `local` entry; `members` are all entries with their names and may
/// lack the local one. The result is the same on all entries with the same members. The entries
/// with the fastest links are readers, as a reader sends a multiple of what it receives.
pub fn role<'a>(
    local: LocalEntry<'a>,
    members: impl Iterator<Item = (&'a str, &'a Member)>,
) -> Role {
    let rank = |name: &'a str, link_mbps: u32, addr| Rank {
        link: Reverse(link_mbps),
        hash: hash::mix(hash::fnv1a(name)),
        name,
        addr,
    };
    let mut ranked: Vec<Rank<'_>> = members
        .filter(|(name, member)| member.zone == local.zone && *name != local.name)
        .map(|(name, member)| rank(name, member.link_mbps, Some(member.addr)))
        .collect();
    ranked.push(rank(local.name, local.link_mbps, None));
    ranked.sort_unstable();
    let readers = MIN_READERS.max(ranked.len().div_ceil(ENTRIES_PER_READER));
    if ranked.len() <= readers {
        return Role::Alone;
    }
    ranked.truncate(readers);
    if ranked.iter().any(|rank| rank.addr.is_none()) {
        return Role::Reader;
    }
    // Distributes the followers over the readers.
    let local = hash::fnv1a(local.name);
    ranked.sort_unstable_by_key(|rank| hash::mix(rank.hash ^ local));
    Role::Follower(ranked.into_iter().filter_map(|rank| rank.addr).collect())
}

impl Role {
    /// Name of the role in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Alone => "alone",
            Self::Reader => "reader",
            Self::Follower(_) => "follower",
        }
    }

    /// Pace at which an entry of this role reads the store.
    pub fn pace(&self, bound: Duration) -> Pace {
        let pace = Pace::within(bound);
        match self {
            Self::Reader => Pace { wait: bound * WAIT_PERCENT / 100, ..pace },
            Self::Alone | Self::Follower(_) => pace,
        }
    }
}

impl SourceSelector {
    /// Creates the state before the first response; `bound` is the tightest bound on the time until
    /// a change takes effect.
    pub fn new(bound: Duration) -> Self {
        Self { bound, fresh_at: Timestamp::default(), backoff_until: IndexMap::new() }
    }

    /// Sets the bound.
    pub fn set_bound(&mut self, bound: Duration) {
        self.bound = bound;
    }

    /// Returns the source of the next changes.
    pub fn next_source(&mut self, now: Timestamp, role: &Role) -> Source {
        let Role::Follower(readers) = role else {
            return Source::Store;
        };
        self.backoff_until.retain(|_, until| *until > now);
        let remaining = (self.fresh_at + self.max_age()).since(now);
        let Some(wait) = remaining.checked_sub(RESPONSE_GRACE * 2) else {
            return Source::Store;
        };
        let Some(addr) = readers.iter().find(|addr| !self.backoff_until.contains_key(*addr)) else {
            return Source::Store;
        };
        let wait = wait.min(self.bound * WAIT_PERCENT / 100);
        Source::Reader(ReaderCall { addr: *addr, wait, timeout: wait + RESPONSE_GRACE })
    }

    /// Records a response of the store.
    pub fn on_store_response(&mut self, now: Timestamp) {
        self.fresh_at = now;
    }

    /// Records a reader's response of the given age. Returns whether it is fresh enough; if not,
    /// the reader is not called again until its backoff ends.
    pub fn on_reader_response(
        &mut self,
        now: Timestamp,
        addr: SocketAddrV4,
        age: Duration,
    ) -> bool {
        if age > self.max_age() {
            self.on_reader_failure(now, addr);
            return false;
        }
        let as_of = now - age;
        self.fresh_at = self.fresh_at.max(as_of);
        true
    }

    /// Records that a reader did not respond or reported an error.
    pub fn on_reader_failure(&mut self, now: Timestamp, addr: SocketAddrV4) {
        self.backoff_until.insert(addr, now + READER_BACKOFF);
    }

    /// All changes acknowledged by the store up to this time are known.
    pub fn fresh_at(&self) -> Timestamp {
        self.fresh_at
    }

    fn max_age(&self) -> Duration {
        self.bound * MAX_AGE_PERCENT / 100
    }
}
