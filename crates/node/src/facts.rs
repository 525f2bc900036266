//! Facts that the control actor offers and gives to entries that start without the store, and what
//! it was given itself.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use directory::giving::{Offers, Pacer};
use directory::{
    Config, Member, Part, Record, RecordKey, RecordValue, Revision, RouteSpec, ServiceSpec,
    UpstreamSpec, record,
};
use indexmap::IndexSet;
use kameo::message::{Context, Message};
use peer_proto::v1;
use peer_proto::v1::reach::Kind;
use stdx::time::Timestamp;
use steer::UpstreamId;
use tokio::sync::mpsc;

use crate::control::Control;

/// State of giving.
#[derive(Debug, Default)]
pub(crate) struct Giving {
    offers: Offers,
    pacer: Pacer,
    received: Option<mpsc::Sender<SocketAddrV4>>,
    link_mbps: u32,
    /// How current the facts are that this entry was given.
    given: Option<Completeness>,
}

impl Giving {
    pub(crate) fn new(received: mpsc::Sender<SocketAddrV4>, link_mbps: u32) -> Self {
        Self { received: Some(received), link_mbps, ..Self::default() }
    }
}

/// Another entry offers its facts.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedOffer {
    /// The other entry, or a stranger.
    pub from: SocketAddrV4,
}

/// Whether another entry needs the facts that it was offered.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedFactsState {
    /// The other entry.
    pub from: SocketAddrV4,
    /// Whether it has none.
    pub needed: bool,
}

/// Requests a part of this entry's facts; replies with it and the time to wait before it is sent.
#[derive(Debug, Clone)]
pub struct GiveFacts {
    /// Name of the entry that needs them.
    pub receiver: String,
    /// Place at which the part begins; `None` for the first part.
    pub place: Option<u64>,
    /// Age of this entry's word from the store and the revision up to which it is complete, if the
    /// store was read.
    pub read: Option<Completeness>,
}

stdx::value! {
    /// How current facts are.
    pub struct Completeness {
        /// All changes that were acknowledged by then are known.
        pub as_of: Timestamp,
        /// The store's revision up to which all changes are known.
        pub revision: Revision,
    }
}

/// Reply to [`GiveFacts`].
#[derive(Debug, kameo::Reply)]
pub enum FactsReply {
    /// The encoded part, and the time to wait before it is sent.
    Part(Vec<u8>, Duration),
    /// This entry has no facts or gives to others at present.
    Busy,
}

/// Asks whether this entry still needs facts of others.
#[derive(Debug, Clone, Copy)]
pub struct NeedsFacts;

/// A part of another entry's facts; replies whether it was used.
#[derive(Debug)]
pub struct Given {
    /// The part.
    pub part: Part,
    /// How current the facts are.
    pub complete: Completeness,
    /// Time until which this entry may serve with them.
    pub valid_until: Timestamp,
}

/// Another entry has told all changes since the given facts.
#[derive(Debug, Clone, Copy)]
pub struct GivenExtended {
    /// How current the facts are now.
    pub complete: Completeness,
    /// Time until which this entry may serve with them.
    pub valid_until: Timestamp,
}

/// The store's next reading, in the given era, prevails over all that was given.
#[derive(Debug, Clone, Copy)]
pub struct DistrustGiven(pub u64);

/// The store's next reading prevails over given records that contradict it.
#[derive(Debug, Clone, Copy)]
pub struct PreferRead;

impl Control {
    /// Offers this entry's facts to those that may have started without the store.
    pub(crate) fn offer_facts(&mut self, now: Timestamp) {
        if !self.directory.has_facts() {
            return;
        }
        let due = self.giving.offers.due(now, &self.name, self.directory.members());
        metrics::counter!("ibis_facts_offers_total").increment(due.len() as u64);
        let bytes = peer_proto::encode_reach(Kind::FactsOffer(v1::FactsOffer {}));
        for to in due {
            self.send_to_peer(&bytes, to);
        }
    }
}

impl Message<ReceivedOffer> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: ReceivedOffer, _: &mut Context<Self, ()>) {
        let needed = self.directory.needs_facts();
        if needed && let Some(received) = &self.giving.received {
            // If the queue is full, enough others have offered.
            let _full = received.try_send(msg.from);
        }
        let state = v1::FactsState { needed };
        self.send_to_peer(&peer_proto::encode_reach(Kind::FactsState(state)), msg.from);
    }
}

impl Message<ReceivedFactsState> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: ReceivedFactsState, _: &mut Context<Self, ()>) {
        if self.is_from_member(msg.from) {
            self.giving.offers.on_state(self.clock.now(), msg.from, msg.needed);
        }
    }
}

impl Message<GiveFacts> for Control {
    type Reply = FactsReply;

