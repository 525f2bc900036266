//! Current state of the store's records, and the steering table built from it.

use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use stdx::hash;
use stdx::time::Timestamp;
use steer::table::{Service, ServiceId, Target};
use steer::{Route, Table, Upstream, UpstreamId, ZoneId};

use crate::record::{Config, Member, Record, RecordKey, RecordValue, Revision, UpstreamSpec};

mod eras;
mod given;

pub use given::Part;

use eras::{EarlierWords, Hold};
use given::Given;

/// If more than one in this many upstreams is removed at once, the store is assumed to have lost
/// live records in an outage. The loss of a zone's power comes close to this share, but keeping its
/// upstreams listed for the grace period does no harm.
const MASS_REMOVAL_ONE_IN: usize = 3;

stdx::value! {
    /// Grace periods for removed records, and limits for cold upstreams.
    pub struct Settings {
        /// Time after an outage of the store within which live upstreams register again.
        pub relist_grace: Duration,
        /// Time for which a removed upstream is kept for its open flows.
        pub retention: Duration,
        /// Time for which a removed entry still counts as opening flows.
        pub member_grace: Duration,
        /// Time after the first read of a store that came back from an older copy for which lost
        /// words about draining and ended upstreams and zones out of service hold.
        pub step_hold: Duration,
        /// Burst above the cold rate, in new flows per second.
        pub cold_burst: u32,
        /// Factor on the cold rate, in thousandths.
        pub cold_factor_permille: u32,
    }

    /// Changes from the previous table to the current one, for the log.
    #[derive(Default)]
    pub struct TableChange {
        /// Previous version of the configuration.
        pub version_before: u64,
        /// Current version of the configuration.
        pub version: u64,
        /// Previous number of upstreams that take new flows.
        pub eligible_before: usize,
        /// Current number of upstreams that take new flows.
        pub eligible: usize,
        /// Number of zones out of service.
        pub zones_out: usize,
        /// Number of entries that may be opening flows.
        pub entries: u32,
        /// Number of upstreams and zones for which words hold that the store has lost.
        pub held: usize,
        /// Number of listed upstreams without new flows because another one at their address started
        /// later, although it registered earlier.
        pub contested: usize,
    }
}

/// State of the store's records as known to one entry.
#[derive(Debug, Clone)]
pub struct Directory {
    cfg: Settings,
    config: Option<Config>,
    /// All services that each address has routed to.
    route_history: IndexMap<SocketAddrV4, Vec<String>>,
    upstreams: IndexMap<UpstreamId, StoredUpstream>,
    /// Zones out of service, with the revisions of their records.
    zones_out: IndexMap<String, Revision>,
    /// Times at which zones were put back into service.
    zones_restored: IndexMap<String, Timestamp>,
    members: IndexMap<String, StoredMember>,
    /// Zones and services; the index is the id in tables and never changes.
    zone_ids: IndexSet<String>,
    service_ids: IndexSet<String>,
    /// Whether the store can be trusted to list all live upstreams.
    store_trust: StoreTrust,
    /// End of the time in which most upstreams may be missing, if the first read followed an
    /// outage.
    incomplete_until: Option<Timestamp>,
    /// Era of the newest word.
    era: u64,
    /// Highest number in the first full read of the era. What is above it was written in the era;
    /// what is not may come from the copy.
    base: Option<u64>,
    earlier_words: EarlierWords,
    last_change: TableChange,
    /// Whether a full read was completed.
    has_loaded: bool,
    /// Facts of other entries, until the first full read.
    given: Option<Given>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreTrust {
    Trusted,
    Unavailable,
    UntrustedUntil(Timestamp),
}

#[derive(Debug, Clone)]
struct StoredUpstream {
    spec: UpstreamSpec,
    revision: Revision,
    created: Revision,
    /// Latest start that was recorded under its id.
    last_start_ms: Option<u64>,
    cold_until: Timestamp,
    removal: Option<Removal>,
    hold: Option<Hold>,
}

/// The upstream that has an address.
#[derive(Debug, Clone, Copy)]
struct AddressHolder {
    id: UpstreamId,
    started_ms: Option<u64>,
    created: Revision,
}

/// What the records at an address say of one of its upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AddressClaim {
    /// It has the address.
    Holds,
    /// Another upstream is listed there, but did not both start and register later. The store may
    /// have executed a write late, or the clocks of two machines differ.
    Contested,
    /// Another upstream started there and registered later.
    PassedOn,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Removal {
    since: Timestamp,
    /// Whether the upstream had announced its stop and the store was trusted at the removal.
    ended: bool,
    /// Whether the record may be missing only because of an outage of the store.
    unconfirmed: bool,
}

#[derive(Debug, Clone)]
struct StoredMember {
    member: Member,
    /// Revision of the record or of its removal.
    revision: Revision,
    removed_at: Option<Timestamp>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(cfg: Settings) -> Self {
        Self {
            cfg,
            config: None,
            route_history: IndexMap::new(),
            upstreams: IndexMap::new(),
            zones_out: IndexMap::new(),
            zones_restored: IndexMap::new(),
            members: IndexMap::new(),
            zone_ids: IndexSet::new(),
            service_ids: IndexSet::new(),
            store_trust: StoreTrust::Trusted,
            incomplete_until: None,
            era: 0,
            base: None,
            earlier_words: EarlierWords::Void,
            last_change: TableChange::default(),
            has_loaded: false,
            given: None,
        }
    }

