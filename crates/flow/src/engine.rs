//! The engine of one entry: takes packets and decides where they go.
//!
//! This module holds the part that every entry plays for every flow: forward by the learned table
//! or relay to the flow's home. What a home decides stands in `home`, what it does about a flow
//! whose state was lost in `recovery`.

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
use crate::recovery::Pending;
use crate::service::{Address, AdminState, Service, Services};
use crate::table::Table;

/// Relays a packet may pass: one to the home and one more where views differ during a change.
const MAX_HOPS: u8 = 2;

/// Flows looked at for expiry on each tick.
const SWEEP_PER_TICK: usize = 256;

stdx::record! {
    /// Bounds and keys of an engine.
    pub struct Settings {
        /// This entry.
        pub id: Id,
        /// Key of the hash from flows to slots; the same on all entries.
        pub hash_key: HashKey,
        /// Seed of the random choices.
        pub seed: u64,
        /// Most flows this entry is the home of.
        pub max_flows: usize,
        /// Most flows learned from replies.
        pub max_learned: usize,
        /// Most openings without an answer.
        pub max_openings: usize,
        /// Most flows being recovered at the same time.
        pub max_recoveries: usize,
        /// Probe packets a second.
        pub probes_per_s: u32,
        /// Share of openings that may be tried again, in percent.
        pub retry_percent: u32,
    }
}

/// The state of one entry's flows.
#[derive(Debug)]
pub struct Engine {
    pub(crate) cfg: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) homes: Homes,
    pub(crate) share: Share,
    pub(crate) services: Services,
    pub(crate) pools: IndexMap<Address, Pool>,
    pub(crate) learned: Table<Learned>,
    pub(crate) flows: Table<HomeFlow>,
    pub(crate) openings: IndexMap<Key, Opening>,
    pub(crate) pending: IndexMap<Key, Pending>,
    pub(crate) probes: TokenBucket,
    pub(crate) retries: TokenBucket,
    pub(crate) counters: Counters,
}

/// What replies have taught about a flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Learned {
    pub(crate) upstream: Ipv4Addr,
    pub(crate) seen_s: u32,
}

/// Which end of the flow sent a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    Caller,
    Upstream(Ipv4Addr),
}

/// A packet with its flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Packet<'a> {
    pub(crate) key: Key,
    pub(crate) side: Side,
    pub(crate) view: &'a View<'a>,
    pub(crate) relay: Option<Relay>,
}

/// What becomes of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Send it on.
    Forward(Target),
    /// Answer it with a reset.
    Reset,
    /// Answer an opening with a refusal.
    Refuse,
    /// A copy is kept for later.
    Held,
    /// Drop it.
    Drop(Counter),
}

impl Engine {
    /// An engine that knows no services and no other entry.
    pub fn new(now: Timestamp, cfg: Settings) -> Self {
        let retries = TokenBucket::new(now, 32.0, 1.0);
        let probes = f64::from(cfg.probes_per_s);
        Self {
            rng: fastrand::Rng::with_seed(cfg.seed),
            homes: Homes::new(now, cfg.hash_key),
            share: Share::SOLE,
            services: Services::default(),
            pools: IndexMap::default(),
            learned: Table::new(cfg.max_learned),
            flows: Table::new(cfg.max_flows),
            openings: IndexMap::default(),
            pending: IndexMap::default(),
            probes: TokenBucket::new(now, probes, probes),
            retries,
            counters: Counters::default(),
            cfg,
        }
    }

