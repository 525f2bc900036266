//! The facts that are believed, and the table that follows from them.

use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use stdx::hash;
use stdx::time::Timestamp;
use steer::table::{Service, ServiceId, Target};
use steer::{Route, Table, Upstream, UpstreamId, ZoneId};

use crate::record::{Config, Member, Record, RecordKey, RecordValue, UpstreamSpec};

/// Upstreams removed together, as a part of all (one in three), that look like a lapse of the store:
/// a zone that loses power comes close, and keeping its upstreams listed for a moment does no harm.
const MASS_REMOVAL_PARTS: usize = 3;

stdx::value! {
    /// Times that decide how far facts are trusted.
    pub struct Settings {
        /// Time after the store's return in which upstreams that live are listed again.
        pub relist_grace: Duration,
        /// Time that a gone upstream is remembered for the flows it may still have.
        pub retention: Duration,
        /// Time that a gone entry still counts as opening flows.
        pub member_grace: Duration,
        /// The part of the cold limit above the rate: new flows in any second.
        pub cold_burst: u32,
        /// The factor on the cold rate, in thousandths.
        pub cold_factor_permille: u32,
    }

    /// A change of belief that the log tells.
    #[derive(Default)]
    pub struct TableChange {
        /// Version of the configuration before.
        pub version_before: u64,
        /// Version of the configuration now.
        pub version: u64,
        /// Upstreams that may take new flows, before.
        pub eligible_before: usize,
        /// Upstreams that may take new flows, now.
        pub eligible: usize,
        /// Zones out of service.
        pub zones_out: usize,
        /// Entries counted.
        pub entries: u32,
    }
}

/// Everything that one entry believes.
#[derive(Debug, Clone)]
pub struct Directory {
    cfg: Settings,
    config: Option<Config>,
    ever: IndexMap<SocketAddrV4, Vec<String>>,
    upstreams: IndexMap<UpstreamId, Held>,
    zones_out: IndexMap<String, u64>,
    /// When zones were taken back into service.
    zones_back: IndexMap<String, Timestamp>,
    members: IndexMap<String, HeldMember>,
    /// Zones and services by their places in tables, which never change.
    zone_places: IndexSet<String>,
    service_places: IndexSet<String>,
    /// Since when the store can't be trusted to list every upstream that lives; the end is open
    /// while it is away.
    doubt: Doubt,
    /// Until when the first reading may lack most upstreams, because the store had been away.
    thin_until: Option<Timestamp>,
    last: TableChange,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Doubt {
    None,
    Away,
    Until(Timestamp),
}

#[derive(Debug, Clone)]
struct Held {
    spec: UpstreamSpec,
    revision: u64,
    created: u64,
    cold_until: Timestamp,
    gone: Option<Gone>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Gone {
    since: Timestamp,
    /// Whether it had said that it would stop, and the store was there all the while.
    ended: bool,
    /// Whether it may only be missing because the store was away.
    doubted: bool,
}

#[derive(Debug, Clone)]
struct HeldMember {
    member: Member,
    gone: Option<Timestamp>,
}

impl Directory {
    /// Believes nothing yet.
    pub fn new(cfg: Settings) -> Self {
        Self {
            cfg,
            config: None,
            ever: IndexMap::new(),
            upstreams: IndexMap::new(),
            zones_out: IndexMap::new(),
            zones_back: IndexMap::new(),
            members: IndexMap::new(),
            zone_places: IndexSet::new(),
            service_places: IndexSet::new(),
            doubt: Doubt::None,
            thin_until: None,
            last: TableChange::default(),
        }
    }

