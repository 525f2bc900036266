//! The course of events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use directory::{ReaderCall, RecordKey, RecordValue};
use indexmap::IndexMap;
use stdx::time::Timestamp;
use steer::decision::Hop;
use steer::{FlowKey, Packet, Token, UpstreamId};
use tracing::Dispatch;

use super::entry::{BOUND, Entry};
use super::fault::Fault;
use super::stats::Stats;
use super::store::Store;
use super::upstream::Upstream;

mod clients;
mod entries;
mod following;
mod routers;
mod upstreams;

const ZONES: [&str; 3] = ["a", "b", "c"];
const SERVICES: [&str; 2] = ["orders", "menus"];
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// One way between a client and an entry or upstream.
const CLIENT_DELAY: Duration = Duration::from_millis(2);
/// One way between an entry and an upstream.
const INNER_DELAY: Duration = Duration::from_millis(1);
/// How late a slow upstream answers an opening: later than a second one that was tried instead,
/// sooner than that one's response.
const SLOW_ANSWER: Duration = Duration::from_millis(20);
/// Time of an answer of the store.
const STORE_DELAY: Duration = Duration::from_millis(4);
/// Time between looks of a waiting watch.
const WATCH_STEP: Duration = Duration::from_millis(50);
/// Time between probes of readiness.
const PROBE_EVERY: Duration = Duration::from_millis(500);
/// Time within which a request is to be answered.
const AIM: Duration = Duration::from_millis(100);
/// Time after which a client gives a request up.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Pause of some clients between opening a flow and sending the request.
const THINK: Duration = Duration::from_millis(25);
/// Time after which a request without a response is sent again.
const RESEND: Duration = Duration::from_millis(200);
/// Work of a request.
const WORK: Duration = Duration::from_millis(15);
/// Bytes of a response.
const RESPONSE_BYTES: u32 = 2_000;
/// Bytes of a response that turns a request away.
const REFUSAL_BYTES: u32 = 150;
/// Time between outcome_updates of failed answers among entries.
const NEWS_EVERY: Duration = Duration::from_millis(100);
/// Time that an upstream is cold after its start.
const COLD: Duration = Duration::from_secs(2);
/// Openings in any second that a cold upstream may get.
const COLD_LIMIT: usize = 5;
/// Time until a killed process runs again.
const RESTART: Duration = Duration::from_millis(600);
/// Time that a leaving entry goes on carrying.
const LINGER: Duration = Duration::from_millis(1_100);
/// Time after trouble from which the promises with a time hold again.
const STABLE: Duration = Duration::from_secs(4);
/// Time within which a zone out of service gets no more flows.
const ZONE_OUT_BOUND: Duration = Duration::from_secs(5);

/// The size of a world.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// Seed of all chance.
    pub seed: u64,
    /// Entries, spread over the zones.
    pub entries: usize,
    /// Upstreams of each service.
    pub upstreams: usize,
    /// Requests a second.
    pub per_s: u32,
    /// Share of packets that are lost, in thousandths.
    pub loss_milli: u32,
    /// Whether entries tell each other of failed answers.
    pub outcome_updates: bool,
}

/// Everything, and the time.
#[derive(Debug)]
pub struct Simulation {
    /// What was stats.
    pub stats: Stats,
    /// The entries.
    pub entries: Vec<Entry>,
    cfg: Config,
    now: Timestamp,
    rng: fastrand::Rng,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    count: u64,
    store: Store,
    upstreams: IndexMap<UpstreamId, Upstream>,
    rotation: Vec<u32>,
    cut_until: [Timestamp; ZONES.len()],
    zones_out: IndexMap<usize, Timestamp>,
    store_trouble_until: Timestamp,
    version: u64,
    route: usize,
    route_since: Timestamp,
    /// Whether the newest version has no route.
    dropped: bool,
    tries: IndexMap<FlowKey, Try>,
    next_port: u32,
    next_upstream: u64,
    closed: bool,
}

#[derive(Debug, Clone)]
struct Try {
    zone: usize,
    sent: Timestamp,
    attempt: u32,
    began: Timestamp,
    /// Whom the client takes the flow to be open at, and the number that it acknowledges.
    open: Option<(UpstreamId, u32)>,
    /// Upstreams that have answered the opening.
    answered: Vec<UpstreamId>,
    /// The last token that the client got.
    token: Token,
}

