//! A caller with one flow over real TCP.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp::State;
use standins::host::Host;
use standins::protocol::{ANSWER_HEADER_BYTES, AnswerHeader, Request, service_hash};
use stdx::time::Timestamp;

use crate::stats::Stats;

/// Time without an answer after which a flow is counted as broken.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Time after which an opening is counted as unanswered.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Sizes of the socket buffers.
const RX_BUFFER_BYTES: usize = 1_024;
const TX_BUFFER_BYTES: usize = 64;

/// Requested length of an answer's body.
const BODY_BYTES: u32 = 100;

/// Minimum time between polls of the TCP stack; some of its timers remain due after a poll.
pub(crate) const MIN_WAIT: Duration = Duration::from_millis(1);

/// Behaviour of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// When it connects.
    pub start: Timestamp,
    /// Number of requests after which it closes the flow; `None` to keep the flow open.
    pub requests: Option<u32>,
    /// Pause between an answer and the next request.
    pub think_time: Duration,
    /// If set, the flow is idle from its first answer until then.
    pub idle_until: Option<Timestamp>,
}

/// State of a caller's flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Not connected yet.
    NotStarted,
    /// Connecting.
    Opening,
    /// Connected, with no request outstanding.
    Thinking,
    /// Waiting for an answer.
    Waiting,
    /// Closing.
    Closing,
    /// Completed, refused, unanswered or broken.
    Done,
}

/// A caller that opens one flow.
#[derive(Debug)]
pub struct Caller {
    /// The state of its flow.
    pub phase: Phase,
    /// The upstream that sent the last answer.
    pub upstream: Option<Ipv4Addr>,
    plan: Plan,
    service: SocketAddrV4,
    host: Host,
    handle: SocketHandle,
    port: u16,
    waiting_since: Timestamp,
    next_request: Timestamp,
    request: Option<Request>,
    next_id: u64,
    answered: u32,
    buf: Vec<u8>,
}

impl Caller {
    /// Creates a caller at `ip`.
    pub fn new(ip: Ipv4Addr, port: u16, service: SocketAddrV4, plan: Plan) -> Self {
        let seed = u64::from(ip.to_bits()) << 16 | u64::from(port);
        let mut host = Host::new(to_stack_time(plan.start), ip, seed);
        let handle = host.add_socket(RX_BUFFER_BYTES, TX_BUFFER_BYTES);
        Self {
            phase: Phase::NotStarted,
            upstream: None,
            plan,
            service,
            host,
            handle,
            port,
            waiting_since: plan.start,
            next_request: plan.start,
            request: None,
            next_id: seed << 16,
            answered: 0,
            buf: Vec::new(),
        }
    }

    /// Passes a received packet to the TCP stack.
    pub fn receive(&mut self, packet: &[u8]) {
        self.host.receive(packet);
    }

    /// Advances the caller to `now`. Returns the packets to send and the time of the next call.
    pub fn step(&mut self, now: Timestamp, stats: &mut Stats) -> (Vec<Vec<u8>>, Option<Timestamp>) {
        self.host.poll(to_stack_time(now));
        self.advance(now, stats);
        self.host.poll(to_stack_time(now));
        let mut packets = Vec::new();
        while let Some(packet) = self.host.next_outgoing() {
            packets.push(packet);
        }
        (packets, self.next_at(now))
    }