    /// Takes a packet and appends what has to be done to `out`.
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
            other => self.answer(other, &packet, out),
        }
    }

    /// Takes a message from another entry.
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
                self.on_known(now, key, upstream, opening, out);
            }
            Message::Unknown(key) => self.on_unknown(now, key, out),
            Message::Forget { key, upstream } => self.forget(&key, upstream),
        }
    }

    /// Does what is due at `now`: opening retries, recovery time-outs and expiry.
    pub fn on_tick(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.tick_openings(now, out);
        self.tick_pending(now, out);
        self.sweep(now);
    }

    /// Takes over the live entries and the number of entries that may be opening flows.
    ///
    /// Flows whose home is now another entry are kept as learned, so that the new home can ask. An
    /// entry that becomes the home again starts from nothing: what it knew may be stale by then.
    pub fn set_members(&mut self, now: Timestamp, members: &[Id], share: Share) {
        self.share = share;
        self.homes.set_members(now, members);
        let (id, hash, homes) = (self.cfg.id, self.cfg.hash_key, &self.homes);
        let moved: Vec<(Key, HomeFlow)> = self
            .flows
            .iter()
            .filter(|(key, _)| homes.current(key.slot(hash)) != Some(id))
            .map(|(key, flow)| (*key, *flow))
            .collect();
        for (key, flow) in moved {
            if flow.is_settled() {
                self.remove_flow(&key);
                self.learn(now, key, flow.upstream);
            } else {
                self.hand_over_opening(key);
            }
        }
    }

    /// Takes over the services. Pools keep their counts.
    pub fn set_services(&mut self, now: Timestamp, services: Services) {
        self.pools.retain(|address, _| services.contains_key(address));
        for (address, service) in &services {
            self.pools.entry(*address).or_default().apply(now, &service.specs());
        }
        self.services = services;
    }

    /// The counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Flows this entry is the home of.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Flows learned from replies.
    pub fn learned_count(&self) -> usize {
        self.learned.len()
    }

    /// Openings without an answer.
    pub fn opening_count(&self) -> usize {
        self.openings.len()
    }

    /// Flows being recovered.
    pub fn recovery_count(&self) -> usize {
        self.pending.len()
    }

    /// The pool of a service.
    pub fn pool(&self, address: &Address) -> Option<&Pool> {
        self.pools.get(address)
    }

    /// The pool of a service, to take over what peers say.
    pub fn pool_mut(&mut self, address: &Address) -> Option<&mut Pool> {
        self.pools.get_mut(address)
    }

    /// All pools by service.
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
            // The home may have a newer document, in which the sender is an upstream.
            Some(home) if is_foreign && home != self.cfg.id => self.relay(packet, home),
            Some(_) if is_foreign => Verdict::Drop(Counter::ForeignUpstream),
            Some(home) if home == self.cfg.id => self.decide_as_home(now, packet, out),
            Some(home) => self.decide_as_relay(now, packet, home),
        }
    }

    /// Forwards by the learned table or relays to the home.
    fn decide_as_relay(&mut self, now: Timestamp, packet: &Packet<'_>, home: Id) -> Verdict {
        let verdict = if packet.is_control() {
            self.unlearn_by_control(packet);
            None
        } else {
            self.decide_by_learned(now, packet)
        };
        verdict.unwrap_or_else(|| self.relay(packet, home))
    }

    fn decide_by_learned(&mut self, now: Timestamp, packet: &Packet<'_>) -> Option<Verdict> {
        let known = self.learned.get(&packet.key).map(|learned| learned.upstream);
        match (packet.side, known) {
            (Side::Caller, Some(ip)) => Some(self.forward_to(now, packet, ip)),
            (Side::Caller, None) => None,
            (Side::Upstream(ip), Some(holder)) if ip == holder => {
                self.learn(now, packet.key, ip);
                self.counters.increment(Counter::ByLearned);
                Some(Verdict::Forward(Target::Caller))
            }
            (Side::Upstream(_), Some(_)) => {
                // Two upstreams claim the flow: only its home can tell which is right.
                self.learned.remove(&packet.key);
                None
            }
            (Side::Upstream(ip), None) => {
                self.learn(now, packet.key, ip);
                None
            }
        }
    }

    fn forward_to(&mut self, now: Timestamp, packet: &Packet<'_>, ip: Ipv4Addr) -> Verdict {
        match self.admin_state(&packet.key, ip) {
            Some(AdminState::Active | AdminState::Draining) => {
                if let Some(learned) = self.learned.get_mut(&packet.key) {
                    learned.seen_s = now.as_secs() as u32;
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

    /// An opening or a caller's reset ends what was learned; a reply's reset is left to the home.
    fn unlearn_by_control(&mut self, packet: &Packet<'_>) {
        let flags = packet.view.flags();
        if packet.side == Side::Caller && (flags.syn || flags.rst) {
            self.learned.remove(&packet.key);
        }
    }

    fn relay(&mut self, packet: &Packet<'_>, home: Id) -> Verdict {
        let hops = packet.relay.map_or(0, |relay| relay.hops) + 1;
        let back = packet.relay.is_some_and(|relay| relay.from == home);
        if hops > MAX_HOPS || back {
            return Verdict::Drop(Counter::NoHome);
        }
        self.counters.increment(Counter::Relayed);
        Verdict::Forward(Target::Peer { to: home, upstream: packet.upstream(), hops })
    }

    /// Carries out what is not a plain forward of the packet at hand.
    pub(crate) fn answer(&mut self, verdict: Verdict, packet: &Packet<'_>, out: &mut Vec<Action>) {
        match verdict {
            Verdict::Forward(to) => out.push(Action::Emit { bytes: packet.view.bytes.into(), to }),
            Verdict::Reset => self.emit_reset(packet, out),
            Verdict::Refuse => {
                self.counters.increment(Counter::Refused);
                let bytes =
                    reply::reset(packet.view).or_else(|| reply::port_unreachable(packet.view));
                out.extend(bytes.map(|bytes| Action::Emit { bytes, to: Target::Caller }));
            }
            Verdict::Held => {}
            Verdict::Drop(count) => self.counters.increment(count),
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
        let learned = Learned { upstream, seen_s: now.as_secs() as u32 };
        let evicted = self.learned.insert(key, learned, |learned| learned.seen_s);
        if evicted.is_some() {
            self.counters.increment(Counter::Evicted);
        }
    }

    pub(crate) fn forget(&mut self, key: &Key, upstream: Ipv4Addr) {
        if self.learned.get(key).is_some_and(|learned| learned.upstream == upstream) {
            self.learned.remove(key);
        }
    }

    fn sweep(&mut self, now: Timestamp) {
        let now_s = now.as_secs() as u32;
        let services = &self.services;
        self.learned.sweep(SWEEP_PER_TICK, |key, learned| {
            let idle =
                services.get(&key.address()).map_or(Duration::ZERO, |service| service.idle_timeout);
            u64::from(now_s.saturating_sub(learned.seen_s)) > idle.as_secs()
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

    /// Whether only the home may decide about the packet.
    pub(crate) fn is_control(&self) -> bool {
        let flags = self.view.flags();
        flags.syn || flags.fin || flags.rst
    }
}
