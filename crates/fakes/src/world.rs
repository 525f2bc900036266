//! The world: all fakes, the links between them and the order of events.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use balance::Limits;
use flow::key::HashKey;
use flow::service::{Address, Stage};
use flow::{Action, Counters, Id, Key, Message, Origin, Service, Services, Settings, Target};
use indexmap::IndexMap;
use membership::Heartbeat;
use packet::{Protocol, View};
use stdx::time::Timestamp;

use crate::caller::{Caller, Phase, Plan};
use crate::entry::{Entry, Life};
use crate::faults::Links;
use crate::seen::Seen;
use crate::upstream::{Behaviour, Upstream};

/// One-way delays.
const CALLER_DELAY: Duration = Duration::from_millis(3);
const INNER_DELAY: Duration = Duration::from_micros(500);

/// Times between an entry's own activities.
const ENGINE_TICK: Duration = Duration::from_millis(5);
const VIEW_TICK: Duration = Duration::from_millis(50);
const HEARTBEAT_EVERY: Duration = Duration::from_millis(250);

/// Time between the fabric's health checks.
const HEALTH_EVERY: Duration = Duration::from_millis(100);

/// Time that a leaving entry goes on serving.
pub const LINGER: Duration = Duration::from_millis(1_200);

/// Time that a restarted entry is away.
pub const AWAY: Duration = Duration::from_millis(500);

/// Time until a started entry has its services.
const SERVICES_AFTER_START: Duration = Duration::from_millis(100);

/// Source ports of an entry towards upstreams.
const SOURCE_PORTS: u8 = 8;

/// The port of the callers' flows.
const CALLER_PORT: u16 = 10_000;

/// The size of a world.
#[derive(Debug, Clone)]
pub struct Config {
    /// Seed of all chance.
    pub seed: u64,
    /// Zones of the entries.
    pub entry_zones: Vec<u8>,
    /// Upstreams of the service.
    pub upstreams: u8,
    /// Limits of each upstream.
    pub limits: Limits,
    /// Slots of each upstream.
    pub slots: usize,
    /// Time that a request runs.
    pub run_time: Duration,
    /// Most flows that an entry is the home of.
    pub max_flows: usize,
    /// Most flows that an entry learns.
    pub max_learned: usize,
    /// Probe packets a second of an entry.
    pub probes_per_s: u32,
}

impl Default for Config {
    fn default() -> Self {
        let limits = Limits {
            flows: 100_000,
            cold_flows: 100_000,
            cold_opens_per_s: 1_000_000,
            ramp: Duration::from_secs(1),
        };
        Self {
            seed: 1,
            entry_zones: vec![0, 0, 1, 2],
            upstreams: 14,
            limits,
            slots: 2,
            run_time: Duration::from_micros(200),
            max_flows: 200_000,
            max_learned: 200_000,
            probes_per_s: 50_000,
        }
    }
}

enum Event {
    Packet { entry: usize, lives: u32, origin: Origin, bytes: Box<[u8]> },
    Message { entry: usize, from: Id, message: Message },
    Heartbeat { entry: usize, heartbeat: Heartbeat },
    ToUpstream { ip: Ipv4Addr, bytes: Box<[u8]> },
    ToCaller { bytes: Box<[u8]> },
    EngineTick { entry: usize, lives: u32 },
    ViewTick { entry: usize, lives: u32 },
    SendHeartbeats { entry: usize, lives: u32 },
    Services { entry: usize, lives: u32, services: Services },
    Stop { entry: usize, lives: u32 },
    Start { entry: usize },
    Health,
    Caller { index: usize },
    Connection { ip: Ipv4Addr, key: Key },
    Jobs { ip: Ipv4Addr },
}

