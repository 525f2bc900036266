//! State, configuration and event queue of the simulation.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use directory::{ReaderCall, RecordKey, RecordValue, Revision};
use indexmap::IndexMap;
use stdx::time::Timestamp;
use steer::decision::Hop;
use steer::{FlowKey, Packet, Pin, Token, UpstreamId};
use tracing::Dispatch;

use super::class::{ClassRate, RequestClass};
use super::entry::{APPLY_BOUND, Entry};
use super::fault::Fault;
use super::stats::Stats;
use super::store::Store;
use super::upstream::Upstream;

mod clients;
mod entries;
mod giving;
mod routers;
mod store_sync;
mod upstreams;

const ZONES: [&str; 3] = ["a", "b", "c"];
const SERVICES: [&str; 2] = ["orders", "menus"];
const ROUTE_ADDR: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// One-way delay between a client and an entry or upstream.
const CLIENT_DELAY: Duration = Duration::from_millis(2);
/// One-way delay between an entry and an upstream.
const INTERNAL_DELAY: Duration = Duration::from_millis(1);
/// Delay of a slow upstream's answer to an opening: longer than the upstream of a hedged opening
/// takes to answer, shorter than it takes to respond to the request.
const SLOW_ANSWER_DELAY: Duration = Duration::from_millis(20);
/// Time from a call to the store or a reader until its first result.
const STORE_RESPONSE_DELAY: Duration = Duration::from_millis(4);
/// Timeout of a connection attempt to a store that is away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which a pending watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the routers' readiness probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which every client has abandoned its request.
const MAX_REQUEST_DEADLINE: Duration = Duration::from_secs(3);
/// Pause that half of the clients make between opening a flow and sending the request.
const THINK_TIME: Duration = Duration::from_millis(25);
/// Pauses between the requests of a long flow, at most.
const MAX_PAUSE: Duration = Duration::from_secs(6);
/// Time after which a request without a response is first retransmitted; doubles each time.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of doublings of that interval.
const MAX_RETRANSMIT_DOUBLINGS: u32 = 3;
/// Number of times that an upstream repeats an answer to an opening.
const MAX_OPENING_ANSWER_COPIES: u32 = 8;
/// Size of a request.
const REQUEST_BYTES: u32 = 900;
/// Time after which the record of an upstream that ended without a word expires.
const RECORD_EXPIRY: Duration = Duration::from_millis(3_600);
/// Time from the store's return from an older copy until the operator and the upstreams have written
/// again what it has lost.
const REWRITE_DELAY: Duration = Duration::from_millis(1_500);
/// Time after which the address of an ended upstream may be taken by another.
const ADDRESS_REUSE_TIME: Duration = Duration::from_secs(2);
/// Size of a response.
const RESPONSE_BYTES: u32 = 2_000;
/// Size of a response that sheds a request.
const SHED_RESPONSE_BYTES: u32 = 150;
/// Interval at which entries send each other updates on failed answers.
const OUTCOME_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which entries ask for news of load that are due.
const LOAD_NEWS_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which an upstream is cold after its start.
const COLD_TIME: Duration = Duration::from_secs(2);
/// Maximum number of openings that a cold upstream may get in any second.
const MAX_COLD_OPENINGS_PER_S: usize = 5;
/// Minimum time until a killed process is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Time for which a leaving entry keeps forwarding before it stops.
const ENTRY_DRAIN_TIME: Duration = Duration::from_millis(1_100);
/// Time after a fault from which guarantees with a time bound are checked again.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Maximum time until a zone out of service gets no more flows.
const ZONE_OUT_BOUND: Duration = Duration::from_secs(5);

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
#[expect(clippy::struct_excessive_bools, reason = "independent parameters")]
pub struct Config {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of entries, spread over the zones.
    pub entries: usize,
    /// Number of upstreams of each service.
    pub upstreams: usize,
    /// Mean number of requests per second.
    pub per_s: u32,
    /// Packet loss in thousandths.
    pub loss_milli: u32,
    /// Whether entries send each other updates on failed answers.
    pub outcome_updates: bool,
    /// Requests that clients send on each flow, with pauses between them.
    pub requests_per_flow: u32,
    /// Whether clients open flows ahead of their first requests.
    pub opens_ahead: bool,
    /// Whether the configuration says that requests may be repeated.
    pub repeatable: bool,
    /// Classes of requests, with a route each.
    pub classes: &'static [RequestClass],
    /// Times that a request takes at the upstreams, by turns, relative to its class, in thousandths.
    pub slowness_milli: &'static [u32],
    /// Maximum deviation of a request's time, either way, in percent.
    pub run_time_spread_percent: u32,
    /// Time in the queue after which an upstream sheds a request with a short answer, as it does
    /// when the queue is full. `None`: it resets what a full queue does not take.
    pub max_queue_time: Option<Duration>,
    /// Whether entries place flows by expected completion.
    pub placement: bool,
    /// Time that entries' news of load take; `None`: they exchange none.
    pub load_news_delay: Option<Duration>,
}

