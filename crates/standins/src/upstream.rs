//! Stand-in for an upstream: a TCP server in user space with a few slots, that may turn cold.

use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp::State;
use tokio::net::UdpSocket;

use crate::delay::Line;
use crate::fabric;
use crate::host::Host;
use crate::protocol::{AnswerHeader, REQUEST_BYTES, Request, service_hash};

/// Sockets that wait for new connections.
const LISTENING: usize = 32;

/// Sizes of a connection's buffers in bytes.
const RX_BYTES: usize = 512;
const TX_BYTES: usize = 4_096;

/// Longest sleep of the loop.
const IDLE: Duration = Duration::from_millis(5);

/// How much slower requests run directly after a cold start.
const COLD_FACTOR: f64 = 4.0;

/// Time until a cold upstream is warm.
const COLD_TIME: Duration = Duration::from_secs(5);

/// The settings of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Where it receives packets; its address names it.
    pub listen: SocketAddr,
    /// Where it sends replies.
    pub fabric: SocketAddr,
    /// The service it serves.
    pub service: SocketAddrV4,
    /// Requests that run at the same time.
    pub slots: usize,
    /// Time that a request runs when warm.
    pub run_time: Duration,
    /// One-way delay from the entries.
    pub delay: Duration,
    /// Most open connections.
    pub max_connections: usize,
}

/// What others may see and change while the upstream runs.
#[derive(Debug, Default)]
pub struct Shared {
    state: Mutex<Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    executed: Vec<u64>,
    cold_since: Option<Instant>,
    foreign: u64,
    open: usize,
    last_packet: Option<Instant>,
}

impl Shared {
    /// The requests that have run, once for each run.
    pub fn executed(&self) -> Vec<u64> {
        self.lock().executed.clone()
    }

    /// Turns the upstream cold.
    pub fn turn_cold(&self) {
        self.lock().cold_since = Some(Instant::now());
    }

    /// Requests of another service that have arrived.
    pub fn foreign(&self) -> u64 {
        self.lock().foreign
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        self.lock().open
    }