/// Everything.
pub struct World {
    /// The present time.
    pub now: Timestamp,
    /// Faults of links.
    pub links: Links,
    /// What has been seen.
    pub seen: Seen,
    /// All entries.
    pub entries: Vec<Entry>,
    /// All upstreams.
    pub upstreams: IndexMap<Ipv4Addr, Upstream>,
    /// All callers.
    pub callers: Vec<Caller>,
    /// The service in force, as operators decided last.
    pub service: Service,
    /// A caller whose packets are printed wherever an entry sends them.
    pub traced: Option<Ipv4Addr>,
    cfg: Config,
    rng: fastrand::Rng,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    healthy: Vec<usize>,
    caller_wake: IndexMap<usize, Timestamp>,
    gone_counters: Vec<Counters>,
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("World").field("now", &self.now).finish_non_exhaustive()
    }
}

impl World {
    /// A world that has settled: all entries are up and know each other.
    pub fn new(cfg: Config) -> Self {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 10, 0, 1), 4000);
        let behaviour =
            Behaviour { up: true, refuses: false, slots: cfg.slots, run_time: cfg.run_time };
        let upstreams: IndexMap<_, _> = (0..cfg.upstreams)
            .map(|n| (n % 3, Ipv4Addr::new(127, 2, n % 3, n + 1)))
            .map(|(zone, ip)| (ip, Upstream::new(ip, zone, address, behaviour)))
            .collect();
        let active = flow::service::Upstream { stage: Stage::Active, weight: 1 };
        let service = Service {
            name: "order-desk".to_owned(),
            address: Address { protocol: Protocol::Tcp, socket: address },
            upstreams: upstreams.keys().map(|ip| (*ip, active.clone())).collect(),
            limits: cfg.limits,
            repeatable: false,
            idle: Duration::from_hours(2),
            opening: Duration::from_millis(300),
        };
        let mut world = Self {
            now: Timestamp::from_secs(1_000),
            links: Links::default(),
            seen: Seen::default(),
            entries: Vec::new(),
            upstreams,
            callers: Vec::new(),
            service,
            traced: None,
            rng: fastrand::Rng::with_seed(cfg.seed),
            cfg,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            healthy: Vec::new(),
            caller_wake: IndexMap::new(),
            gone_counters: Vec::new(),
        };
        for index in 0..world.cfg.entry_zones.len() {
            let entry = world.new_entry(index);
            world.entries.push(entry);
            world.schedule_entry(index);
        }
        world.push(world.now, Event::Health);
        world.run_for(Duration::from_secs(5));
        world
    }

    /// Adds callers of the service.
    pub fn add_callers(&mut self, plans: impl IntoIterator<Item = Plan>) {
        for plan in plans {
            let index = self.callers.len();
            let ip = caller_ip(index);
            let caller = Caller::new(ip, CALLER_PORT, self.service.address.socket, plan);
            self.callers.push(caller);
            self.wake_caller(index, plan.start.max(self.now));
        }
    }

    /// Runs for a time.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until: Timestamp) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.now = until;
    }

    /// Brings the service as it stands into force at every entry, at different times.
    pub fn decide(&mut self, slowest: Duration) {
        for entry in 0..self.entries.len() {
            let at = self.now + slowest.mul_f64(self.rng.f64());
            let services = self.services();
            let lives = self.entries[entry].lives;
            self.push(at, Event::Services { entry, lives, services });
        }
    }

    /// Adds an upstream in a zone; it takes flows once the service is decided again.
    pub fn add_upstream(&mut self, zone: u8) -> Ipv4Addr {
        let ip = Ipv4Addr::new(127, 2, zone, self.upstreams.len() as u8 + 1);
        let behaviour = Behaviour {
            up: true,
            refuses: false,
            slots: self.cfg.slots,
            run_time: self.cfg.run_time,
        };
        let mut upstream = Upstream::new(ip, zone, self.service.address.socket, behaviour);
        upstream.cold_since = Some(self.now);
        self.upstreams.insert(ip, upstream);
        let active = flow::service::Upstream { stage: Stage::Active, weight: 1 };
        self.service.upstreams.insert(ip, active);
        ip
    }

    /// Sets what may be sent to the upstreams of a zone; those that come back are cold.
    pub fn set_zone(&mut self, zone: u8, stage: Stage) {
        for upstream in self.upstreams.values_mut().filter(|u| u.zone == zone) {
            upstream.cold_since = Some(self.now);
            if let Some(configured) = self.service.upstreams.get_mut(&upstream.ip) {
                configured.stage = stage;
            }
        }
    }

    /// Kills an entry.
    pub fn kill(&mut self, entry: usize) {
        self.entries[entry].life = Life::Gone;
    }

    /// Stops an entry as planned and starts it again.
    pub fn restart(&mut self, entry: usize) {
        self.leave(entry);
        self.push(self.now + LINGER + AWAY, Event::Start { entry });
    }

    /// Stops an entry as planned.
    pub fn leave(&mut self, entry: usize) {
        self.entries[entry].leave(self.now);
        let lives = self.entries[entry].lives;
        self.push(self.now, Event::SendHeartbeats { entry, lives });
        self.push(self.now + LINGER, Event::Stop { entry, lives });
    }

    /// Starts an entry that is gone.
    pub fn start(&mut self, entry: usize) {
        self.push(self.now, Event::Start { entry });
    }

    /// Freezes an entry for a time.
    pub fn freeze(&mut self, entry: usize, time: Duration) {
        self.entries[entry].frozen_until = self.now + time;
    }

    /// Sum of a counter over all entries, also those that are gone.
    pub fn count(&self, count: flow::Count) -> u64 {
        let live = self.entries.iter().map(|entry| entry.engine.counters().get(count));
        let gone = self.gone_counters.iter().map(|counters| counters.get(count));
        live.chain(gone).sum()
    }

    /// Flows that are open now.
    pub fn open_flows(&self) -> usize {
        self.callers.iter().filter(|caller| caller.is_open()).count()
    }

    /// The largest table of any entry.
    pub fn largest_table(&self) -> usize {
        let sizes = |entry: &Entry| entry.engine.flow_count().max(entry.engine.learned_count());
        self.entries.iter().map(sizes).max().unwrap_or_default()
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Packet { entry, lives, origin, bytes } => {
                self.on_packet(entry, lives, origin, bytes);
            }
            Event::Message { entry, from, message } => {
                let again = || Event::Message { entry, from, message };
                if !self.can_work(entry, again) {
                    return;
                }
                let mut out = Vec::new();
                self.entries[entry].engine.on_message(now, from, message, &mut out);
                self.carry_out(entry, out, &[]);
            }
            Event::Heartbeat { entry, heartbeat } => {
                if self.can_work(entry, || Event::Heartbeat { entry, heartbeat }) {
                    self.entries[entry].on_heartbeat(now, heartbeat);
                }
            }
            Event::ToUpstream { ip, bytes } => self.on_upstream_packet(ip, &bytes),
            Event::ToCaller { bytes } => self.on_caller_packet(&bytes),
            Event::EngineTick { entry, lives } => self.engine_tick(entry, lives),
            Event::ViewTick { entry, lives } => {
                if self.lives(entry, lives) {
                    self.push(now + VIEW_TICK, Event::ViewTick { entry, lives });
                    if self.entries[entry].is_up(now) {
                        self.entries[entry].tick_view(now);
                    }
                }
            }
            Event::SendHeartbeats { entry, lives } => self.send_heartbeats(entry, lives),
            Event::Services { entry, lives, services } => {
                if self.lives(entry, lives) {
                    self.entries[entry].set_services(now, services);
                }
            }
            Event::Stop { entry, lives } => {
                if self.lives(entry, lives) {
                    self.entries[entry].life = Life::Gone;
                }
            }
            Event::Start { entry } => self.start_again(entry),
            Event::Health => {
                let ready = |index: &usize| self.entries[*index].is_ready(now);
                self.healthy = (0..self.entries.len()).filter(ready).collect();
                self.push(now + HEALTH_EVERY, Event::Health);
            }
            Event::Caller { index } => {
                if self.caller_wake.get(&index) == Some(&now) {
                    self.caller_wake.swap_remove(&index);
                    self.step_caller(index);
                }
            }
            Event::Connection { ip, key } => self.step_connection(ip, key),
            Event::Jobs { ip } => self.finish_jobs(ip),
        }
    }

    fn on_packet(&mut self, entry: usize, lives: u32, origin: Origin, bytes: Box<[u8]>) {
        if !self.lives(entry, lives) {
            return;
        }
        let wake = self.entries[entry].frozen_until;
        if wake > self.now {
            self.push(wake, Event::Packet { entry, lives, origin, bytes });
            return;
        }
        let Ok(view) = View::parse(&bytes) else {
            return;
        };
        let mut out = Vec::new();
        self.entries[entry].engine.on_packet(self.now, origin, &view, &mut out);
        self.carry_out(entry, out, &bytes);
    }

    /// Whether an entry can take an event now; a frozen one takes it when it wakes.
    fn can_work(&mut self, entry: usize, again: impl FnOnce() -> Event) -> bool {
        if self.entries[entry].life == Life::Gone {
            return false;
        }
        let wake = self.entries[entry].frozen_until;
        if wake > self.now {
            self.push(wake, again());
            return false;
        }
        true
    }

    fn engine_tick(&mut self, entry: usize, lives: u32) {
        if !self.lives(entry, lives) {
            return;
        }
        self.push(self.now + ENGINE_TICK, Event::EngineTick { entry, lives });
        if !self.entries[entry].is_up(self.now) {
            return;
        }
        let mut out = Vec::new();
        self.entries[entry].engine.on_tick(self.now, &mut out);
        self.carry_out(entry, out, &[]);
    }

    fn send_heartbeats(&mut self, entry: usize, lives: u32) {
        if !self.lives(entry, lives) {
            return;
        }
        self.push(self.now + HEARTBEAT_EVERY, Event::SendHeartbeats { entry, lives });
        if !self.entries[entry].is_up(self.now) {
            return;
        }
        let heartbeat = self.entries[entry].heartbeat();
        let own = self.entries[entry].id;
        for other in 0..self.entries.len() {
            let cut = self.links.cuts_entries(own, self.entries[other].id);
            if other != entry && !cut {
                let at = self.now + INNER_DELAY;
                self.push(at, Event::Heartbeat { entry: other, heartbeat });
            }
        }
    }

    fn carry_out(&mut self, entry: usize, actions: Vec<Action>, packet: &[u8]) {
        for action in actions {
            self.print_traced(entry, &action, packet);
            match action {
                Action::Forward(to) => self.send(entry, packet, to),
                Action::Emit { bytes, to } => self.send(entry, &bytes, to),
                Action::Tell { to, message } => {
                    let from = self.entries[entry].id;
                    if let Some(other) = self.reach(from, to) {
                        self.deliver(INNER_DELAY, || Event::Message {
                            entry: other,
                            from,
                            message,
                        });
                    }
                }
            }
        }
    }

    fn print_traced(&self, entry: usize, action: &Action, packet: &[u8]) {
        let Some(traced) = self.traced else {
            return;
        };
        let (bytes, to) = match action {
            Action::Forward(to) => (packet, to),
            Action::Emit { bytes, to } => (&bytes[..], to),
            Action::Tell { to, message } => {
                if format!("{message:?}").contains(&format!("{traced},")) {
                    eprintln!("{} entry {entry} tells {to:?} {message:?}", self.now.as_micros());
                }
                return;
            }
        };
        let Ok(view) = View::parse(bytes) else {
            return;
        };
        if *view.src.ip() == traced || *view.dst.ip() == traced {
            let now = self.now.as_micros();
            eprintln!("{now} entry {entry} to {to:?}: {} {:?}", view.src, view.transport);
        }
    }

    fn send(&mut self, entry: usize, bytes: &[u8], to: Target) {
        let own = self.entries[entry].id;
        match to {
            Target::Caller => {
                self.deliver(CALLER_DELAY, || Event::ToCaller { bytes: bytes.into() });
            }
            Target::Upstream { ip, path } => {
                if !self.links.cuts_upstream(own, ip, path % SOURCE_PORTS) {
                    self.deliver(INNER_DELAY, || Event::ToUpstream { ip, bytes: bytes.into() });
                }
            }
            Target::Peer { to, upstream, hops } => {
                let Some(other) = self.reach(own, to) else {
                    return;
                };
                let origin = Origin::Peer(flow::action::Relay { from: own, upstream, hops });
                let lives = self.entries[other].lives;
                self.deliver(INNER_DELAY, || Event::Packet {
                    entry: other,
                    lives,
                    origin,
                    bytes: bytes.into(),
                });
            }
        }
    }

    fn reach(&self, from: Id, to: Id) -> Option<usize> {
        if self.links.cuts_entries(from, to) {
            return None;
        }
        self.entries.iter().position(|entry| entry.id == to)
    }

    /// Puts an event on a link that may lose, repeat or delay it.
    fn deliver(&mut self, delay: Duration, event: impl Fn() -> Event) {
        if self.rng.f64() < self.links.loss {
            return;
        }
        let copies = 1 + usize::from(self.rng.f64() < self.links.duplication);
        for _ in 0..copies {
            let late = self.rng.f64() < self.links.reordering;
            let factor = if late { 1.0 + 9.0 * self.rng.f64() } else { 1.0 };
            self.push(self.now + delay.mul_f64(factor), event());
        }
    }

    /// Hands packets of a caller or an upstream to random entries.
    fn spray(&mut self, delay: Duration, origin: Origin, packets: Vec<Vec<u8>>) {
        for packet in packets {
            if self.healthy.is_empty() {
                return;
            }
            let entry = self.healthy[self.rng.usize(..self.healthy.len())];
            let lives = self.entries[entry].lives;
            let bytes: Box<[u8]> = packet.into();
            self.deliver(delay, || Event::Packet { entry, lives, origin, bytes: bytes.clone() });
        }
    }

    fn on_upstream_packet(&mut self, ip: Ipv4Addr, bytes: &[u8]) {
        let Some(upstream) = self.upstreams.get_mut(&ip) else {
            return;
        };
        let packets = upstream.receive(self.now, bytes, &mut self.seen);
        let open = upstream.open_since_cold() as f64;
        let cap = f64::from(self.cfg.limits.flows_at(self.now, upstream.cold_since));
        self.seen.peak_over_cap = self.seen.peak_over_cap.max(open / cap);
        self.spray(INNER_DELAY, Origin::Upstream(ip), packets);
        if let Ok(view) = View::parse(bytes) {
            self.wake_connection(ip, Key::of_request(&view));
        }
        self.start_jobs(ip);
    }

    fn step_connection(&mut self, ip: Ipv4Addr, key: Key) {
        let Some(upstream) = self.upstreams.get_mut(&ip).filter(|u| u.behaviour.up) else {
            return;
        };
        let packets = upstream.step(self.now, key, &mut self.seen);
        self.spray(INNER_DELAY, Origin::Upstream(ip), packets);
        self.wake_connection(ip, key);
    }

    fn wake_connection(&mut self, ip: Ipv4Addr, key: Key) {
        let at = self.upstreams.get_mut(&ip).and_then(|u| u.next_at(self.now, &key));
        if let Some(at) = at {
            self.push(at, Event::Connection { ip, key });
        }
    }

    fn start_jobs(&mut self, ip: Ipv4Addr) {
        let upstream = self.upstreams.get_mut(&ip);
        let done = upstream.and_then(|u| u.start_jobs(self.now, &mut self.seen));
        if let Some(done) = done {
            self.push(done, Event::Jobs { ip });
        }
    }

    fn finish_jobs(&mut self, ip: Ipv4Addr) {
        let Some(upstream) = self.upstreams.get_mut(&ip) else {
            return;
        };
        for key in upstream.finish_jobs(self.now) {
            self.step_connection(ip, key);
        }
        self.start_jobs(ip);
    }

    fn on_caller_packet(&mut self, bytes: &[u8]) {
        let Ok(view) = View::parse(bytes) else {
            return;
        };
        let index = caller_index(*view.dst.ip());
        if let Some(caller) = self.callers.get_mut(index) {
            caller.receive(bytes);
            self.step_caller(index);
        }
    }

    fn step_caller(&mut self, index: usize) {
        let was = self.callers[index].phase;
        let (packets, next) = self.callers[index].step(self.now, &mut self.seen);
        self.attribute_broken(index);
        if was == Phase::Opening && self.callers[index].phase == Phase::Over {
            self.check_refusal(index);
        }
        self.spray(CALLER_DELAY, Origin::Caller, packets);
        if let Some(next) = next {
            self.wake_caller(index, next);
        }
    }

    /// A flow that broke before its first answer is counted at the upstream that holds it.
    fn attribute_broken(&mut self, index: usize) {
        let Some(count) = self.seen.broken.swap_remove(&Ipv4Addr::UNSPECIFIED) else {
            return;
        };
        let caller = SocketAddrV4::new(caller_ip(index), CALLER_PORT);
        let key = Key::new(Protocol::Tcp, caller, self.service.address.socket);
        let holder = self.upstreams.values().find(|upstream| upstream.holds(&key));
        let holder = holder.map_or(Ipv4Addr::BROADCAST, |upstream| upstream.ip);
        *self.seen.broken.entry(holder).or_default() += count;
    }

    /// A refused flow must not have run anything; nothing was sent, so nothing can have.
    fn check_refusal(&mut self, index: usize) {
        if self.callers[index].upstream.is_some() {
            self.seen.false_refusals += 1;
        }
    }

    fn wake_caller(&mut self, index: usize, at: Timestamp) {
        if self.caller_wake.get(&index).is_some_and(|earlier| *earlier <= at && *earlier > self.now)
        {
            return;
        }
        self.caller_wake.insert(index, at);
        self.push(at, Event::Caller { index });
    }

    fn start_again(&mut self, entry: usize) {
        let lives = self.entries[entry].lives + 1;
        self.gone_counters.push(self.entries[entry].engine.counters().clone());
        self.entries[entry] = self.new_entry(entry);
        self.entries[entry].lives = lives;
        self.schedule_entry(entry);
    }

    fn new_entry(&self, index: usize) -> Entry {
        let all: Vec<Ipv4Addr> = (0..self.cfg.entry_zones.len()).map(entry_ip).collect();
        let settings = Settings {
            id: Id(entry_ip(index)),
            hash: HashKey(1, 2),
            seed: self.cfg.seed ^ index as u64 ^ self.now.as_micros(),
            max_flows: self.cfg.max_flows,
            max_learned: self.cfg.max_learned,
            max_openings: 10_000,
            max_pending: 10_000,
            probes_per_s: self.cfg.probes_per_s,
            retry_percent: 10,
        };
        Entry::new(self.now, settings, self.cfg.entry_zones[index], &all)
    }

    fn schedule_entry(&mut self, entry: usize) {
        let lives = self.entries[entry].lives;
        let now = self.now;
        let services = self.services();
        self.push(now + SERVICES_AFTER_START, Event::Services { entry, lives, services });
        self.push(now, Event::EngineTick { entry, lives });
        self.push(now, Event::ViewTick { entry, lives });
        self.push(now, Event::SendHeartbeats { entry, lives });
    }

    fn services(&self) -> Services {
        std::iter::once((self.service.address, self.service.clone())).collect()
    }

    fn lives(&self, entry: usize, lives: u32) -> bool {
        self.entries[entry].lives == lives && self.entries[entry].life != Life::Gone
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        let id = self.next_event;
        self.next_event += 1;
        self.events.insert(id, event);
        self.queue.push(Reverse((at, id)));
    }
}

fn entry_ip(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 1, 0, index as u8 + 1)
}

fn caller_ip(index: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(Ipv4Addr::new(10, 64, 0, 1).to_bits() + index as u32)
}

fn caller_index(ip: Ipv4Addr) -> usize {
    ip.to_bits().wrapping_sub(Ipv4Addr::new(10, 64, 0, 1).to_bits()) as usize
}
