//! Calls of entries to the store and to readers, and contents of the store.

use super::super::entry::{APPLY_BOUND, WordsAtStep};
use super::{
    COLD_TIME, CONNECT_TIMEOUT, Event, RECORD_EXPIRY, REWRITE_DELAY, SERVICES,
    STORE_RESPONSE_DELAY, Simulation, WATCH_POLL_INTERVAL, ZONES, route_addr,
};
use directory::Action;
use directory::CallResult;
use directory::Config as RouteConfig;
use directory::ReaderCall;
use directory::RecordKey;
use directory::RecordValue;
use directory::Revision;
use directory::RouteSpec;
use directory::ServiceSpec;
use directory::Source;
use std::time::Duration;
use stdx::time::Timestamp;
use steer::UpstreamId;

impl Simulation {
    pub(super) fn store_access(&self, index: usize) -> Result<(), CallResult> {
        let entry = &self.entries[index];
        if entry.store_refused_until > self.now {
            return Err(CallResult::Refused);
        }
        if self.store.unavailable || self.partitioned_until[entry.zone] > self.now {
            return Err(CallResult::Lost);
        }
        Ok(())
    }

    fn call_store(&mut self, index: usize) -> Result<(), CallResult> {
        self.stats.store_calls += 1;
        self.store_access(index)
    }

    pub(super) fn on_sync_store(&mut self, index: usize, generation: u32) {
        let now = self.now;
        let entry = &mut self.entries[index];
        if !entry.alive || entry.generation != generation {
            return;
        }
        if entry.paused_until > now {
            entry.sync.on_process_pause();
            let wait = entry.paused_until.since(now) + Duration::from_millis(1);
            self.schedule(wait, Event::SyncStore(index, generation));
            return;
        }
        let role = entry.role(ZONES[entry.zone]);
        entry.sync.set_pace(role.pace(APPLY_BOUND));
        let pace = entry.sync.pace();
        match entry.sync.next_action(now) {
            Action::Sleep(pause) => self.schedule(pause, Event::SyncStore(index, generation)),
            Action::Load => match self.call_store(index) {
                Ok(()) => self
                    .schedule(STORE_RESPONSE_DELAY, Event::StoreLoaded(index, generation, false)),
                Err(CallResult::Refused) => {
                    self.schedule(
                        STORE_RESPONSE_DELAY,
                        Event::StoreLoaded(index, generation, true),
                    );
                }
                Err(_) => self.on_store_lost(index, pace.grace.min(CONNECT_TIMEOUT)),
            },
            Action::Watch(after) => match entry.sources.next_source(now, &role) {
                Source::Store => {
                    self.stats.store_calls += 1;
                    self.schedule(
                        STORE_RESPONSE_DELAY,
                        Event::PollWatch(index, generation, after, now + pace.wait),
                    );
                }
                Source::Reader(call) => {
                    self.schedule(
                        STORE_RESPONSE_DELAY,
                        Event::PollReader(index, generation, after, call),
                    );
                }
            },
        }
    }

