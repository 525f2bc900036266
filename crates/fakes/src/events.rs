//! Event handling of [`Simulation`], and delivery of packets and messages over faulty links.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use flow::{Action, Id, Key, Message, Origin, Services, Target};
use membership::Heartbeat;
use packet::{Protocol, View};
use stdx::time::Timestamp;

use crate::caller::Phase;
use crate::entry::EntryState;
use crate::simulation::{CALLER_PORT, Simulation, caller_index, caller_ip};

/// One-way link delays: between callers and entries, and among entries and upstreams.
const CALLER_DELAY: Duration = Duration::from_millis(3);
const INTERNAL_DELAY: Duration = Duration::from_micros(500);

/// Intervals of an entry's periodic tasks.
const ENGINE_TICK_INTERVAL: Duration = Duration::from_millis(5);
const VIEW_TICK_INTERVAL: Duration = Duration::from_millis(50);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval of the fabric's health checks.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of source ports that an entry uses towards upstreams.
const SOURCE_PORTS: u8 = 8;

/// A scheduled event. Events for an earlier `generation` of an entry are dropped.
pub(crate) enum Event {
    Packet { entry: usize, generation: u32, origin: Origin, bytes: Box<[u8]> },
    Message { entry: usize, from: Id, message: Message },
    Heartbeat { entry: usize, heartbeat: Heartbeat },
    ToUpstream { ip: Ipv4Addr, bytes: Box<[u8]> },
    ToCaller { bytes: Box<[u8]> },
    EngineTick { entry: usize, generation: u32 },
    ViewTick { entry: usize, generation: u32 },
    SendHeartbeats { entry: usize, generation: u32 },
    Services { entry: usize, generation: u32, services: Services },
    Stop { entry: usize, generation: u32 },
    Start { entry: usize },
    Health,
    Caller { index: usize },
    Connection { ip: Ipv4Addr, key: Key },
    Jobs { ip: Ipv4Addr },
}

