//! An entry: the real decision code, driven by the simulation.

use std::sync::Arc;
use std::time::Duration;

use directory::giving::{Offers, Receiver};
use directory::{Directory, LocalEntry, Pace, Revision, Role, SourceSelector, StoreSync, source};
use health::Reachability;
use indexmap::IndexSet;
use node::event_log::EventLogger;
use stdx::hash;
use stdx::time::Timestamp;
use steer::{Backlog, Engine, HoldQueue, LookupQueue, Packet, Table, UpstreamId};
use tracing::Dispatch;
use tracing::dispatcher;

/// Maximum time until a change in the store is applied, as on the platform's first sites.
pub const APPLY_BOUND: Duration = Duration::from_secs(3);

/// What a process knew when the store stepped back.
#[derive(Debug, Clone, Default)]
pub struct WordsAtStep {
    /// The process.
    pub generation: u32,
    /// Version of its configuration.
    pub version: u64,
    /// Upstreams that took no new flows, because they had ended, were leaving, or their zones were out
    /// of service.
    pub refused: IndexSet<UpstreamId>,
}

/// One process of an entry.
#[derive(Debug)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: usize,
    /// Whether the process runs.
    pub alive: bool,
    /// Whether it is stopping gracefully.
    pub leaving: bool,
    /// End of its current process pause.
    pub paused_until: Timestamp,
    /// Time until which the store refuses its calls.
    pub store_refused_until: Timestamp,
    /// Time until which guarantees with a time bound are not checked for it, after a fault.
    pub checks_suspended_until: Timestamp,
    /// Incremented at each start. Events for an earlier generation are dropped.
    pub generation: u32,
    /// Steering decisions for packets.
    pub engine: Engine,
    /// State of routes, upstreams and members, as read from the store.
    pub directory: Directory,
    /// State machine that follows the store.
    pub sync: StoreSync,
    /// Chooses between the store and a reader as the source of changes.
    pub sources: SourceSelector,
    /// Revision up to which it has applied all changes.
    pub synced_revision: Revision,
    /// Revision from which on it can serve changes to other entries.
    pub history_start: Revision,
    /// Chooses to whom it offers its facts.
    pub offers: Offers,
    /// Chooses from whom it takes facts after a start without the store.
    pub receiver: Receiver,
    /// When the facts that it was given were complete.
    pub given_as_of: Timestamp,
    /// What it knew when the store last stepped back.
    pub words_at_step: Option<WordsAtStep>,
    /// Reachability of the zones.
    pub reachability: Reachability,
    /// Tells which packets arrived during a pause.
    pub backlog: Backlog,
    /// Packets held until the first table is available.
    pub hold_queue: HoldQueue<Packet>,
    /// Packets whose flow's upstream the other entries were asked for.
    pub lookups: LookupQueue<Packet>,
    event_logger: EventLogger,
    log: Dispatch,
}

impl Entry {
    /// Starts a process, logging to `log`.
    pub fn start(
        now: Timestamp,
        name: &str,
        zone: usize,
        generation: u32,
        log: Dispatch,
        placement: bool,
    ) -> Self {
        let seed = hash::fnv1a(name);
        dispatcher::with_default(&log, || tracing::info!(at = now.as_micros(), name, "started"));
        Self {
            name: name.to_owned(),
            zone,
            alive: true,
            leaving: false,
            paused_until: Timestamp::default(),
            store_refused_until: Timestamp::default(),
            checks_suspended_until: now + Duration::from_secs(4),
            generation,
            engine: Engine::new(now, engine_settings(seed, placement)),
            directory: Directory::new(directory_settings()),
            sync: StoreSync::new(Pace::within(APPLY_BOUND)),
            sources: SourceSelector::new(APPLY_BOUND),
            synced_revision: Revision::default(),
            history_start: Revision::default(),
            offers: Offers::default(),
            receiver: Receiver::new(now),
            given_as_of: Timestamp::default(),
            words_at_step: None,
            reachability: Reachability::default(),
            backlog: Backlog::new(now),
            hold_queue: HoldQueue::default(),
            lookups: LookupQueue::default(),
            event_logger: EventLogger::new(),
            log,
        }
    }

