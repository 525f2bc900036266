//! Stand-in for callers: many hosts with long and short sessions; every answer is verified.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use packet::View;
use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp::State;
use tokio::net::UdpSocket;

use crate::fabric;
use crate::host::Host;
use crate::protocol::{ANSWER_HEADER_BYTES, AnswerHeader, Request, service_hash};

/// Sizes of a connection's buffers in bytes.
const RX_BUFFER_BYTES: usize = 4_096;
const TX_BUFFER_BYTES: usize = 256;

/// Interval at which the sessions of all hosts are processed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time without an answer after which a session counts as broken.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Time without an answer after which an opening counts as unanswered.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Mean delay before a session is opened again after its opening failed or its connection broke.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// First local port of a host; port numbers wrap around to it.
const FIRST_LOCAL_PORT: u16 = 1_024;

/// Largest answer time in the histogram; longer times are recorded as this one.
const MAX_ANSWER_TIME_US: u64 = 60_000_000;

/// Settings of the callers.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Address at which packets are received.
    pub listen: SocketAddr,
    /// Address to which packets are sent.
    pub fabric: SocketAddr,
    /// Address and port of the service.
    pub service: SocketAddrV4,
    /// Address of the first host.
    pub first_host: Ipv4Addr,
    /// Number of hosts.
    pub hosts: u32,
    /// Number of sessions per host.
    pub sessions: u32,
    /// Mean time between two requests of a session.
    pub think_time: Duration,
    /// Percentage of sessions that stay idle after their first request.
    pub idle_percent: u32,
    /// Number of requests after which a session is closed and opened again; `None` for never.
    pub requests_per_session: Option<u32>,
    /// Length of an answer's body in bytes.
    pub body_bytes: u32,
    /// Time at the start over which the sessions are opened.
    pub ramp_time: Duration,
}

/// Statistics since the start.
#[derive(Debug)]
pub struct Stats {
    /// Number of sessions opened.
    pub opened: u64,
    /// Number of openings refused.
    pub refused: u64,
    /// Number of openings without an answer.
    pub unanswered: u64,
    /// Number of valid answers.
    pub ok: u64,
    /// Number of invalid answers.
    pub wrong: u64,
    /// Number of broken sessions, by upstream; 0.0.0.0 if the upstream is unknown.
    pub broken: IndexMap<Ipv4Addr, u64>,
    /// Number of sessions open now.
    pub open: u64,
    /// Distribution of answer times in microseconds.
    pub answer_time_us: Histogram<u64>,
}

/// The running callers.
#[derive(Debug)]
pub struct Callers {
    cfg: Settings,
    socket: UdpSocket,
    hosts: Vec<CallerHost>,
    stats: Stats,
    start: Instant,
    next_id: u64,
    closing: bool,
    rng: fastrand::Rng,
}

#[derive(Debug)]
struct CallerHost {
    host: Host,
    sessions: Vec<Session>,
    next_port: u16,
}

#[derive(Debug)]
struct Session {
    phase: Phase,
    idle: bool,
    answered: u32,
    upstream: Option<Ipv4Addr>,
    port: u16,
}

#[derive(Debug)]
enum Phase {
    /// Not connected until `until`.
    NotConnected { until: Instant },
    /// Connecting.
    Opening { handle: SocketHandle, since: Instant },
    /// Connected; the next request is due at `until`.
    Thinking { handle: SocketHandle, until: Instant },
    /// Waiting for an answer, of which `got` has been received.
    Waiting { handle: SocketHandle, request: Request, since: Instant, got: Vec<u8> },
    /// Closing.
    Closing { handle: SocketHandle, since: Instant },
}

