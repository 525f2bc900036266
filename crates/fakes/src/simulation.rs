//! The state of a simulation, and its interface for tests and measurements. Event handling is in
//! `events`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use balance::Limits;
use flow::key::HashKey;
use flow::service::{Address, AdminState};
use flow::{Counters, Id, Service, Services, Settings};
use indexmap::IndexMap;
use packet::Protocol;
use stdx::time::Timestamp;

use crate::caller::{Caller, Plan};
use crate::entry::{Entry, EntryState};
use crate::events::Event;
use crate::faults::LinkFaults;
use crate::stats::Stats;
use crate::upstream::{Behaviour, Upstream};

/// Time for which a leaving entry keeps serving before it stops.
pub const LINGER: Duration = Duration::from_millis(1_200);

/// Time between the stop and the start of a restarted entry.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time from an entry's start until it receives its services.
const SERVICES_AFTER_START: Duration = Duration::from_millis(100);

/// The source port of all callers.
pub(crate) const CALLER_PORT: u16 = 10_000;

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Config {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Availability zone of each entry.
    pub entry_zones: Vec<u8>,
    /// Number of upstreams of the service.
    pub upstreams: u8,
    /// Limits of each upstream.
    pub limits: Limits,
    /// Requests that each upstream runs concurrently.
    pub slots: usize,
    /// Time that an upstream takes to run a request.
    pub run_time: Duration,
    /// Maximum number of flows that an entry is the home of.
    pub max_flows: usize,
    /// Maximum number of flows that an entry learns.
    pub max_learned: usize,
    /// Maximum probe packets per second of an entry.
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

/// A simulation of entries, upstreams and callers of one service.
pub struct Simulation {
    /// The current virtual time.
    pub now: Timestamp,
    /// Faults of the links.
    pub link_faults: LinkFaults,
    /// Outcomes observed by callers and upstreams.
    pub stats: Stats,
    /// All entries.
    pub entries: Vec<Entry>,
    /// All upstreams.
    pub upstreams: IndexMap<Ipv4Addr, Upstream>,
    /// All callers.
    pub callers: Vec<Caller>,
    /// The service's configuration; see [`Self::publish_service`].
    pub service: Service,
    /// A caller whose packets are printed to stderr when an entry sends them.
    pub traced_caller: Option<Ipv4Addr>,
    pub(crate) cfg: Config,
    pub(crate) rng: fastrand::Rng,
    pub(crate) queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    pub(crate) events: BTreeMap<u64, Event>,
    pub(crate) next_event: u64,
    pub(crate) healthy_entries: Vec<usize>,
    pub(crate) caller_wakeups: IndexMap<usize, Timestamp>,
    pub(crate) stopped_counters: Vec<Counters>,
}

impl std::fmt::Debug for Simulation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Simulation").field("now", &self.now).finish_non_exhaustive()
    }
}