    /// Applies a full read of the store. Records that are not in it are marked as removed.
    /// A read of an earlier era than the known one came late, and counts for the configuration only.
    pub fn load(&mut self, now: Timestamp, records: Vec<Record>) {
        if let Some(era) = records.iter().map(|record| record.revision.era).max() {
            self.on_era(now, era);
            if era < self.era {
                for record in records {
                    self.apply(now, record);
                }
                return;
            }
        }
        self.has_loaded = true;
        self.yield_to_read(&records);
        self.given = None;
        if self.store_trust == StoreTrust::Unavailable {
            let relist_until = now + self.cfg.relist_grace;
            self.store_trust = StoreTrust::UntrustedUntil(relist_until);
            if self.upstreams.is_empty() {
                self.incomplete_until = Some(relist_until);
            }
        }
        let listed: IndexSet<RecordKey> =
            records.iter().filter(|r| r.value.is_some()).map(|r| r.key.clone()).collect();
        let highest = records.iter().map(|record| record.revision.number).max().unwrap_or_default();
        for record in records {
            self.apply(now, record);
        }
        self.base.get_or_insert(highest);
        if self.earlier_words == EarlierWords::HoldUntilRead {
            self.earlier_words = EarlierWords::HoldUntil(now + self.cfg.step_hold);
        }
        let missing: Vec<UpstreamId> = self
            .upstreams
            .keys()
            .filter(|id| !listed.contains(&RecordKey::Upstream(**id)))
            .copied()
            .collect();
        for id in missing {
            self.mark_upstream_removed(now, id);
        }
        let holds = self.holds_earlier_words(now);
        let restored: Vec<String> = self
            .zones_out
            .iter()
            .filter(|(zone, _)| !listed.contains(&RecordKey::ZoneOut((*zone).clone())))
            .filter(|(_, revision)| !(holds && revision.era < self.era))
            .map(|(zone, _)| zone.clone())
            .collect();
        for zone in restored {
            self.restore_zone(now, &zone);
        }
        for (name, stored) in &mut self.members {
            if !listed.contains(&RecordKey::Member(name.clone())) {
                stored.removed_at.get_or_insert(now);
            }
        }
    }

    /// Applies a batch of changes. If many upstreams are removed at once without having announced
    /// their stop, the store may have had an unnoticed outage, and the upstreams may be alive.
    pub fn apply_all(&mut self, now: Timestamp, records: Vec<Record>) {
        if let Some(era) = records.iter().map(|record| record.revision.era).max() {
            self.on_era(now, era);
        }
        let listed = self.upstreams.values().filter(|stored| stored.removal.is_none()).count();
        let removed = records.iter().filter(|record| self.is_unannounced_removal(record)).count();
        if removed > 1
            && removed * MASS_REMOVAL_ONE_IN > listed
            && self.store_trust != StoreTrust::Unavailable
        {
            self.store_trust = StoreTrust::UntrustedUntil(now + self.cfg.relist_grace);
        }
        for record in records {
            self.apply(now, record);
        }
    }

    /// Applies a part of a first full read, so that flows can be opened before the last page is
    /// there. Returns false if the records wait for the complete read: after an outage it tells
    /// whether upstreams may be missing, and an entry that knows upstreams has no hurry.
    pub fn apply_page(&mut self, now: Timestamp, records: Vec<Record>) -> bool {
        let applies = self.store_trust == StoreTrust::Trusted && !self.has_loaded;
        if applies {
            for record in records {
                self.apply(now, record);
            }
        }
        applies
    }