impl Config {
    /// Nine upstreams of each service, one repeatable request on each flow, no loss.
    pub const fn new(seed: u64, per_s: u32) -> Self {
        Self {
            seed,
            entries: 4,
            upstreams: 9,
            per_s,
            loss_milli: 0,
            outcome_updates: true,
            requests_per_flow: 1,
            opens_ahead: false,
            repeatable: true,
            classes: &[RequestClass::DEFAULT],
            slowness_milli: &[1_000],
            run_time_spread_percent: 0,
            max_queue_time: None,
            placement: true,
            load_news_delay: None,
        }
    }
}

/// A simulation of a store, routers, entries, upstreams and clients.
#[derive(Debug)]
pub struct Simulation {
    /// Outcomes observed so far.
    pub stats: Stats,
    /// The entries.
    pub entries: Vec<Entry>,
    cfg: Config,
    now: Timestamp,
    rng: fastrand::Rng,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    event_count: u64,
    store: Store,
    /// Copies from which the store will come back.
    store_copies: VecDeque<Store>,
    /// When the store last stepped back, when what it lost is written again, and when what it had lost
    /// in the step before was.
    stepped_at: Timestamp,
    rewritten_at: Timestamp,
    told_at: Timestamp,
    upstreams: IndexMap<UpstreamId, Upstream>,
    failed_probes: Vec<u32>,
    partitioned_until: [Timestamp; ZONES.len()],
    zones_out: IndexMap<usize, Timestamp>,
    all_checks_suspended_until: Timestamp,
    config_version: u64,
    route_target: usize,
    route_changed_at: Timestamp,
    /// Whether the current configuration has no route.
    route_removed: bool,
    attempts: IndexMap<FlowKey, Attempt>,
    /// Present rate of each class.
    rates: Vec<ClassRate>,
    /// News of load under way.
    load_news: IndexMap<u64, load::News>,
    next_load_news: u64,
    next_port: u32,
    next_upstream: u64,
    finishing: bool,
}

#[derive(Debug, Clone)]
struct Attempt {
    class: usize,
    zone: usize,
    sent: Timestamp,
    number: u32,
    started: Timestamp,
    /// The upstream whose answer opened the flow, and the acknowledgement number for it.
    open: Option<(UpstreamId, u32)>,
    /// Upstreams that answered the opening; more than one if it was hedged or retransmitted.
    answered_by: Vec<UpstreamId>,
    /// Upstreams that the opening was sent to; more than one if it was hedged or retransmitted.
    offered_to: Vec<UpstreamId>,
    /// The token of the last packet from any upstream.
    token: Token,
    /// Number of the current request on the flow.
    request: u32,
    /// Whether the client waits for an answer; not in the pauses of a long flow.
    waiting: bool,
}

