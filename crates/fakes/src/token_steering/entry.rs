//! An entry: the real decisions, driven by the world.

use std::sync::Arc;
use std::time::Duration;

use directory::{Directory, LocalEntry, Pace, Role, SourceSelector, StoreSync, source};
use health::Reachability;
use node::event_log::EventLogger;
use stdx::time::Timestamp;
use steer::{Engine, HoldQueue, Packet, Table};
use tracing::Dispatch;
use tracing::dispatcher;

/// The bound on how late a change may be in force, as on the platform's first sites.
pub const BOUND: Duration = Duration::from_secs(3);

/// An entry as one process.
#[derive(Debug)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: usize,
    /// Whether the process runs.
    pub alive: bool,
    /// Whether it was told to stop.
    pub leaving: bool,
    /// Until when it stands still.
    pub frozen_until: Timestamp,
    /// Until when the store refuses it.
    pub refused_until: Timestamp,
    /// Until when the promises with a time do not hold for it.
    pub disturbed_until: Timestamp,
    /// Counts processes, so that events of an earlier one are known.
    pub life: u32,
    /// Traffic decisions.
    pub engine: Engine,
    /// Beliefs.
    pub directory: Directory,
    /// When the store is read.
    pub follow: StoreSync,
    /// Who tells it of changes.
    pub relay: SourceSelector,
    /// The revision up to which it knows all changes.
    pub known_at: u64,
    /// The revision from which on it knows each change.
    pub known_since: u64,
    /// Reachability of zones.
    pub reach: Reachability,
    /// Packets kept until there is a table.
    pub held: HoldQueue<Packet>,
    narrator: EventLogger,
    log: Dispatch,
}

impl Entry {
    /// A process that has just started.
    pub fn start(now: Timestamp, name: &str, zone: usize, life: u32, log: Dispatch) -> Self {
        let seed = name.bytes().map(u64::from).sum();
        dispatcher::with_default(&log, || tracing::info!(at = now.as_micros(), name, "started"));
        Self {
            name: name.to_owned(),
            zone,
            alive: true,
            leaving: false,
            frozen_until: Timestamp::default(),
            refused_until: Timestamp::default(),
            disturbed_until: now + Duration::from_secs(4),
            life,
            engine: Engine::new(now, engine_settings(seed)),
            directory: Directory::new(directory_settings()),
            follow: StoreSync::new(Pace::within(BOUND)),
            relay: SourceSelector::new(BOUND),
            known_at: 0,
            known_since: 0,
            reach: Reachability::default(),
            held: HoldQueue::default(),
            narrator: EventLogger::new(),
            log,
        }
    }

    /// What it does for the other entries of its zone.
    pub fn role(&self, zone: &str) -> Role {
        let own = LocalEntry { name: &self.name, zone, link_mbps: 0 };
        source::role(own, self.directory.members())
    }

    /// Takes over what is believed now.
    pub fn publish(&mut self, now: Timestamp, zone: &str) {
        let (table, _) = self.directory.table(now, &self.name);
        let table = Arc::new(table);
        self.narrator.set_table(Arc::clone(&table));
        self.engine.apply(table, zone);
    }

    /// Where its lines go.
    pub fn log(&self) -> Dispatch {
        self.log.clone()
    }

    /// Notes that the store does not answer.
    pub fn store_lost(&mut self, now: Timestamp) {
        let at = now.as_micros();
        dispatcher::with_default(&self.log, || tracing::warn!(at, "store lost"));
        self.directory.store_lost();
    }

    /// Writes what was decided.
    pub fn narrate(&mut self, now: Timestamp) {
        let (engine, narrator) = (&mut self.engine, &mut self.narrator);
        dispatcher::with_default(&self.log, || {
            engine.take_events().for_each(|event| narrator.on_event(now, &event));
            narrator.on_tick(now);
        });
    }

    /// Whether routers are told that packets may come.
    pub fn is_ready(&mut self, now: Timestamp) -> bool {
        let runs = self.alive && self.frozen_until <= now && !self.leaving;
        runs && self.directory.is_synced()
            && self.directory.is_complete(now)
            && self.reach.should_serve(now)
    }

    /// Tells the reachability what openings tell.
    pub fn tell_silence(&mut self) {
        let table: Arc<Table> = Arc::clone(self.engine.table());
        let silent: Vec<&str> = self
            .engine
            .unreachable_zones()
            .filter_map(|zone| table.zones.get(usize::from(zone.0)))
            .map(String::as_str)
            .collect();
        self.reach.on_silent_zones(&silent, self.engine.unusable_since());
    }
}

fn engine_settings(seed: u64) -> steer::Settings {
    steer::Settings::new(Duration::from_millis(2_250), seed)
}

fn directory_settings() -> directory::Settings {
    directory::Settings {
        relist_grace: Duration::from_secs(2),
        retention: Duration::from_mins(1),
        member_grace: Duration::from_secs(4),
        cold_burst: 5,
        cold_factor_permille: 1_500,
    }
}
