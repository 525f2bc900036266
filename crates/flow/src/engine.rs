//! The forwarding engine of an entry.
//!
//! This module handles the flows whose home is another entry, by the learned table or by a relay to
//! the home. The home's part is in `home`, `opening` and `recovery`.

use std::net::Ipv4Addr;
use std::time::Duration;

use balance::{Pool, Share, TokenBucket};
use indexmap::IndexMap;
use packet::{View, reply};
use stdx::time::Timestamp;

use crate::action::{Action, Message, Origin, Relay, Target};
use crate::counters::{Counter, Counters};
use crate::home::HomeFlow;
use crate::homes::{Homes, Id};
use crate::key::{HashKey, Key, Slot};
use crate::opening::Opening;
use crate::recovery::Recovery;
use crate::service::{Address, AdminState, Service, Services};
use crate::table::Table;

/// Relays per packet: one to the home and one more while the entries' membership views differ.
const MAX_HOPS: u8 = 2;

/// Flows checked for expiry per tick.
const MAX_SWEPT_PER_TICK: usize = 256;

stdx::record! {
    /// Identity, hash key and limits of an engine.
    pub struct Settings {
        /// The identifier of this entry.
        pub id: Id,
        /// Key of the hash that maps flows to slots; must be the same on all entries.
        pub hash_key: HashKey,
        /// Seed of the random number generator.
        pub seed: u64,
        /// Maximum number of flows whose home is this entry.
        pub max_flows: usize,
        /// Maximum number of flows learned from replies.
        pub max_learned: usize,
        /// Maximum number of unanswered openings.
        pub max_openings: usize,
        /// Maximum number of flows being recovered at the same time.
        pub max_recoveries: usize,
        /// Maximum rate of probe packets, per second.
        pub probes_per_s: u32,
        /// Retries allowed per opening, in percent.
        pub retry_percent: u32,
    }
}

/// The flow state and forwarding logic of one entry.
#[derive(Debug)]
pub struct Engine {
    pub(crate) cfg: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) homes: Homes,
    pub(crate) share: Share,
    pub(crate) services: Services,
    pub(crate) pools: IndexMap<Address, Pool>,
    pub(crate) learned: Table<LearnedFlow>,
    pub(crate) flows: Table<HomeFlow>,
    pub(crate) openings: IndexMap<Key, Opening>,
    pub(crate) recoveries: IndexMap<Key, Recovery>,
    pub(crate) probe_budget: TokenBucket,
    pub(crate) retry_budget: TokenBucket,
    pub(crate) counters: Counters,
}

/// The upstream of a flow whose home is another entry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LearnedFlow {
    pub(crate) upstream: Ipv4Addr,
    pub(crate) last_seen_s: u32,
}

/// The end of a flow that sent a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    Caller,
    Upstream(Ipv4Addr),
}

/// A packet with its flow key and sender.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Packet<'a> {
    pub(crate) key: Key,
    pub(crate) side: Side,
    pub(crate) view: &'a View<'a>,
    pub(crate) relay: Option<Relay>,
}

/// The decision about a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Forward it.
    Forward(Target),
    /// Answer it with a reset.
    Reset,
    /// Refuse the opening with a reset or an ICMP error.
    Refuse,
    /// A copy was queued until the flow is recovered.
    Queued,
    /// Drop it and increment a counter.
    Drop(Counter),
}

impl Engine {
    /// Creates an engine without services and members.
    pub fn new(now: Timestamp, cfg: Settings) -> Self {
        let retry_budget = TokenBucket::new(now, 32.0, 1.0);
        let probes_per_s = f64::from(cfg.probes_per_s);
        Self {
            rng: fastrand::Rng::with_seed(cfg.seed),
            homes: Homes::new(now, cfg.hash_key),
            share: Share::SOLE,
            services: Services::default(),
            pools: IndexMap::default(),
            learned: Table::new(cfg.max_learned),
            flows: Table::new(cfg.max_flows),
            openings: IndexMap::default(),
            recoveries: IndexMap::default(),
            probe_budget: TokenBucket::new(now, probes_per_s, probes_per_s),
            retry_budget,
            counters: Counters::default(),
            cfg,
        }
    }