    /// Whether the flow is open.
    pub fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Thinking | Phase::Waiting)
    }

    fn advance(&mut self, now: Timestamp, stats: &mut Stats) {
        match self.phase {
            Phase::NotStarted if now >= self.plan.start => self.open(now),
            Phase::Opening => self.advance_opening(now, stats),
            Phase::Thinking => self.advance_thinking(now, stats),
            Phase::Waiting => self.advance_waiting(now, stats),
            Phase::Closing => {
                let tcp_state = self.host.socket(self.handle).state();
                if matches!(tcp_state, State::Closed | State::TimeWait) {
                    self.phase = Phase::Done;
                }
            }
            Phase::NotStarted | Phase::Done => {}
        }
    }

    fn open(&mut self, now: Timestamp) {
        let connected = self.host.connect(self.handle, self.service, self.port);
        debug_assert!(connected.is_ok());
        self.waiting_since = now;
        self.phase = Phase::Opening;
    }

    fn advance_opening(&mut self, now: Timestamp, stats: &mut Stats) {
        match self.host.socket(self.handle).state() {
            State::Established => {
                stats.opened += 1;
                self.phase = Phase::Thinking;
                self.next_request = now;
                self.advance_thinking(now, stats);
            }
            State::Closed => {
                stats.refused += 1;
                self.phase = Phase::Done;
            }
            _ if now.since(self.waiting_since) > CONNECT_TIMEOUT => {
                stats.unanswered += 1;
                self.phase = Phase::Done;
            }
            _ => {}
        }
    }

    fn advance_thinking(&mut self, now: Timestamp, stats: &mut Stats) {
        if self.host.socket(self.handle).state() != State::Established {
            return self.record_broken(stats);
        }
        if now < self.next_request {
            return;
        }
        if self.plan.requests.is_some_and(|requests| self.answered >= requests) {
            self.host.socket(self.handle).close();
            self.phase = Phase::Closing;
            return;
        }
        self.next_id += 1;
        let service = service_hash(self.service);
        let request = Request { id: self.next_id, service, body: BODY_BYTES };
        let sent = self.host.socket(self.handle).send_slice(&request.encode());
        debug_assert!(sent.is_ok());
        self.request = Some(request);
        self.buf.clear();
        self.waiting_since = now;
        self.phase = Phase::Waiting;
    }

    fn advance_waiting(&mut self, now: Timestamp, stats: &mut Stats) {
        let Some(request) = self.request else {
            return;
        };
        let buf = &mut self.buf;
        let socket = self.host.socket(self.handle);
        let read = socket.recv(|data| {
            buf.extend_from_slice(data);
            (data.len(), ())
        });
        if buf.len() >= ANSWER_HEADER_BYTES + request.body as usize {
            return self.record_answer(now, request, stats);
        }
        let closed = read.is_err() && socket.state() != State::Established;
        if closed || now.since(self.waiting_since) > ANSWER_TIMEOUT {
            self.record_broken(stats);
        }
    }

    fn record_answer(&mut self, now: Timestamp, request: Request, stats: &mut Stats) {
        let head = AnswerHeader::decode(&self.buf);
        let upstream = head.map(|head| head.upstream);
        let wrong_upstream = self.upstream.is_some() && self.upstream != upstream;
        let is_correct = head.is_some_and(|head| head.request == request && !wrong_upstream)
            && self.buf == head.map(|head| head.encode_answer()).unwrap_or_default();
        *if is_correct { &mut stats.ok } else { &mut stats.wrong } += 1;
        stats.answer_us.push(now.since(self.waiting_since).as_micros() as u64);
        self.upstream = upstream;
        self.answered += 1;
        self.phase = Phase::Thinking;
        self.next_request = match self.plan.idle_until {
            Some(idle_until) if now < idle_until => idle_until,
            _ => now + self.plan.think_time,
        };
    }

    fn record_broken(&mut self, stats: &mut Stats) {
        let upstream = self.upstream.unwrap_or(Ipv4Addr::UNSPECIFIED);
        *stats.broken.entry(upstream).or_default() += 1;
        stats.broken_callers.extend(self.host.ip());
        self.phase = Phase::Done;
    }

    fn next_at(&mut self, now: Timestamp) -> Option<Timestamp> {
        let timer = match self.phase {
            Phase::NotStarted => Some(self.plan.start),
            Phase::Opening => Some(self.waiting_since + CONNECT_TIMEOUT + Duration::from_millis(1)),
            Phase::Thinking => Some(self.next_request),
            Phase::Waiting => Some(self.waiting_since + ANSWER_TIMEOUT + Duration::from_millis(1)),
            Phase::Closing | Phase::Done => None,
        };
        if self.phase == Phase::Done {
            return None;
        }
        let stack = self.host.poll_at(to_stack_time(now)).map(from_stack_time);
        [timer, stack].into_iter().flatten().min().map(|at| at.max(now + MIN_WAIT))
    }
}

/// Converts a time to the TCP stack's type.
pub(crate) fn to_stack_time(now: Timestamp) -> smoltcp::time::Instant {
    smoltcp::time::Instant::from_micros(now.as_micros().cast_signed())
}

/// Converts a time from the TCP stack's type.
pub(crate) fn from_stack_time(at: smoltcp::time::Instant) -> Timestamp {
    Timestamp(at.total_micros().cast_unsigned())
}