stdx::value! {
    /// A scheduled event. `usize, u32` are the index and generation of an entry.
    enum Event {
        /// A class has a new request.
        NewRequest(usize),
        /// The rate of a class is the usual one again.
        BurstEnds(usize),
        RetransmitOpening(FlowKey, u32),
        /// Sends a request, given by its number on the flow and the number of copies before.
        SendRequest(FlowKey, u32, u32),
        NextRequest(FlowKey),
        RecordExpires(UpstreamId),
        AddressReused(UpstreamId),
        OpeningTimeout(FlowKey),
        PacketAtEntry(usize, u32, Packet),
        PinAtEntry(usize, u32, Pin),
        AnsweredAtEntry(usize, u32, FlowKey),
        PacketAtUpstream(Hop, Packet, usize),
        /// Answers an opening, after the given number of copies.
        AnswerOpening(FlowKey, UpstreamId, u32),
        OpeningAnswered(FlowKey, UpstreamId, u32, Token),
        Response(FlowKey, UpstreamId, Token),
        ShedResponse(FlowKey, UpstreamId),
        ResetAtClient(FlowKey, Option<UpstreamId>),
        EngineTimers(usize, u32),
        EntryResumed(usize, u32),
        SyncStore(usize, u32),
        StoreLoaded(usize, u32, bool),
        PollWatch(usize, u32, Revision, Timestamp),
        PollReader(usize, u32, Revision, ReaderCall),
        ProbeReadiness,
        ExchangeUpdates,
        ExchangeLoad,
        /// News of load of an entry, given by their index, arrive.
        LoadNews(usize, u64),
        PingZones(usize, u32),
        OfferFacts(usize, u32),
        TakeFacts(usize, u32),
        StartEntry(usize),
        StopEntry(usize, u32),
        StopUpstream(UpstreamId),
        StoreBack,
        StoreRestored,
        LostWordsWritten,
        ZoneBack(usize),
        RouteBack,
    }
}

impl Simulation {
    /// Starts all entries.
    pub fn new(cfg: Config) -> Self {
        Self::with_logs(cfg, |_| Dispatch::none())
    }

    /// Starts all entries. `log` returns the destination of an entry's log lines by its name.
    pub fn with_logs(cfg: Config, log: impl Fn(&str) -> Dispatch) -> Self {
        let now = Timestamp::from_secs(1_000);
        let mut sim = Self {
            stats: Stats::new(cfg.classes.len()),
            entries: Vec::new(),
            cfg,
            now,
            rng: fastrand::Rng::with_seed(cfg.seed),
            events: BinaryHeap::new(),
            event_count: 0,
            store: Store::default(),
            store_copies: VecDeque::new(),
            stepped_at: Timestamp::default(),
            rewritten_at: Timestamp::default(),
            told_at: Timestamp::default(),
            upstreams: IndexMap::new(),
            failed_probes: vec![0; cfg.entries],
            partitioned_until: [Timestamp::default(); ZONES.len()],
            zones_out: IndexMap::new(),
            all_checks_suspended_until: Timestamp::default(),
            config_version: 0,
            route_target: 0,
            route_changed_at: now,
            route_removed: false,
            attempts: IndexMap::new(),
            rates: rates(&cfg),
            load_news: IndexMap::new(),
            next_load_news: 0,
            next_port: 0,
            next_upstream: 0x10_0000,
            finishing: false,
        };
        sim.put_config();
        for number in 0..cfg.upstreams * 2 {
            sim.add_upstream(number % ZONES.len(), SERVICES[number / cfg.upstreams], false);
        }
        for index in 0..cfg.entries {
            let (name, zone) = (format!("entry-{index}"), index % ZONES.len());
            let log = log(&name);
            sim.entries.push(Entry::start(now, &name, zone, 0, log, cfg.placement));
            sim.on_entry_started(index);
        }
        sim.schedule(Duration::from_millis(500), Event::ProbeReadiness);
        if cfg.outcome_updates {
            sim.schedule(OUTCOME_UPDATE_INTERVAL, Event::ExchangeUpdates);
        }
        if cfg.load_news_delay.is_some() {
            sim.schedule(LOAD_NEWS_INTERVAL, Event::ExchangeLoad);
        }
        for class in 0..cfg.classes.len() {
            sim.schedule(Duration::from_secs(1), Event::NewRequest(class));
        }
        sim
    }

    /// Advances the simulation by `time`.
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

    /// Stops new requests, and runs until those in flight are completed or abandoned.
    pub fn finish(&mut self) {
        self.finishing = true;
        self.run_for(MAX_REQUEST_DEADLINE);
    }