    fn is_unannounced_removal(&self, record: &Record) -> bool {
        let RecordKey::Upstream(id) = record.key else {
            return false;
        };
        let current = self.upstreams.get(&id).filter(|stored| stored.revision < record.revision);
        record.value.is_none()
            && current.is_some_and(|stored| stored.removal.is_none() && !stored.spec.leaving)
    }

    /// Applies one change. Changes older than the known state are ignored.
    pub fn apply(&mut self, now: Timestamp, record: Record) {
        self.on_era(now, record.revision.era);
        // The order of configurations is their own.
        if record.revision.era < self.era && record.key != RecordKey::Config {
            return;
        }
        match (record.key, record.value) {
            (RecordKey::Config, Some(RecordValue::Config(config))) => self.set_config(config),
            (RecordKey::Upstream(id), Some(RecordValue::Upstream(spec))) => {
                self.set_upstream(now, id, spec, record.revision, record.created);
            }
            (RecordKey::Upstream(id), _) => {
                let newer = |stored: &StoredUpstream| stored.revision < record.revision;
                if self.upstreams.get(&id).is_some_and(newer) {
                    self.mark_upstream_removed(now, id);
                }
            }
            (RecordKey::ZoneOut(zone), Some(_)) => {
                let current = self.zones_out.entry(zone).or_default();
                *current = record.revision.max(*current);
            }
            (RecordKey::ZoneOut(zone), None) => {
                if self.zones_out.get(&zone).is_some_and(|current| *current < record.revision) {
                    self.restore_zone(now, &zone);
                }
            }
            (RecordKey::Member(name), Some(RecordValue::Member(member))) => {
                // A peer may still have a record that was replaced or removed since.
                let revision = record.revision;
                let is_copy = self.is_doubtful(revision);
                let stored = self.members.get(&name);
                if stored.is_none_or(|stored| stored.revision <= revision) {
                    // The copy may name the address of an entry's earlier process.
                    let known = stored.filter(|stored| {
                        is_copy
                            && stored.revision.era < revision.era
                            && stored.member.incarnation > member.incarnation
                    });
                    let member = known.map_or(member, |stored| stored.member.clone());
                    self.members.insert(name, StoredMember { member, revision, removed_at: None });
                }
            }
            (RecordKey::Member(name), _) => {
                let stored = self.members.get_mut(&name);
                if let Some(stored) = stored.filter(|stored| stored.revision < record.revision) {
                    stored.revision = record.revision;
                    stored.removed_at.get_or_insert(now);
                }
            }
            // The last configuration is kept if it is removed or can't be decoded.
            (RecordKey::Config, _) => {}
        }
    }

    /// Routes that have named several services, with all of them.
    pub fn moved_routes(&self) -> impl Iterator<Item = (SocketAddrV4, &[String])> {
        let moved = self.route_history.iter().filter(|(_, names)| names.len() > 1);
        moved.map(|(addr, names)| (*addr, names.as_slice()))
    }

    /// Adds services that a configured route named before this process started, as another entry
    /// knows. Open flows may still be there. Returns whether any of them was unknown.
    pub fn add_route_services(&mut self, addr: SocketAddrV4, names: &[String]) -> bool {
        let is_known = |name: &String| {
            self.service_ids.contains(name)
                || self.upstreams.values().any(|stored| stored.spec.service == *name)
        };
        let names: Vec<&String> = names.iter().filter(|name| is_known(name)).collect();
        let Some(history) = self.route_history.get_mut(&addr) else {
            return false;
        };
        let len = history.len();
        for name in names {
            if !history.contains(name) {
                history.push(name.clone());
            }
        }
        history.len() > len
    }

    /// Replaces the settings.
    pub fn reconfigure(&mut self, cfg: Settings) {
        self.cfg = cfg;
    }

    /// Records that the store does not respond.
    pub fn store_lost(&mut self) {
        self.store_trust = StoreTrust::Unavailable;
    }

    /// Whether flows can be opened: the configuration and at least one upstream are known.
    pub fn is_synced(&self) -> bool {
        self.config.is_some() && !self.upstreams.is_empty()
    }