impl Simulation {
    /// Starts all entries and runs until they are ready and know each other.
    pub fn new(cfg: Config) -> Self {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 10, 0, 1), 4000);
        let behaviour =
            Behaviour { up: true, refuses: false, slots: cfg.slots, run_time: cfg.run_time };
        let upstreams: IndexMap<_, _> = (0..cfg.upstreams)
            .map(|n| (n % 3, Ipv4Addr::new(127, 2, n % 3, n + 1)))
            .map(|(zone, ip)| (ip, Upstream::new(ip, zone, address, behaviour)))
            .collect();
        let active = flow::service::Upstream { admin_state: AdminState::Active, weight: 1 };
        let service = Service {
            name: "order-desk".to_owned(),
            address: Address { protocol: Protocol::Tcp, socket: address },
            upstreams: upstreams.keys().map(|ip| (*ip, active.clone())).collect(),
            limits: cfg.limits,
            repeatable: false,
            idle_timeout: Duration::from_hours(2),
            opening_timeout: Duration::from_millis(300),
        };
        let mut sim = Self {
            now: Timestamp::from_secs(1_000),
            link_faults: LinkFaults::default(),
            stats: Stats::default(),
            entries: Vec::new(),
            upstreams,
            callers: Vec::new(),
            service,
            traced_caller: None,
            rng: fastrand::Rng::with_seed(cfg.seed),
            cfg,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            healthy_entries: Vec::new(),
            caller_wakeups: IndexMap::new(),
            stopped_counters: Vec::new(),
        };
        for index in 0..sim.cfg.entry_zones.len() {
            let entry = sim.new_entry(index);
            sim.entries.push(entry);
            sim.schedule_entry(index);
        }
        sim.push(sim.now, Event::Health);
        sim.run_for(Duration::from_secs(5));
        sim
    }

    /// Adds one caller of the service per plan.
    pub fn add_callers(&mut self, plans: impl IntoIterator<Item = Plan>) {
        for plan in plans {
            let index = self.callers.len();
            let ip = caller_ip(index);
            let caller = Caller::new(ip, CALLER_PORT, self.service.address.socket, plan);
            self.callers.push(caller);
            self.wake_caller(index, plan.start.max(self.now));
        }
    }

    /// Advances the simulation by `time`.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Advances the simulation to `until`.
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

    /// Sends the service's configuration to every entry, each after a random delay of up to
    /// `max_delay`.
    pub fn publish_service(&mut self, max_delay: Duration) {
        for entry in 0..self.entries.len() {
            let at = self.now + max_delay.mul_f64(self.rng.f64());
            let services = self.services();
            let generation = self.entries[entry].generation;
            self.push(at, Event::Services { entry, generation, services });
        }
    }

    /// Adds a cold upstream in a zone. It receives flows after the next [`Self::publish_service`].
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
        let active = flow::service::Upstream { admin_state: AdminState::Active, weight: 1 };
        self.service.upstreams.insert(ip, active);
        ip
    }

    /// Sets the administrative state of a zone's upstreams and marks them as cold.
    pub fn set_zone_admin_state(&mut self, zone: u8, admin_state: AdminState) {
        for upstream in self.upstreams.values_mut().filter(|u| u.zone == zone) {
            upstream.cold_since = Some(self.now);
            if let Some(configured) = self.service.upstreams.get_mut(&upstream.ip) {
                configured.admin_state = admin_state;
            }
        }
    }

    /// Crashes an entry.
    pub fn kill(&mut self, entry: usize) {
        self.entries[entry].state = EntryState::Stopped;
    }

    /// Stops an entry gracefully and starts it again.
    pub fn restart(&mut self, entry: usize) {
        self.leave(entry);
        self.push(self.now + LINGER + RESTART_DELAY, Event::Start { entry });
    }

    /// Stops an entry gracefully.
    pub fn leave(&mut self, entry: usize) {
        self.entries[entry].leave(self.now);
        let generation = self.entries[entry].generation;
        self.push(self.now, Event::SendHeartbeats { entry, generation });
        self.push(self.now + LINGER, Event::Stop { entry, generation });
    }

    /// Starts a stopped entry.
    pub fn start(&mut self, entry: usize) {
        self.push(self.now, Event::Start { entry });
    }

    /// Pauses an entry's process for `time`.
    pub fn pause(&mut self, entry: usize, time: Duration) {
        self.entries[entry].paused_until = self.now + time;
    }

    /// Sum of a counter over all entries, including stopped processes.
    pub fn counter_total(&self, counter: flow::Counter) -> u64 {
        let live = self.entries.iter().map(|entry| entry.engine.counters().get(counter));
        let stopped = self.stopped_counters.iter().map(|counters| counters.get(counter));
        live.chain(stopped).sum()
    }

    /// Number of currently open flows.
    pub fn open_flows(&self) -> usize {
        self.callers.iter().filter(|caller| caller.is_open()).count()
    }

    /// Size of the largest flow table of any entry.
    pub fn largest_table(&self) -> usize {
        let table_size =
            |entry: &Entry| entry.engine.flow_count().max(entry.engine.learned_count());
        self.entries.iter().map(table_size).max().unwrap_or_default()
    }

    pub(crate) fn new_entry(&self, index: usize) -> Entry {
        let all: Vec<Ipv4Addr> = (0..self.cfg.entry_zones.len()).map(entry_ip).collect();
        let settings = Settings {
            id: Id(entry_ip(index)),
            hash_key: HashKey(1, 2),
            seed: self.cfg.seed ^ index as u64 ^ self.now.as_micros(),
            max_flows: self.cfg.max_flows,
            max_learned: self.cfg.max_learned,
            max_openings: 10_000,
            max_recoveries: 10_000,
            probes_per_s: self.cfg.probes_per_s,
            retry_percent: 10,
        };
        Entry::new(self.now, settings, self.cfg.entry_zones[index], &all)
    }

    pub(crate) fn schedule_entry(&mut self, entry: usize) {
        let generation = self.entries[entry].generation;
        let now = self.now;
        let services = self.services();
        self.push(now + SERVICES_AFTER_START, Event::Services { entry, generation, services });
        self.push(now, Event::EngineTick { entry, generation });
        self.push(now, Event::ViewTick { entry, generation });
        self.push(now, Event::SendHeartbeats { entry, generation });
    }

    fn services(&self) -> Services {
        std::iter::once((self.service.address, self.service.clone())).collect()
    }

    pub(crate) fn is_current(&self, entry: usize, generation: u32) -> bool {
        self.entries[entry].generation == generation
            && self.entries[entry].state != EntryState::Stopped
    }

    pub(crate) fn push(&mut self, at: Timestamp, event: Event) {
        let id = self.next_event;
        self.next_event += 1;
        self.events.insert(id, event);
        self.queue.push(Reverse((at, id)));
    }
}

fn entry_ip(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 1, 0, index as u8 + 1)
}

pub(crate) fn caller_ip(index: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(Ipv4Addr::new(10, 64, 0, 1).to_bits() + index as u32)
}

pub(crate) fn caller_index(ip: Ipv4Addr) -> usize {
    ip.to_bits().wrapping_sub(Ipv4Addr::new(10, 64, 0, 1).to_bits()) as usize
}