stdx::value! {
    enum Event {
        Request,
        Copy(FlowKey, u32),
        Send(FlowKey),
        GiveUp(FlowKey),
        AtEntry(usize, u32, Packet),
        AtUpstream(Hop, Packet, usize),
        Answered(FlowKey, UpstreamId, u32),
        Response(FlowKey, UpstreamId),
        TurnedAway(FlowKey, UpstreamId),
        ResetAt(FlowKey, Option<UpstreamId>),
        Timers(usize, u32),
        Follow(usize, u32),
        Loaded(usize, u32, bool),
        Watching(usize, u32, u64, Timestamp),
        Relaying(usize, u32, u64, ReaderCall),
        Probe,
        News,
        Ask(usize, u32),
        Start(usize),
        Stop(usize, u32),
        Leave(UpstreamId),
        Relist,
        ZoneBack(usize),
        RouteBack,
    }
}

impl Simulation {
    /// A world whose entries have just started.
    pub fn new(cfg: Config) -> Self {
        Self::with_logs(cfg, |_| Dispatch::none())
    }

    /// The same; `log` says where the lines of an entry go, by its name.
    pub fn with_logs(cfg: Config, log: impl Fn(&str) -> Dispatch) -> Self {
        let now = Timestamp::from_secs(1_000);
        let mut sim = Self {
            stats: Stats::default(),
            entries: Vec::new(),
            cfg,
            now,
            rng: fastrand::Rng::with_seed(cfg.seed),
            events: BinaryHeap::new(),
            count: 0,
            store: Store::default(),
            upstreams: IndexMap::new(),
            rotation: vec![0; cfg.entries],
            cut_until: [Timestamp::default(); ZONES.len()],
            zones_out: IndexMap::new(),
            store_trouble_until: Timestamp::default(),
            version: 0,
            route: 0,
            route_since: now,
            dropped: false,
            tries: IndexMap::new(),
            next_port: 0,
            next_upstream: 0x10_0000,
            closed: false,
        };
        sim.put_config();
        for number in 0..cfg.upstreams * 2 {
            sim.add_upstream(number % ZONES.len(), SERVICES[number / cfg.upstreams], false);
        }
        for place in 0..cfg.entries {
            let (name, zone) = (format!("entry-{place}"), place % ZONES.len());
            let log = log(&name);
            sim.entries.push(Entry::start(now, &name, zone, 0, log));
            sim.started(place);
        }
        sim.at(Duration::from_millis(500), Event::Probe);
        if cfg.outcome_updates {
            sim.at(NEWS_EVERY, Event::News);
        }
        sim.at(Duration::from_secs(1), Event::Request);
        sim
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, _, event))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            self.on_event(event);
        }
        self.now = end;
    }

    /// Lets clients finish what they have begun; no new request comes.
    pub fn finish(&mut self) {
        self.closed = true;
        self.run_for(DEADLINE * 2);
    }

    /// Causes a fault or a planned change.
    pub fn inject(&mut self, fault: Fault) {
        let place = self.rng.usize(..self.entries.len());
        let zone = self.rng.usize(..ZONES.len());
        match fault {
            Fault::UpstreamCrashes => {
                let id = self.any_upstream();
                self.upstreams[&id].alive = false;
                self.store.put(RecordKey::Upstream(id), None);
            }
            Fault::UpstreamsSlow(time) => {
                let until = self.now + time;
                let slow = self.upstreams.values_mut().step_by(2);
                slow.for_each(|upstream| upstream.slow_until = until);
            }
            Fault::UpstreamHangs(time) => {
                let id = self.any_upstream();
                self.upstreams[&id].hangs_until = self.now + time;
            }
            Fault::UpstreamShedsLoad(time) => {
                let id = self.any_upstream();
                self.upstreams[&id].sheds_until = self.now + time;
            }
            Fault::AllUpstreamsCrash => {
                self.upstreams.values_mut().for_each(|upstream| upstream.alive = false);
            }
            Fault::UpstreamStopsBeforeDrained => {
                let id = self.any_upstream();
                self.upstreams[&id].leaving_since = Some(self.now);
                self.register(id);
                self.at(Duration::from_millis(100), Event::Leave(id));
            }
            Fault::AllZonesOut(time) => {
                for (zone, name) in ZONES.iter().enumerate() {
                    self.store
                        .put(RecordKey::ZoneOut((*name).to_owned()), Some(RecordValue::ZoneOut));
                    self.zones_out.insert(zone, self.now);
                    self.at(time, Event::ZoneBack(zone));
                }
            }
            Fault::RouteRemoved(time) => {
                self.dropped = true;
                self.put_config();
                self.at(time, Event::RouteBack);
            }
            Fault::UpstreamReplaced => self.replace_upstream(),
            Fault::ZonePartitioned(time) => {
                self.cut_until[zone] = self.now + time;
                self.disturb(|entry| entry.zone == zone, time);
            }
            Fault::ZoneOut(time) => {
                self.store
                    .put(RecordKey::ZoneOut(ZONES[zone].to_owned()), Some(RecordValue::ZoneOut));
                self.zones_out.insert(zone, self.now);
                self.at(time, Event::ZoneBack(zone));
            }
            Fault::EntryKilled => self.kill(place),
            Fault::AllEntriesKilled => (0..self.entries.len()).for_each(|place| self.kill(place)),
            Fault::RollingRestart => {
                for place in 0..self.entries.len() {
                    let life = self.entries[place].life;
                    self.at(Duration::from_millis(1_900) * place as u32, Event::Stop(place, life));
                }
            }
            Fault::EntryPaused(time) => {
                self.entries[place].frozen_until = self.now + time;
                self.disturb(|entry| entry.name == format!("entry-{place}"), time);
            }
            Fault::StoreUnavailable(time) => {
                self.store.away = true;
                self.store_trouble_until = self.now + time + STABLE + BOUND;
                self.store.lapse();
                self.disturb(|_| true, time);
                self.at(time, Event::Relist);
            }
            Fault::StoreRefusesEntry(time) => {
                self.entries[place].refused_until = self.now + time;
                self.disturb(|entry| entry.name == format!("entry-{place}"), time);
            }
            Fault::HistoryCompacted => self.store.forget(),
            Fault::RouteMoved => {
                self.route = 1 - self.route;
                self.route_since = self.now;
                self.put_config();
            }
        }
    }

    fn at(&mut self, wait: Duration, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + wait, self.count, event)));
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Request => self.on_request(),
            Event::Copy(flow, copy) => self.on_copy(&flow, copy),
            Event::Send(flow) => self.on_send(&flow),
            Event::GiveUp(flow) => self.on_give_up(&flow),
            Event::AtEntry(place, life, packet) => self.on_entry(place, life, packet),
            Event::AtUpstream(hop, packet, place) => self.on_upstream(hop, &packet, place),
            Event::Answered(flow, id, seq) => self.on_answered(&flow, id, seq),
            Event::Response(flow, id) => self.on_response(&flow, id),
            Event::ResetAt(flow, from) => self.on_reset(&flow, from),
            Event::Timers(place, life) => self.on_timers(place, life),
            Event::Follow(place, life) => self.on_follow(place, life),
            Event::Loaded(place, life, refused) => self.on_loaded(place, life, refused),
            Event::Watching(place, life, after, end) => self.on_watching(place, life, after, end),
            Event::TurnedAway(flow, id) => self.on_turned_away(&flow, id),
            Event::News => self.on_news(),
            Event::Relaying(place, life, after, reading) => {
                self.on_relaying(place, life, after, reading);
            }
            Event::Probe => self.on_probe(),
            Event::Ask(place, life) => self.on_ask(place, life),
            Event::Start(place) => self.on_start(place),
            Event::Stop(place, life) => self.on_stop(place, life),
            Event::Leave(id) => self.on_leave(id),
            Event::Relist => self.relist(),
            Event::ZoneBack(zone) => self.on_zone_back(zone),
            Event::RouteBack => {
                self.dropped = false;
                self.put_config();
            }
        }
    }
}

fn opening(flow: FlowKey, copy: u32) -> Packet {
    Packet {
        flow,
        token: Token(0),
        seq: 1,
        ack: copy,
        syn: true,
        has_ack: false,
        fin: false,
        rst: false,
        data_len: 0,
    }
}

fn later(flow: FlowKey, token: Token, ack: u32) -> Packet {
    Packet { token, ack, seq: 2, syn: false, has_ack: true, ..opening(flow, 0) }
}

/// The address of an entry for questions; its port is its place.
fn member_addr(place: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, place as u16)
}