    /// Its role in reading the store for its zone.
    pub fn role(&self, zone: &str) -> Role {
        let local = LocalEntry { name: &self.name, zone, link_mbps: 0 };
        source::role(local, self.directory.members())
    }

    /// Applies the directory's current state to the engine.
    pub fn publish_table(&mut self, now: Timestamp, zone: &str) {
        let (table, _) = self.directory.table(now, &self.name);
        let table = Arc::new(table);
        self.event_logger.set_table(Arc::clone(&table));
        self.engine.apply(table, zone);
    }

    /// The destination of its log lines.
    pub fn log(&self) -> Dispatch {
        self.log.clone()
    }

    /// Records that the store does not answer.
    pub fn store_lost(&mut self, now: Timestamp) {
        let at = now.as_micros();
        dispatcher::with_default(&self.log, || tracing::warn!(at, "store lost"));
        self.directory.store_lost();
    }

    /// What this process knew when the store last stepped back.
    pub fn words_at_step(&self) -> Option<&WordsAtStep> {
        self.words_at_step.as_ref().filter(|words| words.generation == self.generation)
    }

    /// Handles the era of an answer of the store.
    pub fn on_era(&mut self, now: Timestamp, era: u64) {
        if self.directory.on_era(now, era) {
            let at = now.as_micros();
            dispatcher::with_default(&self.log, || {
                tracing::warn!(at, era, "store came back from an older copy");
            });
        }
    }

    /// Logs the engine's events since the last call.
    pub fn log_events(&mut self, now: Timestamp) {
        let (engine, event_logger) = (&mut self.engine, &mut self.event_logger);
        dispatcher::with_default(&self.log, || {
            engine.take_events().for_each(|event| event_logger.on_event(now, &event));
            event_logger.on_tick(now);
        });
    }

    /// Begins a process pause, or extends the current one.
    pub fn pause(&mut self, now: Timestamp, time: Duration) {
        if self.paused_until <= now {
            self.backlog.check_pause(now);
            self.backlog.on_empty();
        }
        self.paused_until = now + time;
    }

    /// Detects the end of a process pause. Returns false if there was none since the last call.
    pub fn resume(&mut self, now: Timestamp) -> bool {
        let Some(pause) = self.backlog.check_pause(now) else {
            return false;
        };
        let event_logger = &mut self.event_logger;
        dispatcher::with_default(&self.log, || event_logger.on_pause(now, pause));
        true
    }

    /// The result of its readiness probe.
    pub fn is_ready(&mut self, now: Timestamp) -> bool {
        let is_running = self.alive && self.paused_until <= now && !self.leaving;
        is_running && self.directory.serves(now) && self.reachability.should_serve(now)
    }

    /// Passes the zones that the engine found unreachable to the reachability check.
    pub fn report_unreachable_zones(&mut self) {
        let table: Arc<Table> = Arc::clone(self.engine.table());
        let unreachable: Vec<&str> = self
            .engine
            .unreachable_zones()
            .filter_map(|zone| table.zones.get(usize::from(zone.0)))
            .map(String::as_str)
            .collect();
        self.reachability.set_unreachable_zones(&unreachable, self.engine.unusable_since());
    }
}

fn engine_settings(seed: u64, placement: bool) -> steer::Settings {
    let settings = steer::Settings::new(Duration::from_millis(2_250), seed);
    steer::Settings { placement, ..settings }
}

fn directory_settings() -> directory::Settings {
    directory::Settings {
        relist_grace: Duration::from_secs(2),
        retention: Duration::from_mins(1),
        member_grace: Duration::from_secs(4),
        step_hold: Duration::from_secs(9),
        cold_burst: 5,
        cold_factor_permille: 1_500,
    }
}