    /// Injects a fault or a planned change, at a random entry, zone or upstream.
    pub fn inject(&mut self, fault: Fault) {
        let index = self.rng.usize(..self.entries.len());
        let zone = self.rng.usize(..ZONES.len());
        match fault {
            Fault::UpstreamCrashes => {
                let id = self.random_upstream();
                self.upstreams[&id].alive = false;
                self.store.put(RecordKey::Upstream(id), None);
            }
            Fault::UpstreamGoesDark => {
                let id = self.random_upstream();
                self.go_dark(id);
            }
            Fault::QuarterGoesDark => self.quarter_goes_dark(),
            Fault::UpstreamsSlow(time) => {
                let until = self.now + time;
                let slow = self.upstreams.values_mut().step_by(2);
                slow.for_each(|upstream| upstream.slow_until = until);
            }
            Fault::UpstreamHangs(time) => {
                let id = self.random_upstream();
                self.upstreams[&id].hung_until = self.now + time;
            }
            Fault::UpstreamShedsLoad(time) => {
                let id = self.random_upstream();
                self.upstreams[&id].shedding_until = self.now + time;
            }
            Fault::AllUpstreamsCrash => {
                self.upstreams.values_mut().for_each(|upstream| upstream.alive = false);
            }
            Fault::UpstreamStopsBeforeDrained => {
                let id = self.random_upstream();
                self.upstreams[&id].leaving_since = Some(self.now);
                self.register(id);
                self.schedule(Duration::from_millis(100), Event::StopUpstream(id));
            }
            Fault::AllZonesOut(time) => {
                for (zone, name) in ZONES.iter().enumerate() {
                    self.store
                        .put(RecordKey::ZoneOut((*name).to_owned()), Some(RecordValue::ZoneOut));
                    self.zones_out.insert(zone, self.now);
                    self.schedule(time, Event::ZoneBack(zone));
                }
            }
            Fault::RouteRemoved(time) => {
                self.route_removed = true;
                self.put_config();
                self.schedule(time, Event::RouteBack);
            }
            Fault::UpstreamReplaced => self.replace_upstream(),
            Fault::ZonePartitioned(time) => {
                self.partitioned_until[zone] = self.now + time;
                self.suspend_checks(|entry| entry.zone == zone, time);
            }
            Fault::ZoneOut(time) => {
                self.store
                    .put(RecordKey::ZoneOut(ZONES[zone].to_owned()), Some(RecordValue::ZoneOut));
                self.zones_out.insert(zone, self.now);
                self.schedule(time, Event::ZoneBack(zone));
            }
            Fault::EntryKilled => self.kill(index),
            Fault::HalfOfEntriesKilled => {
                (0..self.entries.len()).step_by(2).for_each(|index| self.kill(index));
            }
            Fault::AllEntriesKilled => (0..self.entries.len()).for_each(|index| self.kill(index)),
            Fault::RollingRestart => {
                for index in 0..self.entries.len() {
                    let generation = self.entries[index].generation;
                    self.schedule(
                        Duration::from_millis(1_900) * index as u32,
                        Event::StopEntry(index, generation),
                    );
                }
            }
            Fault::EntryPaused(time) => {
                self.entries[index].pause(self.now, time);
                let generation = self.entries[index].generation;
                self.schedule(time, Event::EntryResumed(index, generation));
                self.suspend_checks(|entry| entry.name == format!("entry-{index}"), time);
            }
            Fault::StoreUnavailable(time) => {
                self.store.unavailable = true;
                self.all_checks_suspended_until = self.now + time + RECOVERY_TIME + APPLY_BOUND;
                self.store.expire_upstream_leases();
                self.suspend_checks(|_| true, time);
                self.schedule(time, Event::StoreBack);
            }
            Fault::StoreRefusesEntry(time) => {
                self.entries[index].store_refused_until = self.now + time;
                self.suspend_checks(|entry| entry.name == format!("entry-{index}"), time);
            }
            Fault::StoreStepsBack(age) => self.copy_store(age),
            Fault::HistoryCompacted => self.store.compact(),
            Fault::Burst(class, factor_milli, time) => self.burst(class, factor_milli, time),
            Fault::RouteMoved => {
                self.route_target = 1 - self.route_target;
                self.route_changed_at = self.now;
                self.put_config();
            }
        }
    }