impl Simulation {
    pub(crate) fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Packet { entry, generation, origin, bytes } => {
                self.on_packet(entry, generation, origin, bytes);
            }
            Event::Message { entry, from, message } => {
                let requeued = || Event::Message { entry, from, message };
                if !self.can_process(entry, requeued) {
                    return;
                }
                let mut out = Vec::new();
                self.entries[entry].engine.on_message(now, from, message, &mut out);
                self.execute_actions(entry, out, &[]);
            }
            Event::Heartbeat { entry, heartbeat } => {
                if self.can_process(entry, || Event::Heartbeat { entry, heartbeat }) {
                    self.entries[entry].on_heartbeat(now, heartbeat);
                }
            }
            Event::ToUpstream { ip, bytes } => self.on_upstream_packet(ip, &bytes),
            Event::ToCaller { bytes } => self.on_caller_packet(&bytes),
            Event::EngineTick { entry, generation } => self.engine_tick(entry, generation),
            Event::ViewTick { entry, generation } => {
                if self.is_current(entry, generation) {
                    self.push(now + VIEW_TICK_INTERVAL, Event::ViewTick { entry, generation });
                    if self.entries[entry].is_up(now) {
                        self.entries[entry].tick_view(now);
                    }
                }
            }
            Event::SendHeartbeats { entry, generation } => self.send_heartbeats(entry, generation),
            Event::Services { entry, generation, services } => {
                if self.is_current(entry, generation) {
                    self.entries[entry].set_services(now, services);
                }
            }
            Event::Stop { entry, generation } => {
                if self.is_current(entry, generation) {
                    self.entries[entry].state = EntryState::Stopped;
                }
            }
            Event::Start { entry } => self.restart_entry(entry),
            Event::Health => {
                let ready = |index: &usize| self.entries[*index].is_ready(now);
                self.healthy_entries = (0..self.entries.len()).filter(ready).collect();
                self.push(now + HEALTH_CHECK_INTERVAL, Event::Health);
            }
            Event::Caller { index } => {
                if self.caller_wakeups.get(&index) == Some(&now) {
                    self.caller_wakeups.swap_remove(&index);
                    self.step_caller(index);
                }
            }
            Event::Connection { ip, key } => self.step_connection(ip, key),
            Event::Jobs { ip } => self.finish_jobs(ip),
        }
    }

    fn on_packet(&mut self, entry: usize, generation: u32, origin: Origin, bytes: Box<[u8]>) {
        if !self.is_current(entry, generation) {
            return;
        }
        let resume_at = self.entries[entry].paused_until;
        if resume_at > self.now {
            self.push(resume_at, Event::Packet { entry, generation, origin, bytes });
            return;
        }
        let Ok(view) = View::parse(&bytes) else {
            return;
        };
        let mut out = Vec::new();
        self.entries[entry].engine.on_packet(self.now, origin, &view, &mut out);
        self.execute_actions(entry, out, &bytes);
    }

    /// Whether an entry can process an event now. If its process is paused, `requeued` is queued
    /// for the end of the pause.
    fn can_process(&mut self, entry: usize, requeued: impl FnOnce() -> Event) -> bool {
        if self.entries[entry].state == EntryState::Stopped {
            return false;
        }
        let resume_at = self.entries[entry].paused_until;
        if resume_at > self.now {
            self.push(resume_at, requeued());
            return false;
        }
        true
    }

    fn engine_tick(&mut self, entry: usize, generation: u32) {
        if !self.is_current(entry, generation) {
            return;
        }
        self.push(self.now + ENGINE_TICK_INTERVAL, Event::EngineTick { entry, generation });
        if !self.entries[entry].is_up(self.now) {
            return;
        }
        let mut out = Vec::new();
        self.entries[entry].engine.on_tick(self.now, &mut out);
        self.execute_actions(entry, out, &[]);
    }

    fn send_heartbeats(&mut self, entry: usize, generation: u32) {
        if !self.is_current(entry, generation) {
            return;
        }
        self.push(self.now + HEARTBEAT_INTERVAL, Event::SendHeartbeats { entry, generation });
        if !self.entries[entry].is_up(self.now) {
            return;
        }
        let heartbeat = self.entries[entry].heartbeat();
        let id = self.entries[entry].id;
        for other in 0..self.entries.len() {
            let partitioned = self.link_faults.is_partitioned(id, self.entries[other].id);
            if other != entry && !partitioned {
                let at = self.now + INTERNAL_DELAY;
                self.push(at, Event::Heartbeat { entry: other, heartbeat });
            }
        }
    }

    fn execute_actions(&mut self, entry: usize, actions: Vec<Action>, packet: &[u8]) {
        for action in actions {
            self.print_traced(entry, &action, packet);
            match action {
                Action::Forward(to) => self.send(entry, packet, to),
                Action::Emit { bytes, to } => self.send(entry, &bytes, to),
                Action::SendMessage { to, message } => {
                    let from = self.entries[entry].id;
                    if let Some(other) = self.find_reachable(from, to) {
                        self.deliver(INTERNAL_DELAY, || Event::Message {
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
        let Some(traced_caller) = self.traced_caller else {
            return;
        };
        let (bytes, to) = match action {
            Action::Forward(to) => (packet, to),
            Action::Emit { bytes, to } => (&bytes[..], to),
            Action::SendMessage { to, message } => {
                if format!("{message:?}").contains(&format!("{traced_caller},")) {
                    eprintln!("{} entry {entry} to {to:?}: {message:?}", self.now.as_micros());
                }
                return;
            }
        };
        let Ok(view) = View::parse(bytes) else {
            return;
        };
        if *view.src.ip() == traced_caller || *view.dst.ip() == traced_caller {
            let now = self.now.as_micros();
            eprintln!("{now} entry {entry} to {to:?}: {} {:?}", view.src, view.transport);
        }
    }

    fn send(&mut self, entry: usize, bytes: &[u8], to: Target) {
        let id = self.entries[entry].id;
        match to {
            Target::Caller => {
                self.deliver(CALLER_DELAY, || Event::ToCaller { bytes: bytes.into() });
            }
            Target::Upstream { ip, path } => {
                if !self.link_faults.drops_packet(id, ip, path % SOURCE_PORTS) {
                    self.deliver(INTERNAL_DELAY, || Event::ToUpstream { ip, bytes: bytes.into() });
                }
            }
            Target::Peer { to, upstream, hops } => {
                let Some(other) = self.find_reachable(id, to) else {
                    return;
                };
                let origin = Origin::Peer(flow::action::Relay { from: id, upstream, hops });
                let generation = self.entries[other].generation;
                self.deliver(INTERNAL_DELAY, || Event::Packet {
                    entry: other,
                    generation,
                    origin,
                    bytes: bytes.into(),
                });
            }
        }
    }

    fn find_reachable(&self, from: Id, to: Id) -> Option<usize> {
        if self.link_faults.is_partitioned(from, to) {
            return None;
        }
        self.entries.iter().position(|entry| entry.id == to)
    }

    /// Schedules an event's arrival over a link that may lose, duplicate or delay it.
    fn deliver(&mut self, delay: Duration, event: impl Fn() -> Event) {
        if self.rng.f64() < self.link_faults.loss {
            return;
        }
        let copies = 1 + usize::from(self.rng.f64() < self.link_faults.duplication);
        for _ in 0..copies {
            let delayed = self.rng.f64() < self.link_faults.reordering;
            let factor = if delayed { 1.0 + 9.0 * self.rng.f64() } else { 1.0 };
            self.push(self.now + delay.mul_f64(factor), event());
        }
    }

    /// Sends packets of a caller or an upstream, each to a random healthy entry.
    fn send_to_random_entries(&mut self, delay: Duration, origin: Origin, packets: Vec<Vec<u8>>) {
        for packet in packets {
            if self.healthy_entries.is_empty() {
                return;
            }
            let entry = self.healthy_entries[self.rng.usize(..self.healthy_entries.len())];
            let generation = self.entries[entry].generation;
            let bytes: Box<[u8]> = packet.into();
            self.deliver(delay, || Event::Packet {
                entry,
                generation,
                origin,
                bytes: bytes.clone(),
            });
        }
    }

    fn on_upstream_packet(&mut self, ip: Ipv4Addr, bytes: &[u8]) {
        let Some(upstream) = self.upstreams.get_mut(&ip) else {
            return;
        };
        let packets = upstream.receive(self.now, bytes, &mut self.stats);
        let open = upstream.connections_since_cold() as f64;
        let cap = f64::from(self.cfg.limits.flows_at(self.now, upstream.cold_since));
        self.stats.peak_over_cap = self.stats.peak_over_cap.max(open / cap);
        self.send_to_random_entries(INTERNAL_DELAY, Origin::Upstream(ip), packets);
        if let Ok(view) = View::parse(bytes) {
            self.wake_connection(ip, Key::from_request(&view));
        }
        self.start_jobs(ip);
    }

    fn step_connection(&mut self, ip: Ipv4Addr, key: Key) {
        let Some(upstream) = self.upstreams.get_mut(&ip).filter(|u| u.behaviour.up) else {
            return;
        };
        let packets = upstream.step(self.now, key, &mut self.stats);
        self.send_to_random_entries(INTERNAL_DELAY, Origin::Upstream(ip), packets);
        self.wake_connection(ip, key);
    }

    fn wake_connection(&mut self, ip: Ipv4Addr, key: Key) {
        let at = self.upstreams.get_mut(&ip).and_then(|u| u.next_wakeup(self.now, &key));
        if let Some(at) = at {
            self.push(at, Event::Connection { ip, key });
        }
    }

    fn start_jobs(&mut self, ip: Ipv4Addr) {
        let upstream = self.upstreams.get_mut(&ip);
        let done = upstream.and_then(|u| u.start_jobs(self.now, &mut self.stats));
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
        let old_phase = self.callers[index].phase;
        let (packets, next) = self.callers[index].step(self.now, &mut self.stats);
        self.attribute_broken(index);
        if old_phase == Phase::Opening && self.callers[index].phase == Phase::Done {
            self.check_refusal(index);
        }
        self.send_to_random_entries(CALLER_DELAY, Origin::Caller, packets);
        if let Some(next) = next {
            self.wake_caller(index, next);
        }
    }

    /// Attributes a flow that broke before its first answer to the upstream that has its
    /// connection.
    fn attribute_broken(&mut self, index: usize) {
        let Some(count) = self.stats.broken.swap_remove(&Ipv4Addr::UNSPECIFIED) else {
            return;
        };
        let caller = SocketAddrV4::new(caller_ip(index), CALLER_PORT);
        let key = Key::new(Protocol::Tcp, caller, self.service.address.socket);
        let holder = self.upstreams.values().find(|upstream| upstream.has_connection(&key));
        let holder = holder.map_or(Ipv4Addr::BROADCAST, |upstream| upstream.ip);
        *self.stats.broken.entry(holder).or_default() += count;
    }

    /// Counts a refusal of a flow that had got an answer. A refused flow must not have run a
    /// request.
    fn check_refusal(&mut self, index: usize) {
        if self.callers[index].upstream.is_some() {
            self.stats.false_refusals += 1;
        }
    }

    pub(crate) fn wake_caller(&mut self, index: usize, at: Timestamp) {
        if self
            .caller_wakeups
            .get(&index)
            .is_some_and(|earlier| *earlier <= at && *earlier > self.now)
        {
            return;
        }
        self.caller_wakeups.insert(index, at);
        self.push(at, Event::Caller { index });
    }

    fn restart_entry(&mut self, entry: usize) {
        let generation = self.entries[entry].generation + 1;
        self.stopped_counters.push(self.entries[entry].engine.counters().clone());
        self.entries[entry] = self.new_entry(entry);
        self.entries[entry].generation = generation;
        self.schedule_entry(entry);
    }
}
