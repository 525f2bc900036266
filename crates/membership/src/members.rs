//! Failure detector for the entries, based on heartbeats.

use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;

stdx::value! {
    /// Timeouts of the failure detector.
    pub struct Timing {
        /// Time without a heartbeat after which an entry is suspected and is no longer a home of
        /// flows.
        pub suspect_after: Duration,
        /// Time without a heartbeat after which an entry no longer counts for shares.
        pub dead_after: Duration,
        /// Time between two ticks above which this process was paused.
        pub pause_threshold: Duration,
        /// Longest wait for a peer's heartbeat after a start or a pause.
        pub confirm_timeout: Duration,
    }

    /// Status of an entry.
    pub enum Status {
        /// Sends heartbeats and is ready.
        Alive,
        /// Sends heartbeats, but is not ready to take flows.
        Starting,
        /// Has announced that it is stopping.
        Leaving,
        /// No recent heartbeat; may still be alive.
        Suspect,
    }

    /// A heartbeat of an entry.
    pub struct Heartbeat {
        /// Address of the entry.
        pub id: Ipv4Addr,
        /// Start time of the entry's process.
        pub incarnation: Timestamp,
        /// Number of heartbeats since the start of the process.
        pub sequence: u64,
        /// Whether the entry takes flows.
        pub ready: bool,
        /// Whether the entry is stopping.
        pub leaving: bool,
    }
}

stdx::record! {
    /// The homes of flows and the number of entries that may be opening flows.
    pub struct View {
        /// Entries that are homes of flows, sorted by address.
        pub homes: Vec<Ipv4Addr>,
        /// Number of entries that may be alive and opening flows, including this one; at least one.
        pub possibly_alive: u32,
    }
}

/// This entry and its known peers.
#[derive(Debug, Clone)]
pub struct Members {
    own_id: Ipv4Addr,
    timing: Timing,
    peers: IndexMap<Ipv4Addr, Peer>,
    ready: bool,
    leaving: bool,
    last_tick: Timestamp,
    /// Start of the wait for a peer's heartbeat; this entry is not a home of flows until it ends.
    unconfirmed_since: Option<Timestamp>,
}

#[derive(Debug, Clone)]
struct Peer {
    heartbeat: Option<Heartbeat>,
    /// Last heartbeat, or the start or last pause of this process if later.
    silent_since: Timestamp,
}

impl Members {
    /// Creates the state of an entry that has just started; `seeds` are the addresses of its peers.
    pub fn new(now: Timestamp, own_id: Ipv4Addr, seeds: &[Ipv4Addr], timing: Timing) -> Self {
        let peer = |ip: &Ipv4Addr| (*ip, Peer { heartbeat: None, silent_since: now });
        let peers: IndexMap<_, _> = seeds.iter().filter(|ip| **ip != own_id).map(peer).collect();
        let unconfirmed_since = (!peers.is_empty()).then_some(now);
        Self {
            own_id,
            timing,
            peers,
            ready: false,
            leaving: false,
            last_tick: now,
            unconfirmed_since,
        }
    }

    /// Sets whether this entry can take flows.
    pub fn set_ready(&mut self, ready: bool) {
        self.ready = ready;
    }

    /// Marks this entry as stopping. This can't be undone.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Handles a heartbeat. Returns whether it is the first of a new process of that entry.
    pub fn on_heartbeat(&mut self, now: Timestamp, heartbeat: Heartbeat) -> bool {
        if heartbeat.id == self.own_id {
            return false;
        }
        let peer =
            self.peers.entry(heartbeat.id).or_insert(Peer { heartbeat: None, silent_since: now });
        if peer.heartbeat.is_some_and(|last| heartbeat.is_not_newer_than(&last)) {
            return false;
        }
        let restarted = peer.heartbeat.is_none_or(|last| last.incarnation != heartbeat.incarnation);
        peer.heartbeat = Some(heartbeat);
        peer.silent_since = now;
        self.unconfirmed_since = None;
        restarted
    }

    /// Handles the platform's list of instances. Silent entries that are not listed are removed.
    pub fn on_platform_list(&mut self, now: Timestamp, listed: &[Ipv4Addr]) {
        let suspect_after = self.timing.suspect_after;
        self.peers
            .retain(|ip, peer| listed.contains(ip) || now.since(peer.silent_since) < suspect_after);
    }

    /// Advances time. After a pause, this entry waits for a peer's heartbeat again.
    pub fn tick(&mut self, now: Timestamp) {
        let paused = now.since(self.last_tick) > self.timing.pause_threshold;
        self.last_tick = now;
        if paused && !self.peers.is_empty() {
            self.unconfirmed_since = Some(now);
            // Heartbeats may be queued in the socket, so the timeouts start again now.
            for peer in self.peers.values_mut() {
                peer.silent_since = now;
            }
        }
        if self
            .unconfirmed_since
            .is_some_and(|since| now.since(since) > self.timing.confirm_timeout)
        {
            self.unconfirmed_since = None;
        }
    }

    /// The view at `now`.
    pub fn view(&self, now: Timestamp) -> View {
        let is_home = self.ready && !self.leaving && self.unconfirmed_since.is_none();
        let alive = self.peers.keys().filter(|ip| self.status(now, **ip) == Some(Status::Alive));
        let mut homes: Vec<Ipv4Addr> = alive.copied().collect();
        homes.extend(is_home.then_some(self.own_id));
        homes.sort_unstable();
        let peers_possibly_alive =
            self.peers.values().filter(|peer| self.may_be_alive(now, peer)).count();
        View { homes, possibly_alive: peers_possibly_alive as u32 + 1 }
    }

    /// Status of an entry; `None` if it is unknown.
    pub fn status(&self, now: Timestamp, id: Ipv4Addr) -> Option<Status> {
        let peer = self.peers.get(&id)?;
        let silent = now.since(peer.silent_since) >= self.timing.suspect_after;
        Some(match peer.heartbeat {
            Some(last) if last.leaving => Status::Leaving,
            _ if silent => Status::Suspect,
            Some(last) if last.ready => Status::Alive,
            _ => Status::Starting,
        })
    }

    /// Known peers.
    pub fn peers(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.peers.keys().copied()
    }

    /// Whether this entry waits for a peer's heartbeat before it is a home of flows.
    pub fn is_confirming(&self) -> bool {
        self.unconfirmed_since.is_some()
    }

    fn may_be_alive(&self, now: Timestamp, peer: &Peer) -> bool {
        now.since(peer.silent_since) < self.timing.dead_after
    }
}

impl Heartbeat {
    fn is_not_newer_than(&self, last: &Self) -> bool {
        (self.incarnation, self.sequence) <= (last.incarnation, last.sequence)
    }
}