    /// Changes the rate of a class, or of all, for a time.
    fn burst(&mut self, class: Option<usize>, factor_milli: u32, time: Duration) {
        let first = class.unwrap_or(0);
        let last = class.unwrap_or(self.rates.len() - 1);
        for class in first..=last {
            self.rates[class].factor_milli = factor_milli;
            self.schedule(time, Event::BurstEnds(class));
        }
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + wait, self.event_count, event)));
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::NewRequest(class) => self.on_new_request(class),
            Event::BurstEnds(class) => self.rates[class].factor_milli = 1_000,
            Event::RetransmitOpening(flow, copy) => self.on_retransmit_opening(&flow, copy),
            Event::SendRequest(flow, request, copies) => {
                self.on_send_request(&flow, request, copies);
            }
            Event::NextRequest(flow) => self.on_next_request(&flow),
            Event::RecordExpires(id) => self.on_record_expires(id),
            Event::AddressReused(id) => self.on_address_reused(id),
            Event::OpeningTimeout(flow) => self.on_opening_timeout(&flow),
            Event::PacketAtEntry(index, generation, packet) => {
                self.on_packet_at_entry(index, generation, packet);
            }
            Event::PinAtEntry(index, generation, pin) => {
                self.on_pin_at_entry(index, generation, pin);
            }
            Event::AnsweredAtEntry(index, generation, flow) => {
                self.on_answered_at_entry(index, generation, flow);
            }
            Event::PacketAtUpstream(hop, packet, index) => {
                self.on_packet_at_upstream(hop, &packet, index);
            }
            Event::AnswerOpening(flow, id, copies) => self.on_answer_opening(&flow, id, copies),
            Event::OpeningAnswered(flow, id, seq, token) => {
                self.on_opening_answered(&flow, id, seq, token);
            }
            Event::Response(flow, id, token) => self.on_response(&flow, id, token),
            Event::ResetAtClient(flow, from) => self.on_reset(&flow, from),
            Event::EngineTimers(index, generation) => self.on_engine_timers(index, generation),
            Event::EntryResumed(index, generation) => self.on_entry_resumed(index, generation),
            Event::SyncStore(index, generation) => self.on_sync_store(index, generation),
            Event::StoreLoaded(index, generation, refused) => {
                self.on_store_loaded(index, generation, refused);
            }
            Event::PollWatch(index, generation, after, end) => {
                self.on_poll_watch(index, generation, after, end);
            }
            Event::ShedResponse(flow, id) => self.on_shed_response(&flow, id),
            Event::OfferFacts(index, generation) => self.on_offer_facts(index, generation),
            Event::TakeFacts(index, generation) => self.on_take_facts(index, generation),
            Event::ExchangeUpdates => self.on_exchange_updates(),
            Event::ExchangeLoad => self.on_exchange_load(),
            Event::LoadNews(from, number) => self.on_load_news(from, number),
            Event::PollReader(index, generation, after, call) => {
                self.on_poll_reader(index, generation, after, call);
            }
            Event::ProbeReadiness => self.on_probe_readiness(),
            Event::PingZones(index, generation) => self.on_ping_zones(index, generation),
            Event::StartEntry(index) => self.on_start_entry(index),
            Event::StopEntry(index, generation) => self.on_stop_entry(index, generation),
            Event::StopUpstream(id) => self.on_stop_upstream(id),
            Event::StoreBack => self.on_store_back(),
            Event::StoreRestored => self.on_store_restored(),
            Event::LostWordsWritten => self.on_lost_words_written(),
            Event::ZoneBack(zone) => self.on_zone_back(zone),
            Event::RouteBack => {
                self.route_removed = false;
                self.put_config();
            }
        }
    }
}

fn rates(cfg: &Config) -> Vec<ClassRate> {
    let total_weight = cfg.classes.iter().map(|class| class.weight).sum();
    cfg.classes.iter().map(|class| ClassRate::new(class, cfg.per_s, total_weight)).collect()
}

fn opening_packet(flow: FlowKey, copy: u32) -> Packet {
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

/// A client's packet after `requests` requests.
fn data_packet(flow: FlowKey, token: Token, requests: u32, ack: u32) -> Packet {
    let seq = REQUEST_BYTES * requests + 2;
    Packet { token, ack, seq, syn: false, has_ack: true, ..opening_packet(flow, 0) }
}

/// The address of a class's route.
const fn route_addr(class: usize) -> SocketAddrV4 {
    SocketAddrV4::new(*ROUTE_ADDR.ip(), ROUTE_ADDR.port() + class as u16)
}

/// The address of an entry for pings and reader calls; the port is its index.
fn member_addr(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, index as u16)
}