    async fn handle(&mut self, msg: GiveFacts, _: &mut Context<Self, FactsReply>) -> FactsReply {
        let now = self.clock.now();
        let Some(complete) = msg.read.or(self.giving.given).filter(|_| self.directory.has_facts())
        else {
            return FactsReply::Busy;
        };
        let busy = || {
            metrics::counter!("ibis_facts_given_total", "result" => "busy").increment(1);
            FactsReply::Busy
        };
        if !self.giving.pacer.is_free(now) {
            return busy();
        }
        let part = self.directory.facts(now, &msg.receiver, msg.place);
        let records = part.records.len();
        let bytes = peer_proto::encode_facts(&encode(&part, complete, now));
        let Some(wait) = self.giving.pacer.admit(now, bytes.len(), self.giving.link_mbps) else {
            return busy();
        };
        metrics::counter!("ibis_facts_given_total", "result" => "ok").increment(1);
        let (age_ms, wait_ms) = (now.since(complete.as_of).as_millis(), wait.as_millis());
        tracing::info!(
            at = now.as_micros(),
            to = msg.receiver,
            records,
            bytes = bytes.len(),
            age_ms = age_ms as u64,
            wait_ms = wait_ms as u64,
            first = msg.place.is_none(),
            "facts given"
        );
        FactsReply::Part(bytes, wait)
    }
}

impl Message<NeedsFacts> for Control {
    type Reply = bool;

    async fn handle(&mut self, _: NeedsFacts, _: &mut Context<Self, bool>) -> bool {
        self.directory.needs_facts()
    }
}

impl Message<Given> for Control {
    type Reply = bool;

    async fn handle(&mut self, msg: Given, _: &mut Context<Self, bool>) -> bool {
        let now = self.clock.now();
        let used = self.directory.take_facts(now, msg.part, msg.valid_until);
        if used {
            self.giving.given = Some(msg.complete);
            self.publish(now);
        }
        used
    }
}

impl Message<GivenExtended> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: GivenExtended, _: &mut Context<Self, ()>) {
        self.giving.given = self.giving.given.map(|_| msg.complete);
        self.directory.extend_given(msg.valid_until);
        self.update_readiness(self.clock.now());
    }
}

impl Message<DistrustGiven> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: DistrustGiven, _: &mut Context<Self, ()>) {
        self.directory.distrust_given(msg.0);
    }
}

impl Message<PreferRead> for Control {
    type Reply = ();

    async fn handle(&mut self, _: PreferRead, _: &mut Context<Self, ()>) {
        self.directory.prefer_read();
    }
}

/// Names of services and zones, each sent once.
#[derive(Debug, Default)]
struct Names(IndexSet<String>);

impl Names {
    fn index(&mut self, name: &str) -> u32 {
        let index = self.0.get_index_of(name);
        index.unwrap_or_else(|| self.0.insert_full(name.to_owned()).0) as u32
    }
}

/// The message with a part of this entry's facts.
pub fn encode(part: &Part, complete: Completeness, now: Timestamp) -> v1::Facts {
    let mut names = Names::default();
    let mut facts = v1::Facts {
        era: complete.revision.era,
        revision: complete.revision.number,
        age_ms: now.since(complete.as_of).as_millis() as u64,
        next: part.next,
        moved_routes: part.moved_routes.iter().map(encode_moved_route).collect(),
        ..v1::Facts::default()
    };
    for record in &part.records {
        let Revision { era, number: revision } = record.revision;
        match (&record.key, &record.value) {
            (RecordKey::Config, Some(RecordValue::Config(config))) => {
                facts.config = Some(encode_config(config, &mut names));
            }
            (RecordKey::ZoneOut(zone), Some(_)) => {
                let zone = names.index(zone);
                facts.zones_out.push(v1::FactsZoneOut { zone, era, revision });
            }
            (RecordKey::Member(name), Some(RecordValue::Member(member))) => {
                facts.members.push(v1::FactsMember {
                    name: name.clone(),
                    ip: (*member.addr.ip()).into(),
                    port: member.addr.port().into(),
                    zone: names.index(&member.zone),
                    incarnation: member.incarnation,
                    link_mbps: member.link_mbps,
                    era,
                    revision,
                });
            }
            (RecordKey::Upstream(id), Some(RecordValue::Upstream(spec))) => {
                facts.upstreams.push(v1::FactsUpstream {
                    id: id.0,
                    ip: (*spec.addr.ip()).into(),
                    port: spec.addr.port().into(),
                    service: names.index(&spec.service),
                    zone: names.index(&spec.zone),
                    leaving: spec.leaving,
                    cold_micros: spec.cold_left.as_micros() as u64,
                    started_ms: spec.started_ms,
                    era,
                    revision,
                    created_era: record.created.era,
                    created: record.created.number,
                    slots: spec.slots,
                });
            }
            _ => {}
        }
    }
    facts.names = names.0.into_iter().collect();
    facts
}

