//! An entry: the real flow engine and membership view, without sockets.

use std::net::Ipv4Addr;
use std::time::Duration;

use balance::Share;
use flow::{Engine, Id, Services, Settings};
use membership::{Heartbeat, Members, Timing};
use stdx::time::Timestamp;

/// Membership timing, the same as in the real entry.
const TIMING: Timing = Timing {
    suspect_after: Duration::from_secs(1),
    dead_after: Duration::from_secs(10),
    pause_threshold: Duration::from_millis(750),
    confirm_timeout: Duration::from_millis(1_500),
};

/// State of an entry's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryState {
    /// Serving.
    Running,
    /// Stopping gracefully.
    Leaving,
    /// Crashed or stopped.
    Stopped,
}

/// A simulated entry.
#[derive(Debug)]
pub struct Entry {
    /// Its identity among the entries.
    pub id: Id,
    /// Its availability zone.
    pub zone: u8,
    /// The flow engine.
    pub engine: Engine,
    /// The state of its process.
    pub state: EntryState,
    /// End of its current process pause.
    pub paused_until: Timestamp,
    /// Number of its starts. Events for an earlier generation are dropped.
    pub generation: u32,
    members: Members,
    started: Timestamp,
    sequence: u64,
    has_services: bool,
}

impl Entry {
    /// Starts an entry at `now`.
    pub fn new(now: Timestamp, settings: Settings, zone: u8, all: &[Ipv4Addr]) -> Self {
        Self {
            id: settings.id,
            zone,
            members: Members::new(now, settings.id.0, all, TIMING),
            engine: Engine::new(now, settings),
            state: EntryState::Running,
            paused_until: now,
            generation: 1,
            started: now,
            sequence: 0,
            has_services: false,
        }
    }

    /// Whether its process is running and not paused at `now`.
    pub fn is_up(&self, now: Timestamp) -> bool {
        self.state != EntryState::Stopped && self.paused_until <= now
    }

    /// Whether the fabric's health check passes.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        self.is_up(now)
            && self.state == EntryState::Running
            && self.has_services
            && !self.members.is_confirming()
    }

    /// Applies a new configuration of services.
    pub fn set_services(&mut self, now: Timestamp, services: Services) {
        self.has_services = true;
        self.engine.set_services(now, services);
        self.update_view(now);
    }

    /// Begins a graceful stop.
    pub fn leave(&mut self, now: Timestamp) {
        self.state = EntryState::Leaving;
        self.members.leave();
        self.update_view(now);
    }

    /// Advances the membership view to `now`.
    pub fn tick_view(&mut self, now: Timestamp) {
        self.members.tick(now);
        self.members.set_ready(self.has_services && !self.members.is_confirming());
        self.update_view(now);
    }

    /// Handles a peer's heartbeat.
    pub fn on_heartbeat(&mut self, now: Timestamp, heartbeat: Heartbeat) {
        self.members.on_heartbeat(now, heartbeat);
        self.update_view(now);
    }

    /// Creates the next heartbeat to send.
    pub fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            id: self.id.0,
            incarnation: self.started,
            sequence: self.sequence,
            ready: self.has_services && !self.members.is_confirming(),
            leaving: self.state == EntryState::Leaving,
        }
    }

    fn update_view(&mut self, now: Timestamp) {
        let view = self.members.view(now);
        let homes: Vec<Id> = view.homes.iter().copied().map(Id).collect();
        self.engine.set_members(now, &homes, Share { entries: view.possibly_alive });
    }
}