impl Callers {
    /// Binds the port and schedules the opening of all sessions.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub fn start(cfg: Settings) -> io::Result<Self> {
        let start = Instant::now();
        let mut rng = fastrand::Rng::with_seed(u64::from(cfg.first_host.to_bits()));
        let mut host = |index: u32| {
            let ip = Ipv4Addr::from_bits(cfg.first_host.to_bits() + index);
            let sessions = (0..cfg.sessions)
                .map(|_| Session {
                    phase: Phase::NotConnected { until: start + cfg.ramp_time.mul_f64(rng.f64()) },
                    idle: rng.u32(..100) < cfg.idle_percent,
                    answered: 0,
                    upstream: None,
                    port: 0,
                })
                .collect();
            let seed = u64::from(ip.to_bits());
            let host = Host::new(smoltcp::time::Instant::ZERO, ip, seed);
            CallerHost { host, sessions, next_port: FIRST_LOCAL_PORT }
        };
        let hosts = (0..cfg.hosts).map(&mut host).collect();
        Ok(Self {
            cfg,
            socket: fabric::bind(cfg.listen)?,
            hosts,
            stats: Stats::new(),
            start,
            next_id: u64::from(cfg.first_host.to_bits()) << 32,
            closing: false,
            rng,
        })
    }

    /// The statistics since the start.
    pub fn stats(&mut self) -> &Stats {
        let open = self.hosts.iter().flat_map(|host| &host.sessions).filter(|s| s.is_open());
        self.stats.open = open.count() as u64;
        &self.stats
    }

    /// Starts the shutdown: sessions are closed and no more are opened. Each idle session sends one
    /// last request first.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// Whether no session is opening or waiting for an answer.
    pub fn is_quiescent(&self) -> bool {
        let mut sessions = self.hosts.iter().flat_map(|host| &host.sessions);
        !sessions.any(|s| matches!(s.phase, Phase::Waiting { .. } | Phase::Opening { .. }))
    }

    /// Runs the callers until `until`.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket fails permanently.
    pub async fn run_until(&mut self, until: Instant) -> io::Result<()> {
        let mut buf = vec![0; packet::view::MAX_PACKET_BYTES];
        let mut next_poll = Instant::now();
        while Instant::now() < until {
            tokio::select! {
                ready = self.socket.readable() => ready?,
                () = tokio::time::sleep_until(next_poll.into()) => {}
            }
            self.receive(&mut buf);
            if Instant::now() >= next_poll {
                for index in 0..self.hosts.len() {
                    self.step(index);
                }
                next_poll = Instant::now() + POLL_INTERVAL;
            }
        }
        Ok(())
    }

    fn receive(&mut self, buf: &mut [u8]) {
        const BATCH_PACKETS: usize = 256;
        let mut updated: IndexMap<usize, ()> = IndexMap::new();
        for _ in 0..BATCH_PACKETS {
            let Ok((len, _)) = self.socket.try_recv_from(buf) else {
                break;
            };
            let Ok(view) = View::parse(&buf[..len]) else {
                continue;
            };
            let first = self.cfg.first_host.to_bits();
            let index = view.dst.ip().to_bits().wrapping_sub(first) as usize;
            if let Some(host) = self.hosts.get_mut(index) {
                host.host.receive(&buf[..len]);
                updated.insert(index, ());
            }
        }
        for index in updated.into_keys() {
            self.step(index);
        }
    }

    fn step(&mut self, index: usize) {
        let now = Instant::now();
        let micros = now.duration_since(self.start).as_micros();
        let stack_now = smoltcp::time::Instant::from_micros(i64::try_from(micros).unwrap_or(0));
        let host = &mut self.hosts[index];
        host.host.poll(stack_now);
        let mut cx = Context {
            cfg: &self.cfg,
            now,
            closing: self.closing,
            next_id: &mut self.next_id,
            rng: &mut self.rng,
            stats: &mut self.stats,
        };
        for session in &mut host.sessions {
            session.step(&mut host.host, &mut host.next_port, &mut cx);
        }
        host.host.poll(stack_now);
        while let Some(packet) = host.host.next_outgoing() {
            let _ = self.socket.try_send_to(&packet, self.cfg.fabric);
        }
    }
}

/// State that all sessions share during a step.
struct Context<'a> {
    cfg: &'a Settings,
    now: Instant,
    closing: bool,
    next_id: &'a mut u64,
    rng: &'a mut fastrand::Rng,
    stats: &'a mut Stats,
}

impl Context<'_> {
    fn think_time(&mut self) -> Duration {
        self.cfg.think_time.mul_f64(0.5 + self.rng.f64())
    }
}