fn encode_moved_route((addr, services): &(SocketAddrV4, Vec<String>)) -> v1::RouteHistory {
    v1::RouteHistory {
        service_ip: (*addr.ip()).into(),
        service_port: addr.port().into(),
        services: services.clone(),
    }
}

fn encode_config(config: &Config, names: &mut Names) -> v1::FactsConfig {
    let routes = config.routes.iter().map(|route| v1::FactsRoute {
        ip: (*route.addr.ip()).into(),
        port: route.addr.port().into(),
        services: route.targets.iter().map(|(service, _)| names.index(service)).collect(),
        weights: route.targets.iter().map(|(_, weight)| *weight).collect(),
        repeatable: route.repeatable,
    });
    let routes = routes.collect();
    let services = config.services.iter().map(|service| v1::FactsService {
        name: names.index(&service.name),
        cold_micros: service.cold.as_micros() as u64,
        cold_opens_per_s: service.cold_opens_per_s,
    });
    v1::FactsConfig { version: config.version, routes, services: services.collect() }
}

/// The part in a message and how current it is, counted from the request. `None` if the message is
/// not consistent.
pub fn decode(facts: &v1::Facts, requested_at: Timestamp) -> Option<(Part, Completeness)> {
    let age_micros = facts.age_ms.checked_mul(1_000)?;
    let as_of = Timestamp(requested_at.as_micros().checked_sub(age_micros)?);
    let complete = Completeness { as_of, revision: Revision::new(facts.era, facts.revision) };
    let name = |index: u32| facts.names.get(index as usize).cloned();
    let mut records = Vec::new();
    if let Some(config) = &facts.config {
        let value = Some(RecordValue::Config(decode_config(config, name)?));
        let revision = Revision::default();
        records.push(Record { key: RecordKey::Config, revision, created: revision, value });
    }
    for zone in &facts.zones_out {
        records.push(Record {
            key: RecordKey::ZoneOut(name(zone.zone)?),
            revision: Revision::new(zone.era, zone.revision),
            created: Revision::new(zone.era, zone.revision),
            value: Some(RecordValue::ZoneOut),
        });
    }
    for member in &facts.members {
        let value = Member {
            addr: decode_addr(member.ip, member.port).filter(record::is_usable_addr)?,
            zone: name(member.zone)?,
            incarnation: member.incarnation,
            link_mbps: member.link_mbps,
        };
        records.push(Record {
            key: RecordKey::Member(member.name.clone()),
            revision: Revision::new(member.era, member.revision),
            created: Revision::new(member.era, member.revision),
            value: Some(RecordValue::Member(value)),
        });
    }
    for upstream in &facts.upstreams {
        let value = UpstreamSpec {
            id: UpstreamId(upstream.id),
            service: name(upstream.service)?,
            addr: decode_addr(upstream.ip, upstream.port).filter(record::is_usable_addr)?,
            zone: name(upstream.zone)?,
            slots: upstream.slots,
            leaving: upstream.leaving,
            cold_left: Duration::from_micros(upstream.cold_micros),
            started_ms: upstream.started_ms,
        };
        records.push(Record {
            key: RecordKey::Upstream(value.id),
            revision: Revision::new(upstream.era, upstream.revision),
            created: Revision::new(upstream.created_era, upstream.created),
            value: Some(RecordValue::Upstream(value)),
        });
    }
    let decode_route = |route: &v1::RouteHistory| {
        let addr = decode_addr(route.service_ip, route.service_port)?;
        Some((addr, route.services.clone()))
    };
    let moved_routes = facts.moved_routes.iter().map(decode_route).collect::<Option<Vec<_>>>()?;
    Some((Part { records, moved_routes, next: facts.next }, complete))
}

fn decode_config(config: &v1::FactsConfig, name: impl Fn(u32) -> Option<String>) -> Option<Config> {
    let mut routes = Vec::with_capacity(config.routes.len());
    for route in &config.routes {
        let mut targets = Vec::with_capacity(route.services.len());
        for (service, weight) in route.services.iter().zip(&route.weights) {
            targets.push((name(*service)?, *weight));
        }
        let addr = decode_addr(route.ip, route.port)?;
        routes.push(RouteSpec { addr, targets, repeatable: route.repeatable });
    }
    let mut services = Vec::with_capacity(config.services.len());
    for service in &config.services {
        services.push(ServiceSpec {
            name: name(service.name)?,
            cold: Duration::from_micros(service.cold_micros),
            cold_opens_per_s: service.cold_opens_per_s,
        });
    }
    Some(Config { version: config.version, routes, services })
}

fn decode_addr(ip: u32, port: u32) -> Option<SocketAddrV4> {
    let port = u16::try_from(port).ok().filter(|port| *port != 0)?;
    Some(SocketAddrV4::new(Ipv4Addr::from(ip), port))
}