    /// Takes everything that the store holds. What is not among it is gone.
    pub fn load(&mut self, now: Timestamp, records: Vec<Record>) {
        if self.doubt == Doubt::Away {
            let relisted = now + self.cfg.relist_grace;
            self.doubt = Doubt::Until(relisted);
            if self.upstreams.is_empty() {
                self.thin_until = Some(relisted);
            }
        }
        let listed: IndexSet<RecordKey> =
            records.iter().filter(|r| r.value.is_some()).map(|r| r.key.clone()).collect();
        for record in records {
            self.apply(now, record);
        }
        let missing: Vec<UpstreamId> = self
            .upstreams
            .keys()
            .filter(|id| !listed.contains(&RecordKey::Upstream(**id)))
            .copied()
            .collect();
        for id in missing {
            self.upstream_gone(now, id);
        }
        let back: Vec<String> = self
            .zones_out
            .keys()
            .filter(|zone| !listed.contains(&RecordKey::ZoneOut((*zone).clone())))
            .cloned()
            .collect();
        for zone in back {
            self.zone_back(now, &zone);
        }
        for (name, held) in &mut self.members {
            if !listed.contains(&RecordKey::Member(name.clone())) {
                held.gone.get_or_insert(now);
            }
        }
    }

    /// Takes changes that came together. When many upstreams are removed at once that had not said
    /// that they would stop, the store may have been away unnoticed, and they may live.
    pub fn apply_all(&mut self, now: Timestamp, records: Vec<Record>) {
        let here = self.upstreams.values().filter(|held| held.gone.is_none()).count();
        let removed = records.iter().filter(|record| self.is_sudden_end(record)).count();
        if removed > 1 && removed * MASS_REMOVAL_PARTS > here && self.doubt != Doubt::Away {
            self.doubt = Doubt::Until(now + self.cfg.relist_grace);
        }
        for record in records {
            self.apply(now, record);
        }
    }

    fn is_sudden_end(&self, record: &Record) -> bool {
        let RecordKey::Upstream(id) = record.key else {
            return false;
        };
        let known = self.upstreams.get(&id).filter(|held| held.revision < record.revision);
        record.value.is_none()
            && known.is_some_and(|held| held.gone.is_none() && !held.spec.leaving)
    }

    /// Takes one change. One that is older than what is known changes nothing.
    pub fn apply(&mut self, now: Timestamp, record: Record) {
        match (record.key, record.value) {
            (RecordKey::Config, Some(RecordValue::Config(config))) => self.set_config(config),
            (RecordKey::Upstream(id), Some(RecordValue::Upstream(spec))) => {
                self.set_upstream(now, id, spec, record.revision, record.created);
            }
            (RecordKey::Upstream(id), _) => {
                let newer = |held: &Held| held.revision < record.revision;
                if self.upstreams.get(&id).is_some_and(newer) {
                    self.upstream_gone(now, id);
                }
            }
            (RecordKey::ZoneOut(zone), Some(_)) => {
                let known = self.zones_out.entry(zone).or_default();
                *known = record.revision.max(*known);
            }
            (RecordKey::ZoneOut(zone), None) => {
                if self.zones_out.get(&zone).is_some_and(|known| *known < record.revision) {
                    self.zone_back(now, &zone);
                }
            }
            (RecordKey::Member(name), Some(RecordValue::Member(member))) => {
                self.members.insert(name, HeldMember { member, gone: None });
            }
            (RecordKey::Member(name), _) => {
                if let Some(held) = self.members.get_mut(&name) {
                    held.gone.get_or_insert(now);
                }
            }
            // A configuration is never taken away; one that can't be read leaves the last one.
            (RecordKey::Config, _) => {}
        }
    }

    /// Takes over changed settings.
    pub fn reconfigure(&mut self, cfg: Settings) {
        self.cfg = cfg;
    }

    /// Notes that the store does not answer.
    pub fn store_lost(&mut self) {
        self.doubt = Doubt::Away;
    }

    /// Whether flows can be opened: the configuration is known and some upstream.
    pub fn is_synced(&self) -> bool {
        self.config.is_some() && !self.upstreams.is_empty()
    }