    /// Checks for changes at a reader, repeatedly until there are some or the wait has elapsed.
    pub(super) fn on_poll_reader(
        &mut self,
        index: usize,
        generation: u32,
        after: Revision,
        call: ReaderCall,
    ) {
        let now = self.now;
        if self.entries[index].generation != generation || !self.entries[index].alive {
            return;
        }
        let reader = &self.entries[usize::from(call.addr.port())];
        let knows_era = reader.synced_revision.era >= after.era;
        if !reader.alive || reader.paused_until > now || !knows_era {
            self.entries[index].sources.on_reader_failure(now, call.addr);
            self.schedule(call.timeout, Event::SyncStore(index, generation));
            return;
        }
        let (synced_revision, age) = (reader.synced_revision, now.since(reader.sources.fresh_at()));
        if after < reader.history_start {
            self.on_store_lost(index, Duration::from_millis(100));
            return;
        }
        if synced_revision <= after && call.wait > WATCH_POLL_INTERVAL {
            let remaining =
                ReaderCall { wait: call.wait.saturating_sub(WATCH_POLL_INTERVAL), ..call };
            self.schedule(
                WATCH_POLL_INTERVAL,
                Event::PollReader(index, generation, after, remaining),
            );
            return;
        }
        let Some(records) = self.store.since(after.number) else {
            self.on_store_lost(index, Duration::from_millis(100));
            return;
        };
        let records =
            records.into_iter().filter(|record| record.revision <= synced_revision).collect();
        let entry = &mut self.entries[index];
        if entry.sources.on_reader_response(now, call.addr, age) {
            entry.synced_revision = synced_revision.max(after);
            entry.sync.on_result(now, CallResult::Watched(entry.synced_revision, false));
            entry.directory.apply_all(now, records);
            self.publish_table(index);
        }
        self.schedule(Duration::ZERO, Event::SyncStore(index, generation));
    }

    pub(super) fn on_store_lost(&mut self, index: usize, wait: Duration) {
        let entry = &mut self.entries[index];
        entry.sync.on_result(self.now, CallResult::Lost);
        entry.store_lost(self.now);
        let generation = entry.generation;
        self.schedule(wait, Event::SyncStore(index, generation));
    }

    pub(super) fn on_store_loaded(&mut self, index: usize, generation: u32, refused: bool) {
        if self.entries[index].generation != generation {
            return;
        }
        let now = self.now;
        let entry = &mut self.entries[index];
        if refused {
            entry.sync.on_result(now, CallResult::Refused);
            entry.store_lost(now);
        } else {
            let (records, revision) = self.store.load();
            entry.on_era(now, revision.era);
            entry.sync.on_result(now, CallResult::Loaded(revision));
            entry.sources.on_store_response(now);
            (entry.synced_revision, entry.history_start) = (revision, revision);
            entry.directory.load(now, records);
            self.look_up_routes(index);
            self.publish_table(index);
        }
        self.schedule(Duration::ZERO, Event::SyncStore(index, generation));
    }

    pub(super) fn on_poll_watch(
        &mut self,
        index: usize,
        generation: u32,
        after: Revision,
        end: Timestamp,
    ) {
        let now = self.now;
        if self.entries[index].generation != generation || !self.entries[index].alive {
            return;
        }
        match self.store_access(index) {
            Ok(()) => {}
            // The pending watch gets no response and times out.
            Err(CallResult::Lost) => {
                let grace = self.entries[index].sync.pace().grace;
                self.on_store_lost(index, end.since(now) + grace);
                return;
            }
            Err(result) => {
                let entry = &mut self.entries[index];
                entry.sync.on_result(now, result);
                entry.store_lost(now);
                self.schedule(STORE_RESPONSE_DELAY, Event::SyncStore(index, generation));
                return;
            }
        }
        let era = self.store.revision().era;
        if era != after.era {
            let entry = &mut self.entries[index];
            entry.sync.on_new_era();
            entry.on_era(now, era);
            self.publish_table(index);
            self.schedule(Duration::ZERO, Event::SyncStore(index, generation));
            return;
        }
        let Some(records) = self.store.since(after.number) else {
            self.entries[index].sync.on_result(now, CallResult::Compacted);
            self.schedule(Duration::ZERO, Event::SyncStore(index, generation));
            return;
        };
        if records.is_empty() && now < end {
            self.schedule(WATCH_POLL_INTERVAL, Event::PollWatch(index, generation, after, end));
            return;
        }
        let has_changes = !records.is_empty();
        let revision = self.store.revision();
        let entry = &mut self.entries[index];
        entry.sync.on_result(now, CallResult::Watched(revision, has_changes));
        entry.sources.on_store_response(now);
        entry.synced_revision = revision;
        entry.directory.apply_all(now, records);
        self.publish_table(index);
        self.schedule(Duration::ZERO, Event::SyncStore(index, generation));
    }

