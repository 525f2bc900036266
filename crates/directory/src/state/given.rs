//! Facts that this entry gives to others, or was given when it started without the store.

use std::net::SocketAddrV4;

use indexmap::IndexMap;
use stdx::hash;
use stdx::time::Timestamp;
use steer::UpstreamId;

use super::eras::EarlierWords;
use super::{AddressClaim, Directory, StoreTrust, StoredUpstream};
use crate::record::{Record, RecordKey, RecordValue, Revision};

/// Upstreams of each service in the first part, enough to serve with until the others are there.
const FIRST_UPSTREAMS: usize = 16;

/// Upstreams of each further part.
const PART_UPSTREAMS: usize = 256;

/// A part of what an entry knows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Part {
    /// The records. The first part has all but most upstreams.
    pub records: Vec<Record>,
    /// Routes that have named several services, in the first part.
    pub moved_routes: Vec<(SocketAddrV4, Vec<String>)>,
    /// Place of the next part; `None` in the last one.
    pub next: Option<u64>,
}

/// Facts that were given to this entry, until the store is read.
#[derive(Debug, Clone, Copy)]
pub(super) struct Given {
    /// Time until which the entry may serve with them.
    valid_until: Timestamp,
    is_complete: bool,
    /// Whether the next reading began after all of them were known.
    read_prevails: bool,
}

impl Directory {
    /// Whether this entry knows what the store told: it has read the store, or was given all.
    pub fn has_facts(&self) -> bool {
        self.has_loaded || self.given.is_some_and(|given| given.is_complete)
    }

    /// Whether others shall give facts to this entry. One that is reading the store page by page and
    /// can serve already gets the rest there.
    pub fn needs_facts(&self) -> bool {
        let reads = self.is_synced() && self.store_trust != StoreTrust::Unavailable;
        !self.has_facts() && !reads
    }

    /// Whether a full read of the store was completed.
    pub fn has_loaded(&self) -> bool {
        self.has_loaded
    }

    /// Whether this entry can serve clients: flows can be opened, and given facts are not too old.
    /// While records may be missing after an outage, each routed service has an upstream.
    pub fn serves(&self, now: Timestamp) -> bool {
        self.is_synced()
            && self.given.is_none_or(|given| now <= given.valid_until)
            && (self.is_complete(now) || self.routed_services_have_upstreams())
    }

    fn routed_services_have_upstreams(&self) -> bool {
        let targets = self.config.iter().flat_map(|config| &config.routes);
        targets.flat_map(|route| &route.targets).all(|(service, weight)| {
            let is_listed = |stored: &StoredUpstream| stored.removal.is_none();
            let mut upstreams = self.upstreams.values().filter(|stored| is_listed(stored));
            *weight == 0 || upstreams.any(|stored| stored.spec.service == *service)
        })
    }

    /// The part of this entry's facts that begins at `place`, for the entry named `receiver`. The
    /// order of upstreams depends on the receiver alone, so that receivers begin with different
    /// ones, and another giver can go on from the same place.
    pub fn facts(&self, now: Timestamp, receiver: &str, place: Option<u64>) -> Part {
        let seed = hash::fnv1a(receiver);
        let order = |id: UpstreamId| hash::mix(id.0 ^ seed);
        let holders = self.address_holders(now);
        let mut upstreams: Vec<(u64, Record)> = self
            .upstreams
            .iter()
            .filter_map(|(id, stored)| {
                let claim = super::address_claim(&holders, *id, stored);
                let record = self.upstream_fact(now, *id, stored, claim)?;
                Some((order(*id), record))
            })
            .collect();
        upstreams.sort_unstable_by_key(|(order, _)| *order);
        let Some(place) = place else {
            return self.first_part(upstreams);
        };
        let mut rest = upstreams.into_iter().filter(|(order, _)| *order >= place);
        let records = rest.by_ref().take(PART_UPSTREAMS).map(|(_, record)| record).collect();
        let next = rest.next().map(|(order, _)| order);
        Part { records, moved_routes: Vec::new(), next }
    }