    /// Whether the upstreams that are known may be all that live. Not so for a process that started
    /// while the store was away, until those that live are listed again.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        self.thin_until.is_none_or(|until| until <= now)
    }

    /// The other entries and this one; those come last that are no longer listed, for a list may
    /// have lost entries that live.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        let listed = self.members.iter().filter(|(_, held)| held.gone.is_none());
        let missing = self.members.iter().filter(|(_, held)| held.gone.is_some());
        listed.chain(missing).map(|(name, held)| (name.as_str(), &held.member))
    }

    /// When the table changes by time alone, if it does.
    pub fn next_change(&self) -> Option<Timestamp> {
        match self.doubt {
            Doubt::Until(end) => Some(end),
            Doubt::None | Doubt::Away => None,
        }
    }

    /// The table that follows, and what changed since the last one.
    pub fn table(&mut self, now: Timestamp, own_name: &str) -> (Table, TableChange) {
        self.forget(now);
        self.give_places();
        self.upstreams.sort_unstable_by(|a, x, b, y| (x.created, a).cmp(&(y.created, b)));
        let mut table = Table {
            synced: self.is_synced(),
            version: self.config.as_ref().map_or(0, |config| config.version),
            services: self.service_places.iter().map(|name| self.service(name)).collect(),
            zones: self.zone_places.iter().cloned().collect(),
            entries: self.entries(now, own_name),
            own_entry: hash::of_name(own_name),
            ..Table::default()
        };
        for (addr, names) in &self.ever {
            match self.route(*addr, names) {
                Some(route) => table.routes.insert(*addr, route).is_some(),
                None => table.removed_routes.insert(*addr),
            };
        }
        let upstreams = self.upstreams.iter();
        table.upstreams =
            upstreams.map(|(id, held)| (*id, self.upstream(now, *id, held))).collect();
        let shift = TableChange {
            version_before: self.last.version,
            version: table.version,
            eligible_before: self.last.eligible,
            eligible: table.upstreams.values().filter(|upstream| upstream.accepts_new).count(),
            zones_out: self.zones_out.len(),
            entries: table.entries.len() as u32,
        };
        self.last = shift;
        (table, shift)
    }

    /// Gives every zone and service a place that it keeps: what is counted by place stays right from
    /// one table to the next.
    fn give_places(&mut self) {
        let configured = self.config.iter().flat_map(|config| &config.services);
        let services = configured.map(|service| &service.name).chain(self.ever.values().flatten());
        let spoken_of = self.upstreams.values().map(|held| &held.spec.service);
        self.service_places.extend(services.chain(spoken_of).cloned());
        self.zone_places.extend(self.upstreams.values().map(|held| held.spec.zone.clone()));
    }

    fn service(&self, name: &str) -> Service {
        let spec = self.config.iter().flat_map(|c| &c.services).find(|spec| spec.name == name);
        let over = f64::from(self.cfg.cold_factor_permille) / 1000.0;
        let rate = spec.map_or(0.0, |spec| spec.cold_opens_per_s) * over;
        Service { name: name.to_owned(), cold_opens_per_s: rate as u32 + self.cfg.cold_burst }
    }

    /// The route of an address with the services it has had; `None` if it was dropped.
    fn route(&self, addr: SocketAddrV4, ever: &[String]) -> Option<Route> {
        let spec = self.config.iter().flat_map(|c| &c.routes).find(|spec| spec.addr == addr)?;
        let target = |(name, weight): &(String, u32)| Target {
            service: self.service_id(name),
            weight: *weight,
        };
        let targets = spec.targets.iter().map(target).collect();
        Some(Route {
            targets,
            all_services: ever.iter().map(|name| self.service_id(name)).collect(),
        })
    }

