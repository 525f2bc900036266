//! An upstream that runs a limited number of requests at once, over a real TCP stack.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use flow::Key;
use indexmap::IndexMap;
use packet::{View, reply};
use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp::State;
use standins::host::Host;
use standins::protocol::{AnswerHeader, REQUEST_BYTES, Request, service_hash};
use stdx::time::Timestamp;

use crate::caller::{MIN_WAIT, from_stack_time, to_stack_time};
use crate::stats::Stats;

/// Sizes of a connection's socket buffers.
const RX_BUFFER_BYTES: usize = 128;
const TX_BUFFER_BYTES: usize = 512;

/// Behaviour of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Behaviour {
    /// Whether it answers packets at all.
    pub up: bool,
    /// Whether it resets openings.
    pub refuses: bool,
    /// Number of requests that run concurrently.
    pub slots: usize,
    /// Time that it takes to run a request.
    pub run_time: Duration,
}

/// An upstream of the service.
#[derive(Debug)]
pub struct Upstream {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its availability zone.
    pub zone: u8,
    /// Its behaviour.
    pub behaviour: Behaviour,
    /// Start of its warm-up, if any.
    pub cold_since: Option<Timestamp>,
    service: SocketAddrV4,
    connections: IndexMap<Key, Connection>,
    queued: VecDeque<(Key, Request)>,
    running: Vec<Job>,
    jobs_wakeup: Option<Timestamp>,
}

#[derive(Debug)]
struct Connection {
    host: Host,
    handle: SocketHandle,
    wakeup: Option<Timestamp>,
    opened_at: Timestamp,
}

#[derive(Debug)]
struct Job {
    key: Key,
    request: Request,
    done: Timestamp,
}

impl Upstream {
    /// Creates an upstream of a service.
    pub fn new(ip: Ipv4Addr, zone: u8, service: SocketAddrV4, behaviour: Behaviour) -> Self {
        Self {
            ip,
            zone,
            behaviour,
            cold_since: None,
            service,
            connections: IndexMap::new(),
            queued: VecDeque::new(),
            running: Vec::new(),
            jobs_wakeup: None,
        }
    }

    /// Drops all connections and requests, as a restart does.
    pub fn restart(&mut self) {
        self.connections.clear();
        self.queued.clear();
        self.running.clear();
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Number of connections opened since the upstream became cold. Older ones were abandoned when
    /// their zone was taken out of service, and add no load.
    pub fn connections_since_cold(&self) -> usize {
        let adds_load = |c: &&Connection| self.cold_since.is_none_or(|cold| c.opened_at >= cold);
        self.connections.values().filter(adds_load).count()
    }

    /// Whether it has a connection for a flow.
    pub fn has_connection(&self, key: &Key) -> bool {
        self.connections.contains_key(key)
    }

    /// Handles a received packet. Returns the packets to send.
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

    /// Advances one connection. Returns the packets to send.
    pub fn step(&mut self, now: Timestamp, key: Key, stats: &mut Stats) -> Vec<Vec<u8>> {
        let Some(connection) = self.connections.get_mut(&key) else {
            return Vec::new();
        };
        connection.host.poll(to_stack_time(now));
        let socket = connection.host.socket(connection.handle);
        while socket.recv_queue() >= REQUEST_BYTES {
            let mut buf = [0; REQUEST_BYTES];
            let read = socket.recv_slice(&mut buf);
            debug_assert_eq!(read, Ok(REQUEST_BYTES));
            match Request::decode(&buf) {
                Some(request) if request.service == service_hash(self.service) => {
                    self.queued.push_back((key, request));
                }
                _ => stats.misrouted += 1,
            }
        }
        if socket.state() == State::CloseWait && socket.send_queue() == 0 {
            socket.close();
        }
        connection.host.poll(to_stack_time(now));
        let mut packets = Vec::new();
        while let Some(packet) = connection.host.next_outgoing() {
            packets.push(packet);
        }
        let tcp_state = connection.host.socket(connection.handle).state();
        if matches!(tcp_state, State::Closed | State::TimeWait | State::Listen) {
            self.connections.swap_remove(&key);
        }
        packets
    }

    /// Starts queued requests. Returns when to call [`Self::finish_jobs`], unless an earlier call
    /// is already scheduled.
    pub fn start_jobs(&mut self, now: Timestamp, stats: &mut Stats) -> Option<Timestamp> {
        while self.running.len() < self.behaviour.slots {
            let Some((key, request)) = self.queued.pop_front() else {
                break;
            };
            stats.record_execution(request.id);
            self.running.push(Job { key, request, done: now + self.behaviour.run_time });
        }
        let done = self.running.iter().map(|job| job.done).min()?;
        schedule_earlier(&mut self.jobs_wakeup, now, done)
    }

    /// Answers finished requests. Returns the connections to step.
    pub fn finish_jobs(&mut self, now: Timestamp) -> Vec<Key> {
        let finished: Vec<Job> = self.running.extract_if(.., |job| job.done <= now).collect();
        for job in &finished {
            let head = AnswerHeader { request: job.request, upstream: self.ip };
            if let Some(connection) = self.connections.get_mut(&job.key) {
                let socket = connection.host.socket(connection.handle);
                // Fails if the caller has closed the connection in the meantime.
                let _ = socket.send_slice(&head.encode_answer());
            }
        }
        finished.into_iter().map(|job| job.key).collect()
    }

    /// When to call [`Self::step`] for a connection, unless an earlier call is already scheduled.
    pub fn next_wakeup(&mut self, now: Timestamp, key: &Key) -> Option<Timestamp> {
        let connection = self.connections.get_mut(key)?;
        let at = connection.host.poll_at(to_stack_time(now)).map(from_stack_time)?;
        schedule_earlier(&mut connection.wakeup, now, at.max(now + MIN_WAIT))
    }

    fn accept(&mut self, now: Timestamp, key: Key) {
        let seed = u64::from(self.ip.to_bits()) << 32 | u64::from(key.caller_ip.to_bits());
        let mut host = Host::new(to_stack_time(now), *self.service.ip(), seed);
        let handle = host.add_socket(RX_BUFFER_BYTES, TX_BUFFER_BYTES);
        let listening = host.socket(handle).listen(self.service.port());
        debug_assert!(listening.is_ok());
        self.connections.insert(key, Connection { host, handle, wakeup: None, opened_at: now });
    }
}

/// Schedules a wake-up at `at`. Returns it, unless an earlier one is already scheduled.
fn schedule_earlier(
    due: &mut Option<Timestamp>,
    now: Timestamp,
    at: Timestamp,
) -> Option<Timestamp> {
    if due.is_some_and(|due| due > now && due <= at) {
        return None;
    }
    *due = Some(at);
    Some(at)
}