impl Session {
    fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Thinking { .. } | Phase::Waiting { .. })
    }

    fn step(&mut self, host: &mut Host, next_port: &mut u16, cx: &mut Context<'_>) {
        match &mut self.phase {
            Phase::NotConnected { until } => {
                if *until <= cx.now && !cx.closing {
                    self.open(host, next_port, cx);
                }
            }
            Phase::Opening { handle, since } => {
                let (handle, since) = (*handle, *since);
                self.step_opening(host, handle, since, cx);
            }
            Phase::Thinking { handle, until } => {
                let (handle, until) = (*handle, *until);
                self.step_thinking(host, handle, until, cx);
            }
            Phase::Waiting { .. } => self.step_waiting(host, cx),
            Phase::Closing { handle, since } => {
                let state = host.socket(*handle).state();
                let done = matches!(state, State::Closed | State::TimeWait);
                if done || cx.now.duration_since(*since) > ANSWER_TIMEOUT {
                    host.remove_socket(*handle);
                    self.phase = Phase::NotConnected { until: cx.now + cx.think_time() };
                }
            }
        }
    }

    fn open(&mut self, host: &mut Host, next_port: &mut u16, cx: &mut Context<'_>) {
        let handle = host.add_socket(RX_BUFFER_BYTES, TX_BUFFER_BYTES);
        let port = *next_port;
        *next_port = port.checked_add(1).unwrap_or(FIRST_LOCAL_PORT);
        let result = host.connect(handle, cx.cfg.service, port);
        debug_assert!(result.is_ok());
        self.upstream = None;
        self.answered = 0;
        self.port = port;
        self.phase = Phase::Opening { handle, since: cx.now };
    }

    fn step_opening(
        &mut self,
        host: &mut Host,
        handle: SocketHandle,
        since: Instant,
        cx: &mut Context<'_>,
    ) {
        let timed_out = cx.now.duration_since(since) > CONNECT_TIMEOUT;
        match host.socket(handle).state() {
            State::Established => {
                cx.stats.opened += 1;
                self.phase = Phase::Thinking { handle, until: cx.now };
            }
            State::Closed | State::CloseWait if !timed_out => {
                cx.stats.refused += 1;
                self.drop_connection(host, handle, cx);
            }
            _ if timed_out => {
                cx.stats.unanswered += 1;
                self.drop_connection(host, handle, cx);
            }
            _ => {}
        }
    }

    fn step_thinking(
        &mut self,
        host: &mut Host,
        handle: SocketHandle,
        until: Instant,
        cx: &mut Context<'_>,
    ) {
        let socket = host.socket(handle);
        if socket.state() != State::Established {
            self.record_broken(host, handle, cx);
            return;
        }
        let stays_idle = self.idle && self.answered > 0 && !cx.closing;
        let sends_last = self.idle && cx.closing;
        if stays_idle || (until > cx.now && !sends_last) {
            return;
        }
        let finished =
            cx.cfg.requests_per_session.is_some_and(|requests| self.answered >= requests);
        if finished || (cx.closing && !self.idle) {
            socket.close();
            self.phase = Phase::Closing { handle, since: cx.now };
            return;
        }
        // An idle session sends one last request at shutdown, to verify that it still works.
        self.idle = false;
        *cx.next_id += 1;
        let service = service_hash(cx.cfg.service);
        let request = Request { id: *cx.next_id, service, body: cx.cfg.body_bytes };
        let result = socket.send_slice(&request.encode());
        debug_assert!(result.is_ok());
        self.phase = Phase::Waiting { handle, request, since: cx.now, got: Vec::new() };
    }

    fn step_waiting(&mut self, host: &mut Host, cx: &mut Context<'_>) {
        let Phase::Waiting { handle, request, since, got } = &mut self.phase else {
            return;
        };
        let (handle, request, since) = (*handle, *request, *since);
        let socket = host.socket(handle);
        let result = socket.recv(|data| {
            got.extend_from_slice(data);
            (data.len(), ())
        });
        let expected_len = ANSWER_HEADER_BYTES + request.body as usize;
        if got.len() >= expected_len {
            self.upstream = AnswerHeader::decode(got).map(|header| header.upstream);
            let valid = is_valid_answer(got, request);
            let elapsed_us = cx.now.duration_since(since).as_micros();
            cx.stats.answer_time_us.saturating_record(elapsed_us as u64);
            *if valid { &mut cx.stats.ok } else { &mut cx.stats.wrong } += 1;
            self.answered += 1;
            self.phase = Phase::Thinking { handle, until: cx.now + cx.think_time() };
            return;
        }
        let timed_out = cx.now.duration_since(since) > ANSWER_TIMEOUT;
        let disconnected = result.is_err() && socket.state() != State::Established;
        if timed_out || disconnected {
            self.record_broken(host, handle, cx);
        }
    }

    fn record_broken(&mut self, host: &mut Host, handle: SocketHandle, cx: &mut Context<'_>) {
        let upstream = self.upstream.unwrap_or(Ipv4Addr::UNSPECIFIED);
        let ip = host.ip();
        let socket = host.socket(handle);
        eprintln!(
            "session broken: local port and IP {:?}, upstream {upstream}, {}, {:?}, {} answers",
            (self.port, ip),
            socket.state(),
            self.phase,
            self.answered
        );
        *cx.stats.broken.entry(upstream).or_default() += 1;
        self.drop_connection(host, handle, cx);
    }

    fn drop_connection(&mut self, host: &mut Host, handle: SocketHandle, cx: &mut Context<'_>) {
        host.remove_socket(handle);
        let until = cx.now + RETRY_DELAY.mul_f64(0.5 + cx.rng.f64());
        self.phase = Phase::NotConnected { until };
    }
}

impl Stats {
    fn new() -> Self {
        // `Histogram::new_with_max` can't fail for these constants.
        let answer_time_us = Histogram::new_with_max(MAX_ANSWER_TIME_US, 3);
        Self {
            opened: 0,
            refused: 0,
            unanswered: 0,
            ok: 0,
            wrong: 0,
            broken: IndexMap::new(),
            open: 0,
            answer_time_us: answer_time_us.unwrap_or_else(|e| unreachable!("{e}")),
        }
    }
}

/// Whether an answer belongs to the request, is complete and has the expected body.
fn is_valid_answer(got: &[u8], request: Request) -> bool {
    let expected_len = ANSWER_HEADER_BYTES + request.body as usize;
    let header_valid = AnswerHeader::decode(got).is_some_and(|header| header.request == request);
    let body = got.get(ANSWER_HEADER_BYTES..expected_len).unwrap_or_default();
    let body_valid = body.iter().zip(0..).all(|(byte, offset)| *byte == request.body_byte(offset));
    header_valid && body_valid && got.len() == expected_len
}
