//! Stand-in for an upstream: a user-space TCP server that processes a limited number of requests at
//! a time and can simulate a cold start.

use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp::State;
use tokio::net::UdpSocket;

use crate::delay::DelayLine;
use crate::fabric;
use crate::host::Host;
use crate::protocol::{AnswerHeader, REQUEST_BYTES, Request, service_hash};

/// Number of sockets kept listening for new connections.
const LISTEN_SOCKETS: usize = 32;

/// Sizes of a connection's buffers in bytes.
const RX_BUFFER_BYTES: usize = 512;
const TX_BUFFER_BYTES: usize = 4_096;

/// Longest wait of the main loop without an event.
const MAX_SLEEP: Duration = Duration::from_millis(5);

/// Run time of a request directly after a cold start, relative to that of a warm upstream.
const COLD_SLOWDOWN_FACTOR: f64 = 4.0;

/// Time from a cold start until the upstream is warm.
const WARMUP_TIME: Duration = Duration::from_secs(5);

/// Settings of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Address at which packets are received; the IP address identifies the upstream.
    pub listen: SocketAddr,
    /// Address to which replies are sent.
    pub fabric: SocketAddr,
    /// Address and port of the service.
    pub service: SocketAddrV4,
    /// Maximum number of requests processed at the same time.
    pub slots: usize,
    /// Processing time of a request when the upstream is warm.
    pub run_time: Duration,
    /// One-way delay from the entries.
    pub delay: Duration,
    /// Maximum number of open connections.
    pub max_connections: usize,
}

/// State that the admin port reads and changes while the upstream runs.
#[derive(Debug, Default)]
pub struct SharedState {
    state: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    executed: Vec<u64>,
    cold_since: Option<Instant>,
    misrouted: u64,
    open_connections: usize,
    last_packet_at: Option<Instant>,
}

impl SharedState {
    /// Ids of the requests that were started, one entry for each execution.
    pub fn executed(&self) -> Vec<u64> {
        self.lock().executed.clone()
    }

    /// Simulates a cold start: requests run slower until the upstream is warm again.
    pub fn start_cold(&self) {
        self.lock().cold_since = Some(Instant::now());
    }

    /// Number of requests received that were malformed or for another service.
    pub fn misrouted(&self) -> u64 {
        self.lock().misrouted
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.lock().open_connections
    }

    /// Time since the last packet was received, if any.
    pub fn time_since_last_packet(&self) -> Option<Duration> {
        self.lock().last_packet_at.map(|at| at.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The running upstream.
#[derive(Debug)]
pub struct Upstream {
    cfg: Settings,
    shared: Arc<SharedState>,
    socket: UdpSocket,
    host: Host,
    incoming: DelayLine<Vec<u8>>,
    listening: Vec<SocketHandle>,
    connections: Vec<Connection>,
    queued: VecDeque<(SocketHandle, Request)>,
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
    done_at: Instant,
}

impl Upstream {
    /// Binds the port and creates the TCP stack.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub fn start(cfg: Settings, shared: Arc<SharedState>) -> io::Result<Self> {
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
            incoming: DelayLine::new(cfg.delay),
            listening: Vec::new(),
            connections: Vec::new(),
            queued: VecDeque::new(),
            running: Vec::new(),
            ip,
            start: Instant::now(),
        })
    }

    /// Serves requests until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket fails permanently.
    pub async fn run(mut self) -> io::Result<()> {
        let mut buf = vec![0; packet::view::MAX_PACKET_BYTES];
        loop {
            self.step();
            let wake_at = self.next_at();
            tokio::select! {
                ready = self.socket.readable() => ready?,
                () = tokio::time::sleep_until(wake_at.into()) => {}
            }
            while let Ok((len, _)) = self.socket.try_recv_from(&mut buf) {
                self.incoming.push(Instant::now(), buf[..len].to_vec());
            }
        }
    }

    fn step(&mut self) {
        let now = Instant::now();
        let mut arrived = false;
        while let Some(packet) = self.incoming.pop(now) {
            self.host.receive(&packet);
            arrived = true;
        }
        if arrived {
            self.shared.lock().last_packet_at = Some(now);
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

    /// Adds listening sockets, up to the maximum number of connections.
    fn listen(&mut self) {
        let room = self.cfg.max_connections.saturating_sub(self.connections.len());
        while self.listening.len() < LISTEN_SOCKETS.min(room) {
            let handle = self.host.add_socket(RX_BUFFER_BYTES, TX_BUFFER_BYTES);
            let result = self.host.socket(handle).listen(self.cfg.service.port());
            debug_assert!(result.is_ok());
            self.listening.push(handle);
        }
    }

    fn accept(&mut self) {
        let (host, connections) = (&mut self.host, &mut self.connections);
        self.listening.retain(|handle| {
            let is_listening = host.socket(*handle).state() == State::Listen;
            if !is_listening {
                connections.push(Connection { handle: *handle, unsent: Vec::new() });
            }
            is_listening
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
                        self.queued.push_back((connection.handle, request));
                    }
                    _ => self.shared.lock().misrouted += 1,
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
        self.remove_connections(&closed);
        while self.running.len() < self.cfg.slots {
            let Some((handle, request)) = self.queued.pop_front() else {
                break;
            };
            self.shared.lock().executed.push(request.id);
            self.running.push(Job { handle, request, done_at: now + run_time });
        }
        self.shared.lock().open_connections = self.connections.len();
    }

    fn finish_jobs(&mut self, now: Instant) {
        for job in self.running.extract_if(.., |job| job.done_at <= now) {
            let header = AnswerHeader { request: job.request, upstream: self.ip };
            let connection = self.connections.iter_mut().find(|c| c.handle == job.handle);
            if let Some(connection) = connection {
                connection.unsent.extend(header.encode_answer());
            }
        }
    }

    fn remove_connections(&mut self, closed: &[SocketHandle]) {
        if closed.is_empty() {
            return;
        }
        self.connections.retain(|connection| !closed.contains(&connection.handle));
        self.queued.retain(|(handle, _)| !closed.contains(handle));
        self.running.retain(|job| !closed.contains(&job.handle));
        for handle in closed {
            self.host.remove_socket(*handle);
        }
    }

    fn run_time(&self, now: Instant) -> Duration {
        let cold_for = self.shared.lock().cold_since.map(|since| now.duration_since(since));
        match cold_for {
            Some(age) if age < WARMUP_TIME => {
                let remaining = 1.0 - age.as_secs_f64() / WARMUP_TIME.as_secs_f64();
                self.cfg.run_time.mul_f64(1.0 + (COLD_SLOWDOWN_FACTOR - 1.0) * remaining)
            }
            _ => self.cfg.run_time,
        }
    }

    fn next_at(&self) -> Instant {
        let deadline = Instant::now() + MAX_SLEEP;
        let job = self.running.iter().map(|job| job.done_at).min();
        [self.incoming.next_at(), job].into_iter().flatten().fold(deadline, Instant::min)
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
