//! The members of one entry's view.

use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;

stdx::value! {
    /// The times that decide when a silent entry is no longer counted.
    pub struct Timing {
        /// Silence after which an entry is no longer the home of flows.
        pub suspect_after: Duration,
        /// Silence after which an entry no longer counts for shares.
        pub dead_after: Duration,
        /// Time between two ticks after which this entry itself was paused.
        pub pause_threshold: Duration,
        /// Longest wait for a first heartbeat after a start or a pause.
        pub confirm_timeout: Duration,
    }

    /// How an entry is seen.
    pub enum Status {
        /// Heard of lately and ready.
        Alive,
        /// Heard of lately, but not ready to take flows.
        Starting,
        /// Stopping as planned.
        Leaving,
        /// Silent; it may still be alive.
        Suspect,
    }

    /// What an entry says of itself.
    pub struct Heartbeat {
        /// The entry.
        pub id: Ipv4Addr,
        /// Start of its process.
        pub incarnation: Timestamp,
        /// Count of its heartbeats since its start.
        pub sequence: u64,
        /// Whether it takes flows.
        pub ready: bool,
        /// Whether it is stopping.
        pub leaving: bool,
    }
}

stdx::record! {
    /// The outcome: who decides for flows, and how many may be deciding.
    pub struct View {
        /// Entries that are homes of flows, in order of their address.
        pub homes: Vec<Ipv4Addr>,
        /// Entries that may be opening flows, this one included; at least one.
        pub possibly_alive: u32,
    }
}

/// All entries that one entry knows of.
#[derive(Debug, Clone)]
pub struct Members {
    own: Ipv4Addr,
    timing: Timing,
    peers: IndexMap<Ipv4Addr, Peer>,
    ready: bool,
    leaving: bool,
    last_tick: Timestamp,
    /// Since when this entry waits to hear from a peer before it decides for flows.
    confirming: Option<Timestamp>,
}

#[derive(Debug, Clone)]
struct Peer {
    heartbeat: Option<Heartbeat>,
    heard: Timestamp,
}

impl Members {
    /// The view of an entry that has just started and expects `seeds`.
    pub fn new(now: Timestamp, own: Ipv4Addr, seeds: &[Ipv4Addr], timing: Timing) -> Self {
        let peer = |ip: &Ipv4Addr| (*ip, Peer { heartbeat: None, heard: now });
        let peers: IndexMap<_, _> = seeds.iter().filter(|ip| **ip != own).map(peer).collect();
        let confirming = (!peers.is_empty()).then_some(now);
        Self { own, timing, peers, ready: false, leaving: false, last_tick: now, confirming }
    }

    /// Says whether this entry can take flows.
    pub fn set_ready(&mut self, ready: bool) {
        self.ready = ready;
    }

    /// Says that this entry is stopping; there is no way back.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes a heartbeat. Returns whether it is the first of a new process of that entry.
    pub fn on_heartbeat(&mut self, now: Timestamp, heartbeat: Heartbeat) -> bool {
        if heartbeat.id == self.own {
            return false;
        }
        let peer = self.peers.entry(heartbeat.id).or_insert(Peer { heartbeat: None, heard: now });
        if peer.heartbeat.is_some_and(|last| heartbeat.is_older_than(&last)) {
            return false;
        }
        let restarted = peer.heartbeat.is_none_or(|last| last.incarnation != heartbeat.incarnation);
        peer.heartbeat = Some(heartbeat);
        peer.heard = now;
        self.confirming = None;
        restarted
    }

    /// Takes the platform's list of instances: a silent entry that is not on it is gone.
    pub fn on_platform_list(&mut self, now: Timestamp, listed: &[Ipv4Addr]) {
        let suspect_after = self.timing.suspect_after;
        self.peers.retain(|ip, peer| listed.contains(ip) || now.since(peer.heard) < suspect_after);
    }

    /// Notes that time has passed. After a pause, peers have to be heard of again first.
    pub fn tick(&mut self, now: Timestamp) {
        let paused = now.since(self.last_tick) > self.timing.pause_threshold;
        self.last_tick = now;
        if paused && !self.peers.is_empty() {
            self.confirming = Some(now);
            // Their heartbeats may be waiting to be read; silence is counted from here.
            for peer in self.peers.values_mut() {
                peer.heard = now;
            }
        }
        if self.confirming.is_some_and(|since| now.since(since) > self.timing.confirm_timeout) {
            self.confirming = None;
        }
    }

    /// The present view.
    pub fn view(&self, now: Timestamp) -> View {
        let decides = self.ready && !self.leaving && self.confirming.is_none();
        let alive = self.peers.keys().filter(|ip| self.status(now, **ip) == Some(Status::Alive));
        let mut homes: Vec<Ipv4Addr> = alive.copied().collect();
        homes.extend(decides.then_some(self.own));
        homes.sort_unstable();
        let counted = self.peers.values().filter(|peer| self.counts(now, peer)).count();
        View { homes, possibly_alive: counted as u32 + 1 }
    }

    /// How an entry is seen; `None` if it is not known.
    pub fn status(&self, now: Timestamp, id: Ipv4Addr) -> Option<Status> {
        let peer = self.peers.get(&id)?;
        let silent = now.since(peer.heard) >= self.timing.suspect_after;
        Some(match peer.heartbeat {
            Some(last) if last.leaving => Status::Leaving,
            _ if silent => Status::Suspect,
            Some(last) if last.ready => Status::Alive,
            _ => Status::Starting,
        })
    }

    /// The other entries that are known.
    pub fn peers(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.peers.keys().copied()
    }

    /// Whether this entry waits for a peer's word before it decides.
    pub fn is_confirming(&self) -> bool {
        self.confirming.is_some()
    }

    fn counts(&self, now: Timestamp, peer: &Peer) -> bool {
        now.since(peer.heard) < self.timing.dead_after
    }
}

impl Heartbeat {
    fn is_older_than(&self, last: &Self) -> bool {
        (self.incarnation, self.sequence) <= (last.incarnation, last.sequence)
    }
}