    fn upstream(&self, now: Timestamp, id: UpstreamId, held: &Held) -> Upstream {
        let spec = &held.spec;
        let zone = self.zone_places.get_index_of(&spec.zone).unwrap_or_default();
        let here = held.gone.is_none_or(|gone| gone.doubted && self.doubts(now));
        let cold = self.config.iter().flat_map(|c| &c.services).find(|s| s.name == spec.service);
        let cold_by_zone = self.zones_back.get(&spec.zone).zip(cold).map(|(at, s)| *at + s.cold);
        Upstream {
            id,
            addr: spec.addr,
            zone: ZoneId(zone as u16),
            service: self.service_id(&spec.service),
            accepts_new: here && !spec.leaving && !self.zones_out.contains_key(&spec.zone),
            cold_until: held.cold_until.max(cold_by_zone.unwrap_or_default()),
            started_ms: spec.started_ms,
            ended: held.gone.is_some_and(|gone| gone.ended),
        }
    }

    /// The place of a service; all that are named have one.
    fn service_id(&self, name: &str) -> ServiceId {
        ServiceId(self.service_places.get_index_of(name).unwrap_or_default() as u16)
    }

    fn set_config(&mut self, config: Config) {
        if self.config.as_ref().is_some_and(|known| known.version >= config.version) {
            return;
        }
        for route in &config.routes {
            let ever = self.ever.entry(route.addr).or_default();
            for (name, _) in &route.targets {
                if !ever.contains(name) {
                    ever.push(name.clone());
                }
            }
        }
        self.config = Some(config);
    }

    fn set_upstream(
        &mut self,
        now: Timestamp,
        id: UpstreamId,
        spec: UpstreamSpec,
        revision: u64,
        created: u64,
    ) {
        let known = self.upstreams.get(&id);
        // A peer may still have what was removed meanwhile; a new entry has a new revision.
        let is_old = |held: &Held| {
            held.revision > revision || (held.revision == revision && held.gone.is_some())
        };
        if known.is_some_and(is_old) {
            return;
        }
        // The same record read once more does not start the time anew that it gives.
        let same = known.filter(|held| held.revision == revision);
        let cold_until = same.map_or(now + spec.cold_left, |held| held.cold_until);
        let cold_until = if spec.cold_left.is_zero() { Timestamp::default() } else { cold_until };
        self.upstreams.insert(id, Held { spec, revision, created, cold_until, gone: None });
    }

    fn upstream_gone(&mut self, now: Timestamp, id: UpstreamId) {
        let doubted = self.doubts(now);
        if let Some(held) = self.upstreams.get_mut(&id) {
            let ended = held.spec.leaving && !doubted;
            held.gone.get_or_insert(Gone { since: now, ended, doubted });
        }
    }

    fn zone_back(&mut self, now: Timestamp, zone: &str) {
        self.zones_out.swap_remove(zone);
        self.zones_back.insert(zone.to_owned(), now);
    }

    fn doubts(&self, now: Timestamp) -> bool {
        match self.doubt {
            Doubt::None => false,
            Doubt::Away => true,
            Doubt::Until(end) => now < end,
        }
    }

    /// The entries that may be opening flows; one that is gone counts for a while.
    fn entries(&self, now: Timestamp, own_name: &str) -> Vec<u64> {
        let counts = |held: &HeldMember| {
            held.gone.is_none_or(|since| now.since(since) < self.cfg.member_grace)
        };
        let others = self.members.iter().filter(|(name, held)| *name != own_name && counts(held));
        others.map(|(name, _)| hash::of_name(name)).chain([hash::of_name(own_name)]).collect()
    }

    fn forget(&mut self, now: Timestamp) {
        if matches!(self.doubt, Doubt::Until(end) if end <= now) {
            self.doubt = Doubt::None;
        }
        let remember = self.cfg.retention;
        let old = |since: Timestamp| now.since(since) > remember;
        self.upstreams.retain(|_, held| !held.gone.is_some_and(|gone| old(gone.since)));
        self.zones_back.retain(|_, at| !old(*at));
        self.members.retain(|_, held| !held.gone.is_some_and(old));
    }
}