    /// Time since the last packet, if there was one.
    pub fn silent_for(&self) -> Option<Duration> {
        self.lock().last_packet.map(|at| at.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The running upstream.
#[derive(Debug)]
pub struct Upstream {
    cfg: Settings,
    shared: Arc<Shared>,
    socket: UdpSocket,
    host: Host,
    arriving: Line<Vec<u8>>,
    listening: Vec<SocketHandle>,
    connections: Vec<Connection>,
    waiting: VecDeque<(SocketHandle, Request)>,
    running: Vec<Job>,
    ip: Ipv4Addr,
    start: Instant,
}

#[derive(Debug)]
struct Connection {
    handle: SocketHandle,
    unsent: Vec<u8>,
}

#[derive(Debug)]
struct Job {
    handle: SocketHandle,
    request: Request,
    done: Instant,
}

impl Upstream {
    /// Binds the port.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub fn start(cfg: Settings, shared: Arc<Shared>) -> io::Result<Self> {
        let IpAddr::V4(ip) = cfg.listen.ip() else {
            return Err(io::Error::other("expected an IPv4 address"));
        };
        let seed = u64::from(ip.to_bits());
        let host = Host::new(smoltcp::time::Instant::ZERO, *cfg.service.ip(), seed);
        Ok(Self {
            cfg,
            shared,
            socket: fabric::bind(cfg.listen)?,
            host,
            arriving: Line::new(cfg.delay),
            listening: Vec::new(),
            connections: Vec::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            ip,
            start: Instant::now(),
        })
    }

    /// Serves until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket fails for good.
    pub async fn run(mut self) -> io::Result<()> {
        let mut buf = vec![0; packet::view::MAX_PACKET_BYTES];
        loop {
            self.step();
            let wake = self.next_at();
            tokio::select! {
                ready = self.socket.readable() => ready?,
                () = tokio::time::sleep_until(wake.into()) => {}
            }
            while let Ok((len, _)) = self.socket.try_recv_from(&mut buf) {
                self.arriving.push(Instant::now(), buf[..len].to_vec());
            }
        }
    }

    fn step(&mut self) {
        let now = Instant::now();
        let mut arrived = false;
        while let Some(packet) = self.arriving.pop(now) {
            self.host.receive(&packet);
            arrived = true;
        }
        if arrived {
            self.shared.lock().last_packet = Some(now);
        }
        self.listen();
        self.poll(now);
        self.accept();
        self.serve(now);
        self.poll(now);
    }

    fn poll(&mut self, now: Instant) {
        let micros = now.duration_since(self.start).as_micros();
        let micros = i64::try_from(micros).unwrap_or(i64::MAX);
        self.host.poll(smoltcp::time::Instant::from_micros(micros));
        while let Some(packet) = self.host.next_outgoing() {
            let _ = self.socket.try_send_to(&packet, self.cfg.fabric);
        }
    }

    /// Keeps enough sockets waiting for connections.
    fn listen(&mut self) {
        let room = self.cfg.max_connections.saturating_sub(self.connections.len());
        while self.listening.len() < LISTENING.min(room) {
            let handle = self.host.add_socket(RX_BYTES, TX_BYTES);
            let listens = self.host.socket(handle).listen(self.cfg.service.port());
            debug_assert!(listens.is_ok());
            self.listening.push(handle);
        }
    }

    fn accept(&mut self) {
        let (host, connections) = (&mut self.host, &mut self.connections);
        self.listening.retain(|handle| {
            let waits = host.socket(*handle).state() == State::Listen;
            if !waits {
                connections.push(Connection { handle: *handle, unsent: Vec::new() });
            }
            waits
        });
    }

    fn serve(&mut self, now: Instant) {
        let run_time = self.run_time(now);
        self.finish_jobs(now);
        let mut closed = Vec::new();
        for connection in &mut self.connections {
            let socket = self.host.socket(connection.handle);
            while socket.recv_queue() >= REQUEST_BYTES {
                let mut buf = [0; REQUEST_BYTES];
                let Ok(REQUEST_BYTES) = socket.recv_slice(&mut buf) else {
                    break;
                };
                match Request::decode(&buf) {
                    Some(request) if request.service == service_hash(self.cfg.service) => {
                        self.waiting.push_back((connection.handle, request));
                    }
                    _ => self.shared.lock().foreign += 1,
                }
            }
            connection.send(socket);
            if socket.state() == State::CloseWait && connection.unsent.is_empty() {
                socket.close();
            }
            if matches!(socket.state(), State::Closed | State::TimeWait) {
                closed.push(connection.handle);
            }
        }
        self.remove(&closed);
        while self.running.len() < self.cfg.slots {
            let Some((handle, request)) = self.waiting.pop_front() else {
                break;
            };
            self.shared.lock().executed.push(request.id);
            self.running.push(Job { handle, request, done: now + run_time });
        }
        self.shared.lock().open = self.connections.len();
    }

    fn finish_jobs(&mut self, now: Instant) {
        for job in self.running.extract_if(.., |job| job.done <= now) {
            let head = AnswerHeader { request: job.request, upstream: self.ip };
            let connection = self.connections.iter_mut().find(|c| c.handle == job.handle);
            if let Some(connection) = connection {
                connection.unsent.extend(head.encode_answer());
            }
        }
    }

    fn remove(&mut self, closed: &[SocketHandle]) {
        if closed.is_empty() {
            return;
        }
        self.connections.retain(|connection| !closed.contains(&connection.handle));
        self.waiting.retain(|(handle, _)| !closed.contains(handle));
        self.running.retain(|job| !closed.contains(&job.handle));
        for handle in closed {
            self.host.remove_socket(*handle);
        }
    }

    fn run_time(&self, now: Instant) -> Duration {
        let cold = self.shared.lock().cold_since.map(|since| now.duration_since(since));
        match cold {
            Some(age) if age < COLD_TIME => {
                let left = 1.0 - age.as_secs_f64() / COLD_TIME.as_secs_f64();
                self.cfg.run_time.mul_f64(1.0 + (COLD_FACTOR - 1.0) * left)
            }
            _ => self.cfg.run_time,
        }
    }

    fn next_at(&self) -> Instant {
        let idle = Instant::now() + IDLE;
        let job = self.running.iter().map(|job| job.done).min();
        [self.arriving.next_at(), job].into_iter().flatten().fold(idle, Instant::min)
    }
}

impl Connection {
    fn send(&mut self, socket: &mut smoltcp::socket::tcp::Socket<'static>) {
        if self.unsent.is_empty() || !socket.can_send() {
            return;
        }
        if let Ok(sent) = socket.send_slice(&self.unsent) {
            self.unsent.drain(..sent);
        }
    }
}