    /// Whether the known upstreams can be assumed to be all live ones. False for a process that
    /// started during an outage of the store, until live upstreams have had time to register again.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        self.incomplete_until.is_none_or(|until| until <= now)
    }

    /// All entries, including this one. Entries that are no longer listed come last; they are
    /// included because the store may have lost records of live entries.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        let listed = self.members.iter().filter(|(_, stored)| stored.removed_at.is_none());
        let missing = self.members.iter().filter(|(_, stored)| stored.removed_at.is_some());
        listed.chain(missing).map(|(name, stored)| (name.as_str(), &stored.member))
    }

    /// Whether the store lists the registration of an entry.
    pub fn is_registered(&self, name: &str) -> bool {
        self.members.get(name).is_some_and(|stored| stored.removed_at.is_none())
    }

    /// Time of the next change of the table without a change of records, if any.
    pub fn next_change(&self) -> Option<Timestamp> {
        let trusted_at = match self.store_trust {
            StoreTrust::UntrustedUntil(end) => Some(end),
            StoreTrust::Trusted | StoreTrust::Unavailable => None,
        };
        let released_at = match self.earlier_words {
            EarlierWords::HoldUntil(end) => Some(end),
            EarlierWords::Void | EarlierWords::HoldUntilRead => None,
        };
        trusted_at.into_iter().chain(released_at).min()
    }

    /// Builds the table, and returns it with the changes since the last one.
    pub fn table(&mut self, now: Timestamp, own_name: &str) -> (Table, TableChange) {
        self.expire(now);
        self.assign_ids();
        self.upstreams.sort_unstable_by(|a, x, b, y| (x.created, a).cmp(&(y.created, b)));
        let mut table = Table {
            synced: self.is_synced(),
            version: self.config.as_ref().map_or(0, |config| config.version),
            services: self.service_ids.iter().map(|name| self.service(name)).collect(),
            zones: self.zone_ids.iter().cloned().collect(),
            entries: self.entries(now, own_name),
            own_entry: hash::fnv1a(own_name),
            ..Table::default()
        };
        for (addr, names) in &self.route_history {
            match self.route(*addr, names) {
                Some(route) => table.routes.insert(*addr, route).is_some(),
                None => table.removed_routes.insert(*addr),
            };
        }
        let holders = self.address_holders(now);
        let mut contested = 0;
        for (id, stored) in &self.upstreams {
            let claim = address_claim(&holders, *id, stored);
            let is_contested = claim == AddressClaim::Contested && self.is_listed(now, stored);
            contested += usize::from(is_contested);
            table.upstreams.insert(*id, self.upstream(now, *id, stored, claim));
        }
        let change = TableChange {
            version_before: self.last_change.version,
            version: table.version,
            eligible_before: self.last_change.eligible,
            eligible: table.upstreams.values().filter(|upstream| upstream.accepts_new).count(),
            zones_out: self.zones_out.len(),
            entries: table.entries.len() as u32,
            held: self.held(now),
            contested,
        };
        self.last_change = change;
        (table, change)
    }

    /// Assigns a permanent id to each zone and service, so that counters by id stay valid when the
    /// table changes.
    fn assign_ids(&mut self) {
        let configured = self.config.iter().flat_map(|config| &config.services);
        let services =
            configured.map(|service| &service.name).chain(self.route_history.values().flatten());
        let of_upstreams = self.upstreams.values().map(|stored| &stored.spec.service);
        self.service_ids.extend(services.chain(of_upstreams).cloned());
        self.zone_ids.extend(self.upstreams.values().map(|stored| stored.spec.zone.clone()));
    }

    fn service(&self, name: &str) -> Service {
        let spec = self.config.iter().flat_map(|c| &c.services).find(|spec| spec.name == name);
        let factor = f64::from(self.cfg.cold_factor_permille) / 1000.0;
        let rate = spec.map_or(0.0, |spec| spec.cold_opens_per_s) * factor;
        Service {
            name: name.to_owned(),
            cold_opens_per_s: (rate as u32).saturating_add(self.cfg.cold_burst),
        }
    }

    /// The route of an address, with all services it has had; `None` if the route was removed.
    fn route(&self, addr: SocketAddrV4, history: &[String]) -> Option<Route> {
        let spec = self.config.iter().flat_map(|c| &c.routes).find(|spec| spec.addr == addr)?;
        let target = |(name, weight): &(String, u32)| Target {
            service: self.service_id(name),
            weight: *weight,
        };
        let targets = spec.targets.iter().map(target).collect();
        Some(Route {
            targets,
            all_services: history.iter().map(|name| self.service_id(name)).collect(),
            repeatable: spec.repeatable,
        })
    }

    /// The upstream that holds each address: the one that started last. The order of registration
    /// does not tell, because the store may execute a write seconds after its writer has ended.
    /// Addresses are reused only after their upstream has ended, which may be before its record is
    /// removed. Records with a service that is not configured may come from other writers and prove
    /// nothing.
    fn address_holders(&self, now: Timestamp) -> IndexMap<SocketAddrV4, AddressHolder> {
        let is_configured = |name: &str| {
            self.config.iter().flat_map(|c| &c.services).any(|service| service.name == name)
        };
        let is_listed = |stored: &StoredUpstream| {
            self.is_listed(now, stored)
                && self.active_hold(now, stored).is_none_or(|hold| !hold.gone)
        };
        let mut listed: Vec<(&UpstreamId, &StoredUpstream)> = self
            .upstreams
            .iter()
            .filter(|(_, stored)| is_listed(stored) && is_configured(&stored.spec.service))
            .collect();
        listed.sort_by_key(|(id, stored)| (stored.spec.started_ms, stored.created, **id));
        let holder = |(id, stored): (&UpstreamId, &StoredUpstream)| {
            let (started_ms, created) = (stored.spec.started_ms, stored.created);
            (stored.spec.addr, AddressHolder { id: *id, started_ms, created })
        };
        listed.into_iter().map(holder).collect()
    }

    fn upstream(
        &self,
        now: Timestamp,
        id: UpstreamId,
        stored: &StoredUpstream,
        claim: AddressClaim,
    ) -> Upstream {
        let spec = &stored.spec;
        let zone = self.zone_ids.get_index_of(&spec.zone).unwrap_or_default();
        let listed = self.is_listed(now, stored);
        let hold = self.active_hold(now, stored);
        let cold = self.config.iter().flat_map(|c| &c.services).find(|s| s.name == spec.service);
        let cold_by_zone =
            self.zones_restored.get(&spec.zone).zip(cold).map(|(at, s)| *at + s.cold);
        Upstream {
            id,
            addr: spec.addr,
            zone: ZoneId(zone as u16),
            service: self.service_id(&spec.service),
            slots: spec.slots,
            accepts_new: listed
                && claim == AddressClaim::Holds
                && !spec.leaving
                && hold.is_none()
                && !self.zones_out.contains_key(&spec.zone),
            cold_until: stored.cold_until.max(cold_by_zone.unwrap_or_default()),
            started_ms: spec.started_ms,
            ended: claim == AddressClaim::PassedOn
                || stored.removal.is_some_and(|removal| removal.ended)
                || hold.is_some_and(|hold| hold.ended),
            unlisted: !listed || hold.is_some_and(|hold| hold.gone),
        }
    }

    /// The id of a service; [`Self::assign_ids`] has assigned one to every name.
    fn service_id(&self, name: &str) -> ServiceId {
        ServiceId(self.service_ids.get_index_of(name).unwrap_or_default() as u16)
    }

    fn set_config(&mut self, config: Config) {
        if self.config.as_ref().is_some_and(|current| current.version >= config.version) {
            return;
        }
        for route in &config.routes {
            let history = self.route_history.entry(route.addr).or_default();
            for (name, _) in &route.targets {
                if !history.contains(name) {
                    history.push(name.clone());
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
        revision: Revision,
        created: Revision,
    ) {
        let is_copy = self.is_doubtful(revision);
        // The place of a creation is the same in each era that has it.
        let is_old_creation = self.is_doubtful(created);
        let holds = self.holds_earlier_words(now);
        let current = self.upstreams.get_mut(&id);
        // A peer may still have a record that was removed since; a new record has a higher
        // revision.
        let is_old = |stored: &StoredUpstream| {
            stored.revision > revision || (stored.revision == revision && stored.removal.is_some())
        };
        if current.as_deref().is_some_and(is_old) {
            return;
        }
        if let Some(stored) = current
            && is_copy
            && holds
            && stored.revision.era < revision.era
            && stored.spec.started_ms > spec.started_ms
        {
            // The copy tells of an earlier start.
            stored.revision = revision;
            return;
        }
        let current = self.upstreams.get(&id);
        // A record that is read again does not restart its cold time.
        let is_same = |stored: &&StoredUpstream| {
            let is_copy = is_copy && stored.revision.era < revision.era;
            stored.revision == revision || is_copy && stored.spec.started_ms == spec.started_ms
        };
        let same = current.filter(is_same);
        let cold_until = same.map_or(now + spec.cold_left, |stored| stored.cold_until);
        let cold_until = if spec.cold_left.is_zero() { Timestamp::default() } else { cold_until };
        let hold = current
            .filter(|stored| is_copy && stored.spec.started_ms == spec.started_ms)
            .and_then(|stored| stored.hold);
        let created = current
            .map(|stored| stored.created)
            .filter(|known| is_old_creation && known.number == created.number)
            .unwrap_or(created);
        let last_start_ms = spec.started_ms.max(current.and_then(|stored| stored.last_start_ms));
        let stored = StoredUpstream {
            spec,
            revision,
            created,
            last_start_ms,
            cold_until,
            removal: None,
            hold,
        };
        self.upstreams.insert(id, stored);
    }

    fn mark_upstream_removed(&mut self, now: Timestamp, id: UpstreamId) {
        let unconfirmed = self.distrusts_removals(now);
        if let Some(stored) = self.upstreams.get_mut(&id) {
            // A late write of an earlier start does not say that the current one leaves.
            let is_current = stored.spec.started_ms >= stored.last_start_ms;
            let leaving =
                stored.spec.leaving && is_current || stored.hold.is_some_and(|hold| hold.leaving);
            let ended = leaving && !unconfirmed || stored.hold.is_some_and(|hold| hold.ended);
            stored.removal.get_or_insert(Removal { since: now, ended, unconfirmed });
        }
    }

    fn restore_zone(&mut self, now: Timestamp, zone: &str) {
        self.zones_out.swap_remove(zone);
        self.zones_restored.insert(zone.to_owned(), now);
    }

    /// Upstreams that are still missing after an outage are gone; a further outage is no reason to
    /// list them again.
    fn confirm_removals(&mut self, now: Timestamp) {
        if matches!(self.store_trust, StoreTrust::UntrustedUntil(end) if end <= now) {
            self.store_trust = StoreTrust::Trusted;
            let removals = self.upstreams.values_mut().filter_map(|stored| stored.removal.as_mut());
            removals.for_each(|removal| removal.unconfirmed = false);
        }
    }

    /// Whether the upstream's record is there, or may be missing because the store lost it.
    fn is_listed(&self, now: Timestamp, stored: &StoredUpstream) -> bool {
        stored.removal.is_none_or(|removal| removal.unconfirmed && self.distrusts_removals(now))
    }

    fn distrusts_removals(&self, now: Timestamp) -> bool {
        match self.store_trust {
            StoreTrust::Trusted => false,
            StoreTrust::Unavailable => true,
            StoreTrust::UntrustedUntil(end) => now < end,
        }
    }

    /// Entries that may be opening flows, including removed ones within the grace period.
    fn entries(&self, now: Timestamp, own_name: &str) -> Vec<u64> {
        let may_open_flows = |stored: &StoredMember| {
            stored.removed_at.is_none_or(|since| now.since(since) < self.cfg.member_grace)
        };
        let others = self
            .members
            .iter()
            .filter(|(name, stored)| *name != own_name && may_open_flows(stored));
        others.map(|(name, _)| hash::fnv1a(name)).chain([hash::fnv1a(own_name)]).collect()
    }

    fn expire(&mut self, now: Timestamp) {
        self.confirm_removals(now);
        self.release_held(now);
        let retention = self.cfg.retention;
        let old = |since: Timestamp| now.since(since) > retention;
        self.upstreams
            .retain(|_, stored| !stored.removal.is_some_and(|removal| old(removal.since)));
        self.zones_restored.retain(|_, at| !old(*at));
        self.members.retain(|_, stored| !stored.removed_at.is_some_and(old));
    }
}

fn address_claim(
    holders: &IndexMap<SocketAddrV4, AddressHolder>,
    id: UpstreamId,
    stored: &StoredUpstream,
) -> AddressClaim {
    let Some(holder) = holders.get(&stored.spec.addr).filter(|holder| holder.id != id) else {
        return AddressClaim::Holds;
    };
    if holder.created > stored.created && holder.started_ms >= stored.spec.started_ms {
        AddressClaim::PassedOn
    } else {
        AddressClaim::Contested
    }
}