    fn first_part(&self, upstreams: Vec<(u64, Record)>) -> Part {
        let mut part = Part::default();
        let config = self.config.clone().map(RecordValue::Config);
        part.records.push(Record {
            key: RecordKey::Config,
            revision: Revision::default(),
            created: Revision::default(),
            value: config,
        });
        part.records.extend(self.zones_out.iter().map(|(zone, revision)| Record {
            key: RecordKey::ZoneOut(zone.clone()),
            revision: *revision,
            created: *revision,
            value: Some(RecordValue::ZoneOut),
        }));
        part.records.extend(self.members.iter().map(|(name, stored)| Record {
            key: RecordKey::Member(name.clone()),
            revision: stored.revision,
            created: stored.revision,
            value: Some(RecordValue::Member(stored.member.clone())),
        }));
        let total = upstreams.len();
        let mut counts: IndexMap<String, usize> = IndexMap::new();
        let mut first = 0;
        for (_, record) in upstreams {
            if let Some(RecordValue::Upstream(spec)) = &record.value {
                let count = counts.entry(spec.service.clone()).or_default();
                *count += 1;
                if *count <= FIRST_UPSTREAMS {
                    first += 1;
                    part.records.push(record);
                }
            }
        }
        // Words of an earlier era count only before those of a later one.
        part.records.sort_by_key(|record| record.revision.era);
        part.next = (first < total).then_some(0);
        part.moved_routes =
            self.moved_routes().map(|(addr, names)| (addr, names.to_vec())).collect();
        part
    }

    /// The record of an upstream; `None` if it has ended. One that is kept for its open flows only
    /// is given as leaving.
    fn upstream_fact(
        &self,
        now: Timestamp,
        id: UpstreamId,
        stored: &StoredUpstream,
        claim: AddressClaim,
    ) -> Option<Record> {
        let upstream = self.upstream(now, id, stored, claim);
        if upstream.ended {
            return None;
        }
        let mut spec = stored.spec.clone();
        spec.leaving |= upstream.unlisted || self.active_hold(now, stored).is_some();
        spec.cold_left = upstream.cold_until.since(now);
        Some(Record {
            key: RecordKey::Upstream(id),
            revision: stored.revision,
            created: stored.created,
            value: Some(RecordValue::Upstream(spec)),
        })
    }

    /// Applies a part of another entry's facts, with which this entry may serve until `valid_until`.
    /// Returns false if the store has been read, which says more.
    pub fn take_facts(&mut self, now: Timestamp, part: Part, valid_until: Timestamp) -> bool {
        if self.has_loaded {
            return false;
        }
        // The store may have been away since the giver's last reading, however it answers now.
        self.store_trust = StoreTrust::Unavailable;
        for record in part.records {
            self.apply(now, record);
        }
        for (addr, names) in part.moved_routes {
            self.add_route_services(addr, &names);
        }
        let is_complete = part.next.is_none();
        self.given = Some(Given { valid_until, is_complete, read_prevails: false });
        true
    }

    /// Other entries have told all changes since the given facts, which are now valid for longer.
    pub fn extend_given(&mut self, valid_until: Timestamp) {
        if let Some(given) = &mut self.given {
            given.valid_until = given.valid_until.max(valid_until);
        }
    }

    /// Has the store's next reading prevail over given records that contradict it. For a reading that
    /// began after all of them were known, in an era in which the store has lost nothing: true ones
    /// are not newer.
    pub fn prefer_read(&mut self) {
        if let Some(given) = &mut self.given {
            given.read_prevails = true;
        }
    }

    /// Forgets the order of given records that claim to be newer than those of a full read. All others
    /// stay as they are, with what is left of their cold time.
    pub(super) fn yield_to_read(&mut self, records: &[Record]) {
        if !self.given.is_some_and(|given| given.read_prevails) {
            return;
        }
        for record in records {
            let is_newer = |revision: &Revision| *revision > record.revision;
            match (&record.key, &record.value) {
                (RecordKey::Config, Some(RecordValue::Config(read))) => {
                    let config = self.config.as_mut().filter(|known| known.version > read.version);
                    if let Some(config) = config {
                        config.version = 0;
                    }
                }
                (RecordKey::Upstream(id), _) => {
                    let revision = self.upstreams.get_mut(id).map(|stored| &mut stored.revision);
                    if let Some(revision) = revision.filter(|revision| is_newer(revision)) {
                        *revision = Revision::default();
                    }
                }
                (RecordKey::Member(name), _) => {
                    let revision = self.members.get_mut(name).map(|stored| &mut stored.revision);
                    if let Some(revision) = revision.filter(|revision| is_newer(revision)) {
                        *revision = Revision::default();
                    }
                }
                _ => {}
            }
        }
    }

    /// Has the store's next reading prevail over everything that was given. For facts that claim to
    /// be newer than the store, which answers in `era`.
    pub fn distrust_given(&mut self, era: u64) {
        if self.given.is_none() {
            return;
        }
        self.era = era;
        self.base = None;
        self.earlier_words = EarlierWords::Void;
        let oldest = Revision { era, number: 0 };
        if let Some(config) = &mut self.config {
            config.version = 0;
        }
        self.upstreams.values_mut().for_each(|stored| stored.revision = oldest);
        self.members.values_mut().for_each(|stored| stored.revision = oldest);
        self.zones_out.values_mut().for_each(|revision| *revision = oldest);
    }
}