    /// Handles a packet and appends the resulting actions to `out`.
    pub fn on_packet(
        &mut self,
        now: Timestamp,
        origin: Origin,
        view: &View<'_>,
        out: &mut Vec<Action>,
    ) {
        let packet = Packet::new(origin, view);
        let verdict = self.decide(now, &packet, out);
        match verdict {
            Verdict::Forward(target) => out.push(Action::Forward(target)),
            other => self.apply_verdict(other, &packet, out),
        }
    }

    /// Handles a message from another entry and appends the resulting actions to `out`.
    pub fn on_message(
        &mut self,
        now: Timestamp,
        from: Id,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Ask(key) => {
                out.push(Action::SendMessage { to: from, message: self.answer_ask(key) });
            }
            Message::Known { key, upstream, opening } => {
                self.on_peer_known(now, key, upstream, opening, out);
            }
            Message::Unknown(key) => self.on_peer_unknown(now, key, out),
            Message::Forget { key, upstream } => self.unlearn(&key, upstream),
        }
    }

    /// Handles opening retries, recovery timeouts and expiry that are due at `now`.
    pub fn on_tick(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.tick_openings(now, out);
        self.tick_recoveries(now, out);
        self.sweep(now);
    }

    /// Replaces the live entries and the number of entries that may be opening flows.
    ///
    /// Flows whose home is now another entry move to the learned table, so that the new home can
    /// ask for them. They do not move back if this entry becomes the home again, because they may
    /// be stale by then.
    pub fn set_members(&mut self, now: Timestamp, members: &[Id], share: Share) {
        self.share = share;
        self.homes.set_members(now, members);
        let (id, hash_key, homes) = (self.cfg.id, self.cfg.hash_key, &self.homes);
        let moved: Vec<(Key, HomeFlow)> = self
            .flows
            .iter()
            .filter(|(key, _)| homes.current(key.slot(hash_key)) != Some(id))
            .map(|(key, flow)| (*key, *flow))
            .collect();
        for (key, flow) in moved {
            if flow.is_open() {
                self.remove_flow(&key);
                self.learn(now, key, flow.upstream);
            } else {
                self.hand_over_opening(key);
            }
        }
    }

    /// Replaces the services. Pools of services that remain keep their flow counts.
    pub fn set_services(&mut self, now: Timestamp, services: Services) {
        self.pools.retain(|address, _| services.contains_key(address));
        for (address, service) in &services {
            self.pools.entry(*address).or_default().apply(now, &service.specs());
        }
        self.services = services;
    }

    /// The event counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Number of flows whose home is this entry.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Number of flows learned from replies.
    pub fn learned_count(&self) -> usize {
        self.learned.len()
    }

    /// Number of unanswered openings.
    pub fn opening_count(&self) -> usize {
        self.openings.len()
    }

    /// Number of flows being recovered.
    pub fn recovery_count(&self) -> usize {
        self.recoveries.len()
    }

    /// The upstream pool of a service.
    pub fn pool(&self, address: &Address) -> Option<&Pool> {
        self.pools.get(address)
    }

    /// The upstream pool of a service, mutably, to apply updates from peers.
    pub fn pool_mut(&mut self, address: &Address) -> Option<&mut Pool> {
        self.pools.get_mut(address)
    }

    /// All upstream pools by service.
    pub fn pools(&self) -> impl Iterator<Item = (&Address, &Pool)> {
        self.pools.iter()
    }

    fn decide(&mut self, now: Timestamp, packet: &Packet<'_>, out: &mut Vec<Action>) -> Verdict {
        let Some(service) = self.services.get(&packet.key.address()) else {
            return Verdict::Drop(Counter::NoService);
        };
        let admin_state = packet.upstream().map(|ip| service.admin_state(ip));
        if admin_state == Some(Some(AdminState::OutOfService)) {
            return Verdict::Drop(Counter::ZoneOut);
        }
        let is_foreign = admin_state == Some(None);
        match self.homes.current(self.slot(&packet.key)) {
            None => Verdict::Drop(Counter::NoHome),
            // The home may have a newer configuration, in which the sender is an upstream.
            Some(home) if is_foreign && home != self.cfg.id => self.relay(packet, home),
            Some(_) if is_foreign => Verdict::Drop(Counter::ForeignUpstream),
            Some(home) if home == self.cfg.id => self.decide_as_home(now, packet, out),
            Some(home) => self.decide_as_relay(now, packet, home),
        }
    }

    /// Forwards according to the learned table or relays to the home.
    fn decide_as_relay(&mut self, now: Timestamp, packet: &Packet<'_>, home: Id) -> Verdict {
        let verdict = if packet.is_control() {
            self.unlearn_on_control(packet);
            None
        } else {
            self.decide_by_learned(now, packet)
        };
        verdict.unwrap_or_else(|| self.relay(packet, home))
    }

    /// `None` if the packet has to be relayed to the home.
    fn decide_by_learned(&mut self, now: Timestamp, packet: &Packet<'_>) -> Option<Verdict> {
        let learned = self.learned.get(&packet.key).map(|learned| learned.upstream);
        match (packet.side, learned) {
            (Side::Caller, Some(ip)) => Some(self.forward_learned(now, packet, ip)),
            (Side::Caller, None) => None,
            (Side::Upstream(ip), Some(owner)) if ip == owner => {
                self.learn(now, packet.key, ip);
                self.counters.increment(Counter::ByLearned);
                Some(Verdict::Forward(Target::Caller))
            }
            (Side::Upstream(_), Some(_)) => {
                // Two upstreams have sent replies of the flow; the home knows which one is correct.
                self.learned.remove(&packet.key);
                None
            }
            (Side::Upstream(ip), None) => {
                self.learn(now, packet.key, ip);
                None
            }
        }
    }

    /// Forwards a request to the learned upstream, or resets the caller if that upstream may get no
    /// traffic.
    fn forward_learned(&mut self, now: Timestamp, packet: &Packet<'_>, ip: Ipv4Addr) -> Verdict {
        match self.admin_state(&packet.key, ip) {
            Some(AdminState::Active | AdminState::Draining) => {
                if let Some(learned) = self.learned.get_mut(&packet.key) {
                    learned.last_seen_s = now.as_secs() as u32;
                }
                self.counters.increment(Counter::ByLearned);
                Verdict::Forward(self.upstream_target(&packet.key, ip))
            }
            Some(AdminState::OutOfService) | None => {
                self.learned.remove(&packet.key);
                self.counters.increment(Counter::GivenUp);
                Verdict::Reset
            }
        }
    }

    /// Removes the learned upstream on an opening or a caller's reset. A reset by an upstream is
    /// handled by the home.
    fn unlearn_on_control(&mut self, packet: &Packet<'_>) {
        let flags = packet.view.flags();
        if packet.side == Side::Caller && (flags.syn || flags.rst) {
            self.learned.remove(&packet.key);
        }
    }

    fn relay(&mut self, packet: &Packet<'_>, home: Id) -> Verdict {
        let hops = packet.relay.map_or(0, |relay| relay.hops) + 1;
        let returns_to_sender = packet.relay.is_some_and(|relay| relay.from == home);
        if hops > MAX_HOPS || returns_to_sender {
            return Verdict::Drop(Counter::NoHome);
        }
        self.counters.increment(Counter::Relayed);
        Verdict::Forward(Target::Peer { to: home, upstream: packet.upstream(), hops })
    }

    /// Carries out a verdict, with a copy of the packet if it is forwarded.
    pub(crate) fn apply_verdict(
        &mut self,
        verdict: Verdict,
        packet: &Packet<'_>,
        out: &mut Vec<Action>,
    ) {
        match verdict {
            Verdict::Forward(to) => out.push(Action::Emit { bytes: packet.view.bytes.into(), to }),
            Verdict::Reset => self.emit_reset(packet, out),
            Verdict::Refuse => {
                self.counters.increment(Counter::Refused);
                let bytes =
                    reply::reset(packet.view).or_else(|| reply::port_unreachable(packet.view));
                out.extend(bytes.map(|bytes| Action::Emit { bytes, to: Target::Caller }));
            }
            Verdict::Queued => {}
            Verdict::Drop(counter) => self.counters.increment(counter),
        }
    }

    fn emit_reset(&self, packet: &Packet<'_>, out: &mut Vec<Action>) {
        let to = match packet.side {
            Side::Caller => Target::Caller,
            Side::Upstream(ip) => self.upstream_target(&packet.key, ip),
        };
        out.extend(reply::reset(packet.view).map(|bytes| Action::Emit { bytes, to }));
    }

    pub(crate) fn upstream_target(&self, key: &Key, ip: Ipv4Addr) -> Target {
        Target::Upstream { ip, path: key.hash(self.cfg.hash_key).to_le_bytes()[7] }
    }

    pub(crate) fn slot(&self, key: &Key) -> Slot {
        key.slot(self.cfg.hash_key)
    }

    pub(crate) fn service(&self, key: &Key) -> Option<&Service> {
        self.services.get(&key.address())
    }

    pub(crate) fn admin_state(&self, key: &Key, ip: Ipv4Addr) -> Option<AdminState> {
        self.service(key)?.admin_state(ip)
    }

    pub(crate) fn learn(&mut self, now: Timestamp, key: Key, upstream: Ipv4Addr) {
        let learned = LearnedFlow { upstream, last_seen_s: now.as_secs() as u32 };
        let evicted = self.learned.insert(key, learned, |learned| learned.last_seen_s);
        if evicted.is_some() {
            self.counters.increment(Counter::Evicted);
        }
    }

    /// Removes a learned flow if its upstream is `upstream`.
    pub(crate) fn unlearn(&mut self, key: &Key, upstream: Ipv4Addr) {
        if self.learned.get(key).is_some_and(|learned| learned.upstream == upstream) {
            self.learned.remove(key);
        }
    }

    fn sweep(&mut self, now: Timestamp) {
        let now_s = now.as_secs() as u32;
        let services = &self.services;
        self.learned.sweep(MAX_SWEPT_PER_TICK, |key, learned| {
            let idle_timeout =
                services.get(&key.address()).map_or(Duration::ZERO, |service| service.idle_timeout);
            u64::from(now_s.saturating_sub(learned.last_seen_s)) > idle_timeout.as_secs()
        });
        self.sweep_flows(now);
    }
}

impl<'a> Packet<'a> {
    pub(crate) fn new(origin: Origin, view: &'a View<'a>) -> Self {
        let (side, relay) = match origin {
            Origin::Caller => (Side::Caller, None),
            Origin::Upstream(ip) => (Side::Upstream(ip), None),
            Origin::Peer(relay) => {
                (relay.upstream.map_or(Side::Caller, Side::Upstream), Some(relay))
            }
        };
        Self::from_side(side, view, relay)
    }

    pub(crate) fn from_side(side: Side, view: &'a View<'a>, relay: Option<Relay>) -> Self {
        let key = match side {
            Side::Caller => Key::from_request(view),
            Side::Upstream(_) => Key::from_reply(view),
        };
        Self { key, side, view, relay }
    }

    pub(crate) fn upstream(&self) -> Option<Ipv4Addr> {
        match self.side {
            Side::Caller => None,
            Side::Upstream(ip) => Some(ip),
        }
    }

    /// Whether the packet opens or ends a connection, which only the home handles.
    pub(crate) fn is_control(&self) -> bool {
        let flags = self.view.flags();
        flags.syn || flags.fin || flags.rst
    }
}