    pub(super) fn publish_table(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        entry.publish_table(now, ZONES[entry.zone]);
        let generation = entry.generation;
        while self.entries[index].directory.is_synced()
            && let Some(packet) = self.entries[index].hold_queue.pop(now)
        {
            self.on_packet_at_entry(index, generation, packet);
        }
        self.schedule_timers(index);
    }

    pub(super) fn on_store_back(&mut self) {
        self.store.unavailable = false;
        self.register_upstreams();
    }

    fn register_upstreams(&mut self) {
        let ids: Vec<UpstreamId> = self.upstreams.keys().copied().collect();
        for id in ids {
            self.register(id);
        }
    }

    /// Copies the store, which comes back from the copy after `age`.
    pub(super) fn copy_store(&mut self, age: Duration) {
        self.store_copies.push_back(self.store.clone());
        self.schedule(age, Event::StoreRestored);
    }

    /// The store comes back from a copy. Leases, and so the records of entries, are lost if they are
    /// not in it.
    pub(super) fn on_store_restored(&mut self) {
        let Some(copy) = self.store_copies.pop_front() else {
            return;
        };
        self.store.restore(copy);
        self.told_at = self.rewritten_at.min(self.now);
        self.stepped_at = self.now;
        self.rewritten_at = self.now + REWRITE_DELAY;
        self.schedule(REWRITE_DELAY, Event::LostWordsWritten);
        for index in 0..self.entries.len() {
            let table = self.entries[index].engine.table();
            let refused = table.upstreams.values().filter(|upstream| !upstream.accepts_new);
            let refused = refused.map(|upstream| upstream.id);
            let refused = refused.filter(|id| self.takes_none(*id)).collect();
            let (version, generation) = (table.version, self.entries[index].generation);
            self.entries[index].words_at_step = Some(WordsAtStep { generation, version, refused });
        }
    }

    /// Whether an upstream must not get new flows by all that was ever acknowledged.
    pub(super) fn takes_none(&self, id: UpstreamId) -> bool {
        let upstream = &self.upstreams[&id];
        !upstream.alive
            || upstream.leaving_since.is_some()
            || self.zones_out.contains_key(&upstream.zone)
    }

    /// The operator, the upstreams and the entries write again what the store has lost.
    pub(super) fn on_lost_words_written(&mut self) {
        self.write_config();
        for (zone, name) in ZONES.iter().enumerate() {
            let value = self.zones_out.contains_key(&zone).then_some(RecordValue::ZoneOut);
            self.store.put(RecordKey::ZoneOut((*name).to_owned()), value);
        }
        let ended: Vec<UpstreamId> =
            self.upstreams.values().filter(|upstream| !upstream.alive).map(|u| u.id).collect();
        for id in ended {
            self.schedule(RECORD_EXPIRY, Event::RecordExpires(id));
        }
        self.register_upstreams();
        for index in 0..self.entries.len() {
            if self.entries[index].alive {
                self.register_entry(index);
            }
        }
    }

    pub(super) fn put_config(&mut self) {
        self.config_version += 3;
        self.write_config();
    }

    fn write_config(&mut self) {
        let services = SERVICES.map(|name| ServiceSpec {
            name: name.to_owned(),
            cold: COLD_TIME,
            cold_opens_per_s: 0.0,
        });
        let targets = vec![(SERVICES[self.route_target].to_owned(), 1)];
        let route = |class| RouteSpec {
            addr: route_addr(class),
            targets: targets.clone(),
            repeatable: self.cfg.repeatable,
        };
        let mut routes: Vec<RouteSpec> = (0..self.cfg.classes.len()).map(route).collect();
        routes.retain(|_| !self.route_removed);
        let config =
            RouteConfig { version: self.config_version, routes, services: services.to_vec() };
        self.store.put(RecordKey::Config, Some(RecordValue::Config(config)));
    }
}
