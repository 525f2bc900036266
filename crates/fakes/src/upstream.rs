//! An upstream with a few slots, over real TCP.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use flow::Key;
use indexmap::IndexMap;
use packet::{View, reply};
use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp::State;
use standins::answer::{Head, REQUEST_BYTES, Request, service_hash};
use standins::host::Host;
use stdx::time::Timestamp;

use crate::caller::{MIN_WAIT, real_time, stack_time};
use crate::stats::Stats;

/// Sizes of a connection's buffers in bytes.
const RX_BYTES: usize = 128;
const TX_BYTES: usize = 512;

/// How an upstream behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Behaviour {
    /// Whether it is there at all.
    pub up: bool,
    /// Whether it answers openings with a refusal.
    pub refuses: bool,
    /// Requests that run at the same time.
    pub slots: usize,
    /// Time that a request runs.
    pub run_time: Duration,
}

/// An upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its availability zone.
    pub zone: u8,
    /// How it behaves.
    pub behaviour: Behaviour,
    /// Since when it warms up.
    pub cold_since: Option<Timestamp>,
    service: SocketAddrV4,
    connections: IndexMap<Key, Connection>,
    waiting: VecDeque<(Key, Request)>,
    running: Vec<Job>,
    jobs_at: Option<Timestamp>,
}

#[derive(Debug)]
struct Connection {
    host: Host,
    handle: SocketHandle,
    wake_at: Option<Timestamp>,
    opened: Timestamp,
}

#[derive(Debug)]
struct Job {
    key: Key,
    request: Request,
    done: Timestamp,
}

impl Upstream {
    /// An upstream of a service.
    pub fn new(ip: Ipv4Addr, zone: u8, service: SocketAddrV4, behaviour: Behaviour) -> Self {
        Self {
            ip,
            zone,
            behaviour,
            cold_since: None,
            service,
            connections: IndexMap::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            jobs_at: None,
        }
    }

    /// Forgets all connections, as a restart does.
    pub fn restart(&mut self) {
        self.connections.clear();
        self.waiting.clear();
        self.running.clear();
    }

    /// Open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Connections opened since the upstream was cold; those that a zone's removal has given up
    /// stay silent and are no load.
    pub fn connections_since_cold(&self) -> usize {
        let counts = |c: &&Connection| self.cold_since.is_none_or(|cold| c.opened >= cold);
        self.connections.values().filter(counts).count()
    }

    /// Whether it has a connection of a flow.
    pub fn has_connection(&self, key: &Key) -> bool {
        self.connections.contains_key(key)
    }

    /// Takes a packet; returns packets to be sent.
    pub fn receive(&mut self, now: Timestamp, bytes: &[u8], stats: &mut Stats) -> Vec<Vec<u8>> {
        let Ok(view) = View::parse(bytes) else {
            return Vec::new();
        };
        if !self.behaviour.up {
            return Vec::new();
        }
        stats.last_packet.insert(self.ip, now);
        if view.dst != self.service {
            stats.misrouted += 1;
            return Vec::new();
        }
        let key = Key::from_request(&view);
        if !self.connections.contains_key(&key) {
            if !view.is_opening() || self.behaviour.refuses {
                return reply::reset(&view).map(Vec::from).into_iter().collect();
            }
            self.accept(now, key);
        }
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.host.receive(bytes);
        }
        self.step(now, key, stats)
    }

    /// Lets one connection work; returns packets to be sent.
    pub fn step(&mut self, now: Timestamp, key: Key, stats: &mut Stats) -> Vec<Vec<u8>> {
        let Some(connection) = self.connections.get_mut(&key) else {
            return Vec::new();
        };
        connection.host.poll(stack_time(now));
        let socket = connection.host.socket(connection.handle);
        while socket.recv_queue() >= REQUEST_BYTES {
            let mut buf = [0; REQUEST_BYTES];
            let read = socket.recv_slice(&mut buf);
            debug_assert_eq!(read, Ok(REQUEST_BYTES));
            match Request::decode(&buf) {
                Some(request) if request.service == service_hash(self.service) => {
                    self.waiting.push_back((key, request));
                }
                _ => stats.misrouted += 1,
            }
        }
        if socket.state() == State::CloseWait && socket.send_queue() == 0 {
            socket.close();
        }
        connection.host.poll(stack_time(now));
        let mut packets = Vec::new();
        while let Some(packet) = connection.host.next_outgoing() {
            packets.push(packet);
        }
        let state = connection.host.socket(connection.handle).state();
        if matches!(state, State::Closed | State::TimeWait | State::Listen) {
            self.connections.swap_remove(&key);
        }
        packets
    }

    /// Starts waiting requests; returns when to call [`Self::finish_jobs`] if that is news.
    pub fn start_jobs(&mut self, now: Timestamp, stats: &mut Stats) -> Option<Timestamp> {
        while self.running.len() < self.behaviour.slots {
            let Some((key, request)) = self.waiting.pop_front() else {
                break;
            };
            stats.record_execution(request.id);
            self.running.push(Job { key, request, done: now + self.behaviour.run_time });
        }
        let done = self.running.iter().map(|job| job.done).min()?;
        earlier(&mut self.jobs_at, now, done)
    }

    /// Answers finished requests; returns the connections to step.
    pub fn finish_jobs(&mut self, now: Timestamp) -> Vec<Key> {
        let finished: Vec<Job> = self.running.extract_if(.., |job| job.done <= now).collect();
        for job in &finished {
            let head = Head { request: job.request, upstream: self.ip };
            if let Some(connection) = self.connections.get_mut(&job.key) {
                let socket = connection.host.socket(connection.handle);
                // A caller that has gone no longer takes its answer.
                let _ = socket.send_slice(&head.encode_answer());
            }
        }
        finished.into_iter().map(|job| job.key).collect()
    }

    /// When to call [`Self::step`] for a connection if that is news.
    pub fn next_at(&mut self, now: Timestamp, key: &Key) -> Option<Timestamp> {
        let connection = self.connections.get_mut(key)?;
        let at = connection.host.poll_at(stack_time(now)).map(real_time)?;
        earlier(&mut connection.wake_at, now, at.max(now + MIN_WAIT))
    }

    fn accept(&mut self, now: Timestamp, key: Key) {
        let seed = u64::from(self.ip.to_bits()) << 32 | u64::from(key.caller_ip.to_bits());
        let mut host = Host::new(stack_time(now), *self.service.ip(), seed);
        let handle = host.add_socket(RX_BYTES, TX_BYTES);
        let listens = host.socket(handle).listen(self.service.port());
        debug_assert!(listens.is_ok());
        self.connections.insert(key, Connection { host, handle, wake_at: None, opened: now });
    }
}

/// Notes that something is due at `at`; returns it unless something earlier is due already.
fn earlier(due: &mut Option<Timestamp>, now: Timestamp, at: Timestamp) -> Option<Timestamp> {
    if due.is_some_and(|due| due > now && due <= at) {
        return None;
    }
    *due = Some(at);
    Some(at)
}
