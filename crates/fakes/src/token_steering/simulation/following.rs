//! Entries and the store.

use super::super::entry::BOUND;
use super::{COLD, Event, ROUTE, SERVICES, STORE_DELAY, Simulation, WATCH_STEP, ZONES};
use directory::Action;
use directory::CallResult;
use directory::Config as RouteConfig;
use directory::ReaderCall;
use directory::RecordKey;
use directory::RecordValue;
use directory::RouteSpec;
use directory::ServiceSpec;
use directory::Source;
use std::time::Duration;
use stdx::time::Timestamp;
use steer::UpstreamId;

impl Simulation {
    pub(super) fn store_answers(&self, place: usize) -> Result<(), CallResult> {
        let entry = &self.entries[place];
        if entry.refused_until > self.now {
            return Err(CallResult::Refused);
        }
        if self.store.away || self.cut_until[entry.zone] > self.now {
            return Err(CallResult::Lost);
        }
        Ok(())
    }

    fn ask_store(&mut self, place: usize) -> Result<(), CallResult> {
        self.stats.store_calls += 1;
        self.store_answers(place)
    }

    pub(super) fn on_follow(&mut self, place: usize, life: u32) {
        let now = self.now;
        let entry = &mut self.entries[place];
        if !entry.alive || entry.life != life {
            return;
        }
        if entry.frozen_until > now {
            entry.follow.on_process_pause();
            let wait = entry.frozen_until.since(now) + Duration::from_millis(1);
            self.at(wait, Event::Follow(place, life));
            return;
        }
        let role = entry.role(ZONES[entry.zone]);
        entry.follow.set_pace(role.pace(BOUND));
        let times = entry.follow.pace();
        match entry.follow.next_action(now) {
            Action::Sleep(pause) => self.at(pause, Event::Follow(place, life)),
            Action::Load => match self.ask_store(place) {
                Ok(()) => self.at(STORE_DELAY, Event::Loaded(place, life, false)),
                Err(CallResult::Refused) => self.at(STORE_DELAY, Event::Loaded(place, life, true)),
                Err(_) => self.lost(place, times.grace),
            },
            Action::Watch(after) => match entry.relay.next_source(now, &role) {
                Source::Store => {
                    self.stats.store_calls += 1;
                    self.at(STORE_DELAY, Event::Watching(place, life, after, now + times.wait));
                }
                Source::Reader(reading) => {
                    self.at(STORE_DELAY, Event::Relaying(place, life, after, reading));
                }
            },
        }
    }

    /// Asks a reader for changes, again and again until there are some or the wait is over.
    pub(super) fn on_relaying(&mut self, place: usize, life: u32, after: u64, reading: ReaderCall) {
        let now = self.now;
        if self.entries[place].life != life || !self.entries[place].alive {
            return;
        }
        let other = &self.entries[usize::from(reading.addr.port())];
        if !other.alive || other.frozen_until > now {
            self.entries[place].relay.on_reader_failure(now, reading.addr);
            self.at(reading.timeout, Event::Follow(place, life));
            return;
        }
        let (known_at, age) = (other.known_at, now.since(other.relay.fresh_at()));
        if after < other.known_since {
            self.lost(place, Duration::from_millis(100));
            return;
        }
        if known_at <= after && reading.wait > WATCH_STEP {
            let rest = ReaderCall { wait: reading.wait.saturating_sub(WATCH_STEP), ..reading };
            self.at(WATCH_STEP, Event::Relaying(place, life, after, rest));
            return;
        }
        let Some(records) = self.store.since(after) else {
            self.lost(place, Duration::from_millis(100));
            return;
        };
        let records = records.into_iter().filter(|record| record.revision <= known_at).collect();
        let entry = &mut self.entries[place];
        if entry.relay.on_reader_response(now, reading.addr, age) {
            entry.known_at = known_at.max(after);
            entry.follow.on_result(now, CallResult::Watched(entry.known_at, false));
            entry.directory.apply_all(now, records);
            self.publish(place);
        }
        self.at(Duration::ZERO, Event::Follow(place, life));
    }

    pub(super) fn lost(&mut self, place: usize, wait: Duration) {
        let entry = &mut self.entries[place];
        entry.follow.on_result(self.now, CallResult::Lost);
        entry.store_lost(self.now);
        let life = entry.life;
        self.at(wait, Event::Follow(place, life));
    }

    pub(super) fn on_loaded(&mut self, place: usize, life: u32, refused: bool) {
        if self.entries[place].life != life {
            return;
        }
        let now = self.now;
        let entry = &mut self.entries[place];
        if refused {
            entry.follow.on_result(now, CallResult::Refused);
            entry.store_lost(now);
        } else {
            let (records, revision) = self.store.load();
            entry.follow.on_result(now, CallResult::Loaded(revision));
            entry.relay.on_store_response(now);
            (entry.known_at, entry.known_since) = (revision, revision);
            entry.directory.load(now, records);
            self.publish(place);
        }
        self.at(Duration::ZERO, Event::Follow(place, life));
    }

    pub(super) fn on_watching(&mut self, place: usize, life: u32, after: u64, end: Timestamp) {
        let now = self.now;
        if self.entries[place].life != life || !self.entries[place].alive {
            return;
        }
        match self.store_answers(place) {
            Ok(()) => {}
            // The waiting call stays silent and is given up after its time.
            Err(CallResult::Lost) => {
                let slack = self.entries[place].follow.pace().grace;
                self.lost(place, end.since(now) + slack);
                return;
            }
            Err(answer) => {
                let entry = &mut self.entries[place];
                entry.follow.on_result(now, answer);
                entry.store_lost(now);
                self.at(STORE_DELAY, Event::Follow(place, life));
                return;
            }
        }
        let Some(records) = self.store.since(after) else {
            self.entries[place].follow.on_result(now, CallResult::Compacted);
            self.at(Duration::ZERO, Event::Follow(place, life));
            return;
        };
        if records.is_empty() && now < end {
            self.at(WATCH_STEP, Event::Watching(place, life, after, end));
            return;
        }
        let any = !records.is_empty();
        let revision = self.store.revision();
        let entry = &mut self.entries[place];
        entry.follow.on_result(now, CallResult::Watched(revision, any));
        entry.relay.on_store_response(now);
        entry.known_at = revision;
        entry.directory.apply_all(now, records);
        self.publish(place);
        self.at(Duration::ZERO, Event::Follow(place, life));
    }

    pub(super) fn publish(&mut self, place: usize) {
        let now = self.now;
        let entry = &mut self.entries[place];
        entry.publish(now, ZONES[entry.zone]);
        let life = entry.life;
        while self.entries[place].directory.is_synced()
            && let Some(packet) = self.entries[place].held.pop(now)
        {
            self.on_entry(place, life, packet);
        }
        self.schedule_timers(place);
    }

    pub(super) fn relist(&mut self) {
        self.store.away = false;
        let ids: Vec<UpstreamId> = self.upstreams.keys().copied().collect();
        for id in ids {
            self.register(id);
        }
    }

    pub(super) fn put_config(&mut self) {
        self.version += 3;
        let services = SERVICES.map(|name| ServiceSpec {
            name: name.to_owned(),
            cold: COLD,
            cold_opens_per_s: 0.0,
        });
        let targets = vec![(SERVICES[self.route].to_owned(), 1)];
        let mut routes = vec![RouteSpec { addr: ROUTE, targets }];
        routes.retain(|_| !self.dropped);
        let config = RouteConfig { version: self.version, routes, services: services.to_vec() };
        self.store.put(RecordKey::Config, Some(RecordValue::Config(config)));
    }
}
