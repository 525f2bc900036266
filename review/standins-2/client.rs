//! A client that keeps a flow open for many requests, with pauses between them.

use std::net::{SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::Endpoint;
use crate::node::{self, Node};
use crate::record::Record;
use crate::wire::{self, ACK, FIN, Packet, RST, SYN};

const FIRST_RESEND: Duration = Duration::from_millis(200);
const MAX_RESEND: Duration = Duration::from_millis(1_600);

/// What all clients share.
pub struct World {
    pub nodes: Vec<Arc<Node>>,
    pub endpoints: Mutex<Vec<Arc<Endpoint>>>,
    pub record: Arc<Record>,
    pub running: AtomicBool,
    pub counts: Counts,
}

#[derive(Default)]
pub struct Counts {
    pub asked: AtomicU64,
    pub served: AtomicU64,
    pub shed: AtomicU64,
    pub late: AtomicU64,
    pub copies: AtomicU64,
    pub resets: AtomicU64,
    pub failed: AtomicU64,
    pub opened: AtomicU64,
}

pub struct Client {
    pub world: Arc<World>,
    pub zone: String,
    pub addr: SocketAddrV4,
    pub route: SocketAddrV4,
    pub pause: Duration,
    pub deadline: Duration,
    /// Requests on a flow before the client opens another one.
    pub per_flow: u32,
    /// Bytes of a request's body; 0 for a GET.
    pub body: usize,
    /// Whether this client goes on.
    pub running: Arc<AtomicBool>,
}

struct Flow {
    me: SocketAddrV4,
    seq: u32,
    ack: u32,
    echo: u32,
    /// The first sequence number of the endpoint.
    isn: u32,
    unacknowledged: u32,
}

enum End {
    Answered,
    Shed,
    /// The flow is of no use any more.
    Lost,
}

impl Client {
    pub fn spawn(self) -> thread::JoinHandle<()> {
        thread::spawn(move || self.run())
    }

    fn run(&self) {
        let Ok(socket) = UdpSocket::bind(self.addr) else { return };
        let mut port = 20_000 + (wire::random() % 20_000) as u16;
        thread::sleep(self.pause.mul_f64(wire::unit()));
        while self.goes_on() {
            port = if port >= 60_000 { 20_000 } else { port + 1 };
            let Some(mut flow) = self.open(&socket, port) else {
                thread::sleep(Duration::from_millis(50));
                continue;
            };
            self.world.counts.opened.fetch_add(1, Ordering::Relaxed);
            for _ in 0..self.per_flow {
                if !self.goes_on() {
                    break;
                }
                match self.request(&socket, &mut flow) {
                    End::Answered | End::Shed => {}
                    End::Lost => break,
                }
                // The pause; what the endpoint sends again meanwhile is read.
                let end = Instant::now() + self.pause.mul_f64(0.5 + wire::unit());
                let mut is_reset = false;
                while let Some(packet) = receive(&socket, &flow, end) {
                    self.take(&socket, &mut flow, &packet);
                    if packet.is(RST) && flow.accepts_reset(&packet) {
                        self.on_reset(&flow, &packet, "in a pause");
                        is_reset = true;
                        break;
                    }
                }
                if is_reset {
                    break;
                }
            }
            self.send(&socket, &flow.packet(self.route, FIN | ACK, Vec::new()));
        }
    }

    /// Opens a flow, pauses, and sends one request on it.
    pub fn hold_once(&self, idle: Duration) {
        let Ok(socket) = UdpSocket::bind(self.addr) else { return };
        let port = 20_000 + (wire::random() % 20_000) as u16;
        let Some(mut flow) = self.open(&socket, port) else { return };
        self.world.counts.opened.fetch_add(1, Ordering::Relaxed);
        let end = Instant::now() + idle;
        while let Some(packet) = receive(&socket, &flow, end) {
            self.take(&socket, &mut flow, &packet);
            if packet.is(RST) && flow.accepts_reset(&packet) {
                self.on_reset(&flow, &packet, "in the pause");
                return;
            }
        }
        self.request(&socket, &mut flow);
        self.send(&socket, &flow.packet(self.route, FIN | ACK, Vec::new()));
    }

    fn goes_on(&self) -> bool {
        self.world.running.load(Ordering::Relaxed) && self.running.load(Ordering::Relaxed)
    }

    fn open(&self, socket: &UdpSocket, port: u16) -> Option<Flow> {
        let me = SocketAddrV4::new(*self.addr.ip(), port);
        let seq = wire::random() as u32;
        let mut flow = Flow { me, seq, ack: 0, echo: 0, isn: 0, unacknowledged: 0 };
        let start = Instant::now();
        for (copy, until) in [200, 600, 1_400].into_iter().enumerate() {
            flow.ack = copy as u32;
            self.send(socket, &flow.packet(self.route, SYN, Vec::new()));
            let until = start + Duration::from_millis(until);
            while let Some(packet) = receive(socket, &flow, until) {
                if packet.is(SYN | ACK) {
                    flow.echo = packet.echo;
                    flow.isn = packet.seq;
                    flow.seq = seq.wrapping_add(1);
                    flow.ack = packet.seq.wrapping_add(1);
                    self.send(socket, &flow.packet(self.route, ACK, Vec::new()));
                    return Some(flow);
                }
                if packet.is(RST) {
                    self.world.record.line(&format!("refused flow {me}"));
                    return None;
                }
            }
        }
        self.world.record.line(&format!("unanswered flow {me}"));
        None
    }

    fn request(&self, socket: &UdpSocket, flow: &mut Flow) -> End {
        let counts = &self.world.counts;
        let id = format!("{:016x}", wire::random());
        let text = if self.body == 0 {
            format!("GET /balance HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\n\r\n")
        } else {
            let (length, body) = (self.body, "x".repeat(self.body));
            format!(
                "POST /pay HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\nContent-Length: {length}\r\n\r\n{body}"
            )
        };
        self.world.record.line(&format!("sent {id} on {}", flow.me));
        counts.asked.fetch_add(1, Ordering::Relaxed);
        let packet = flow.packet(self.route, ACK, text.clone().into_bytes());
        let started = Instant::now();
        let deadline = started + self.deadline;
        let mut interval = FIRST_RESEND;
        let mut acknowledged = false;
        let mut answer: Vec<u8> = Vec::new();
        let end_seq = flow.seq.wrapping_add(text.len() as u32);
        self.send(socket, &packet);
        let mut resend_at = started + interval;
        while Instant::now() < deadline {
            let until = if acknowledged { deadline } else { resend_at.min(deadline) };
            let Some(packet) = receive(socket, flow, until) else {
                if !acknowledged && Instant::now() < deadline {
                    counts.copies.fetch_add(1, Ordering::Relaxed);
                    self.world.record.line(&format!("copy {id}"));
                    let mut copy = flow.packet(self.route, ACK, text.clone().into_bytes());
                    copy.seq = end_seq.wrapping_sub(text.len() as u32);
                    self.send(socket, &copy);
                    interval = (interval * 2).min(MAX_RESEND);
                    resend_at = Instant::now() + interval;
                }
                continue;
            };
            if packet.is(RST) {
                if !flow.accepts_reset(&packet) {
                    continue;
                }
                let took = started.elapsed().as_millis();
                self.on_reset(flow, &packet, &format!("{took} ms after request {id} was sent"));
                return End::Lost;
            }
            if !packet.is(SYN) && packet.ack == end_seq {
                acknowledged = true;
                flow.seq = end_seq;
            }
            answer.extend(self.take(socket, flow, &packet));
            if is_whole(&answer) {
                let shed = answer.starts_with(b"HTTP/1.1 503");
                let late = started.elapsed() > Duration::from_millis(400);
                let what = if shed { "shed" } else { "answered" };
                let took = started.elapsed().as_millis();
                self.world.record.line(&format!("{what} {id} after {took} ms"));
                let count = if shed { &counts.shed } else { &counts.served };
                count.fetch_add(1, Ordering::Relaxed);
                counts.late.fetch_add(u64::from(late && !shed), Ordering::Relaxed);
                return if shed { End::Shed } else { End::Answered };
            }
        }
        counts.failed.fetch_add(1, Ordering::Relaxed);
        self.world.record.line(&format!("deadline {id}"));
        End::Lost
    }

    /// Takes a packet of the endpoint: new data in order, and an acknowledgement of every second one.
    fn take(&self, socket: &UdpSocket, flow: &mut Flow, packet: &Packet) -> Vec<u8> {
        flow.echo = packet.echo;
        if packet.is(SYN) || packet.is(RST) || packet.data.is_empty() {
            return Vec::new();
        }
        let is_next = packet.seq == flow.ack;
        if is_next {
            flow.ack = flow.ack.wrapping_add(packet.data.len() as u32);
        }
        flow.unacknowledged += 1;
        if flow.unacknowledged >= 2 {
            flow.unacknowledged = 0;
            self.send(socket, &flow.packet(self.route, ACK, Vec::new()));
        }
        if is_next { packet.data.clone() } else { Vec::new() }
    }

    /// FLOW, part (a): a reset that the flow's endpoint did not send, while that endpoint lives.
    fn on_reset(&self, flow: &Flow, packet: &Packet, when: &str) {
        let counts = &self.world.counts;
        counts.resets.fetch_add(1, Ordering::Relaxed);
        let index = (flow.isn >> 24) as usize;
        let endpoint = Arc::clone(&self.world.endpoints.lock().unwrap()[index]);
        let by_system = packet.sum == 0;
        let holds = endpoint.holds(flow.me, flow.isn);
        let by = if by_system { "the system" } else { "an endpoint" };
        let text = format!(
            "reset of flow {} by {by}, {when}; its endpoint {index} lives and holds the flow: {holds}",
            flow.me
        );
        if holds && (by_system || !endpoint.has_reset(flow.me)) {
            self.world.record.broken(&text);
        } else {
            self.world.record.line(&text);
        }
    }

    fn send(&self, socket: &UdpSocket, packet: &Packet) {
        let to = node::route(&self.world.nodes, &self.zone, packet.src);
        let _lost = socket.send_to(&packet.encode(), to);
    }
}

impl Flow {
    /// A client takes a reset only within 76,800 of its last acknowledgement.
    fn accepts_reset(&self, packet: &Packet) -> bool {
        packet.seq.wrapping_sub(self.ack).wrapping_add(76_800) <= 2 * 76_800
    }

    fn packet(&self, route: SocketAddrV4, flags: u8, data: Vec<u8>) -> Packet {
        Packet {
            src: self.me,
            dst: route,
            flags,
            seq: self.seq,
            ack: self.ack,
            echo: self.echo,
            sum: 0,
            data,
        }
    }
}

/// The next packet of a flow; `None` at the time `until`.
fn receive(socket: &UdpSocket, flow: &Flow, until: Instant) -> Option<Packet> {
    let mut buf = [0_u8; 2_048];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        let _set = socket.set_read_timeout(Some(left));
        let Ok(len) = socket.recv(&mut buf) else { continue };
        if let Some(packet) = Packet::decode(&buf[..len]).filter(|packet| packet.dst == flow.me) {
            return Some(packet);
        }
    }
}

fn is_whole(answer: &[u8]) -> bool {
    let Some(end) = answer.windows(4).position(|four| four == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&answer[..end]);
    let length = head.split_once("Content-Length: ").map_or("", |(_, rest)| rest);
    let length: usize = length.split("\r\n").next().and_then(|n| n.parse().ok()).unwrap_or(0);
    answer.len() >= end + 4 + length
}
