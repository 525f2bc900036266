//! An endpoint as PROTOCOL.md describes it: two slots, a queue of eight, flows over UDP.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::wire::{self, ACK, FIN, MAX_DATA, Packet, RST, SYN};

const SLOTS: usize = 2;
const QUEUE: usize = 8;
const WINDOW: usize = 16;
const FIRST_RESEND: Duration = Duration::from_millis(200);
const MAX_RESEND: Duration = Duration::from_millis(1_600);
const MAX_RESENDS: u32 = 8;

/// What an endpoint does with a request: mean work, and the bounds of an answer's body.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    pub mean_ms: f64,
    pub min_bytes: usize,
    pub max_bytes: usize,
}

pub struct Endpoint {
    pub index: usize,
    pub id: u64,
    pub addr: SocketAddrV4,
    pub zone: String,
    pub service: String,
    pub work: Work,
    pub born_ms: u64,
    pub alive: AtomicBool,
    pub draining: AtomicBool,
    /// Open flows by the client's end, with this end's first sequence number.
    open: Mutex<HashMap<SocketAddrV4, u32>>,
    /// Clients' ends to which this endpoint has sent a reset.
    resets: Mutex<HashSet<SocketAddrV4>>,
    /// Share of its answers to openings that the network loses.
    loss: f64,
    record: Arc<Record>,
    client_port: u16,
}

struct Segment {
    seq: u32,
    flags: u8,
    data: Vec<u8>,
    sent_at: Option<Instant>,
    interval: Duration,
    resends: u32,
}

struct Flow {
    route: SocketAddrV4,
    client_isn: u32,
    isn: u32,
    open: bool,
    receive_next: u32,
    send_next: u32,
    segments: VecDeque<Segment>,
    echo: u32,
    /// Packets with data since the last acknowledgement.
    unacknowledged: u32,
    input: Vec<u8>,
}

struct Job {
    client: SocketAddrV4,
    isn: u32,
    request: String,
}

impl Endpoint {
    #[allow(clippy::too_many_arguments, reason = "built in one place")]
    pub fn start(
        index: usize,
        id: u64,
        addr: SocketAddrV4,
        zone: &str,
        service: &str,
        work: Work,
        client_port: u16,
        loss: f64,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let endpoint = Arc::new(Self {
            index,
            id,
            addr,
            zone: zone.to_owned(),
            service: service.to_owned(),
            work,
            born_ms: wire::unix_ms(),
            alive: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            open: Mutex::default(),
            resets: Mutex::default(),
            loss,
            record: Arc::clone(record),
            client_port,
        });
        let socket = UdpSocket::bind(addr).unwrap_or_else(|_| crate::cannot_run("endpoint"));
        let running = Arc::clone(&endpoint);
        thread::spawn(move || running.run(&socket));
        endpoint
    }

    pub fn key(&self) -> String {
        format!("servers/i-{:x}", self.id)
    }

    pub fn entry(&self) -> String {
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        format!(
            r#"{{"service":"{}","addr":"{}","zone":"{}","version":"v1","max_concurrency":{SLOTS},"state":"{state}","warmup_left_ms":0,"seq":1,"born":{}}}"#,
            self.service, self.addr, self.zone, self.born_ms
        )
    }

    /// Whether the flow of a client that has acknowledged `isn` is open here.
    pub fn holds(&self, client: SocketAddrV4, isn: u32) -> bool {
        self.alive.load(Ordering::Relaxed) && self.open.lock().unwrap().get(&client) == Some(&isn)
    }

    /// Whether this endpoint has sent a reset to a client's end.
    pub fn has_reset(&self, client: SocketAddrV4) -> bool {
        self.resets.lock().unwrap().contains(&client)
    }

    fn run(&self, socket: &UdpSocket) {
        let mut flows: HashMap<SocketAddrV4, Flow> = HashMap::new();
        let mut queue: VecDeque<Job> = VecDeque::new();
        let mut slots: Vec<(Instant, Job)> = Vec::new();
        let mut buf = [0_u8; 2_048];
        while self.alive.load(Ordering::Relaxed) {
            let now = Instant::now();
            // Work that is done.
            while let Some(place) = slots.iter().position(|(end, _)| *end <= now) {
                let (_, job) = slots.swap_remove(place);
                self.finish(&mut flows, &job);
            }
            while slots.len() < SLOTS
                && let Some(job) = queue.pop_front()
            {
                let work = self.work.mean_ms * (0.5 + wire::unit());
                self.record.line(&format!("run {} at {}", id_of(&job.request), self.index));
                slots.push((now + Duration::from_secs_f64(work / 1e3), job));
            }
            let mut next = now + Duration::from_millis(50);
            next = slots.iter().map(|(end, _)| *end).fold(next, Instant::min);
            for (client, flow) in &mut flows {
                next = next.min(self.send_due(socket, *client, flow, now));
            }
            flows.retain(|client, flow| {
                let keep = flow.segments.front().is_none_or(|first| first.resends <= MAX_RESENDS);
                if !keep {
                    self.open.lock().unwrap().remove(client);
                }
                keep
            });
            let wait = next.saturating_duration_since(Instant::now());
            let _set = socket.set_read_timeout(Some(wait.max(Duration::from_micros(200))));
            let Ok(len) = socket.recv(&mut buf) else { continue };
            let Some((head, bytes)) = buf[..len].split_first_chunk::<8>() else { continue };
            let to = u64::from_be_bytes(*head);
            let Some(packet) = Packet::decode(bytes) else { continue };
            if to != 0 && to != self.id {
                continue;
            }
            if !packet.is_intact() {
                self.record.line(&format!("FORGED packet at {}", self.index));
                continue;
            }
            self.on_packet(socket, &mut flows, &mut queue, slots.len(), &packet);
        }
        self.open.lock().unwrap().clear();
    }

    fn on_packet(
        &self,
        socket: &UdpSocket,
        flows: &mut HashMap<SocketAddrV4, Flow>,
        queue: &mut VecDeque<Job>,
        busy: usize,
        packet: &Packet,
    ) {
        let client = packet.src;
        if packet.is(SYN) {
            if let Some(flow) = flows.get_mut(&client).filter(|f| f.client_isn == packet.seq) {
                flow.echo = packet.echo;
                return;
            }
            self.open.lock().unwrap().remove(&client);
            // The index in the upper bits tells the client which endpoint answers.
            let isn = (self.index as u32) << 24 | (wire::random() as u32 & 0x000f_ffff);
            let answer = Segment::new(isn, SYN | ACK, Vec::new());
            let flow = Flow {
                route: packet.dst,
                client_isn: packet.seq,
                isn,
                open: false,
                receive_next: packet.seq.wrapping_add(1),
                send_next: isn.wrapping_add(1),
                segments: VecDeque::from([answer]),
                echo: packet.echo,
                unacknowledged: 0,
                input: Vec::new(),
            };
            flows.insert(client, flow);
            return;
        }
        let held = flows.get_mut(&client).filter(|flow| {
            packet.ack.wrapping_sub(flow.isn.wrapping_add(1))
                <= flow.send_next.wrapping_sub(flow.isn)
        });
        let Some(flow) = held else {
            if !packet.is(RST) {
                let answer = Packet {
                    src: packet.dst,
                    dst: packet.src,
                    flags: if packet.is(FIN) { ACK } else { RST },
                    seq: packet.ack,
                    ack: packet.seq.wrapping_add(1),
                    echo: packet.echo,
                    sum: 0,
                    data: Vec::new(),
                };
                self.send(socket, &answer);
            }
            return;
        };
        flow.echo = packet.echo;
        if !flow.open {
            flow.open = true;
            self.open.lock().unwrap().insert(client, flow.isn);
        }
        let acked = |segment: &Segment| {
            let end = segment.seq.wrapping_add(segment.length());
            packet.ack.wrapping_sub(end) < 1 << 31
        };
        while flow.segments.front().is_some_and(acked) {
            flow.segments.pop_front();
        }
        if packet.is(RST) {
            self.open.lock().unwrap().remove(&client);
            flows.remove(&client);
            return;
        }
        if !packet.data.is_empty() {
            if packet.seq == flow.receive_next {
                flow.receive_next = flow.receive_next.wrapping_add(packet.data.len() as u32);
                flow.input.extend_from_slice(&packet.data);
                while let Some(request) = take_request(&mut flow.input) {
                    let job = Job { client, isn: flow.isn, request };
                    if queue.len() + busy >= SLOTS + QUEUE {
                        self.record.line(&format!(
                            "shed {} at {}",
                            id_of(&job.request),
                            self.index
                        ));
                        let text =
                            "HTTP/1.1 503 full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                        flow.push(text.as_bytes());
                    } else {
                        queue.push_back(job);
                    }
                }
            }
            // Every second packet is acknowledged.
            flow.unacknowledged += 1;
            if flow.unacknowledged >= 2 {
                flow.unacknowledged = 0;
                let answer = flow.packet(client, flow.send_next, ACK, Vec::new());
                self.send(socket, &answer);
            }
        }
        if packet.is(FIN) {
            let mut answer = flow.packet(client, flow.send_next, ACK | FIN, Vec::new());
            answer.ack = packet.seq.wrapping_add(1);
            self.send(socket, &answer);
            self.open.lock().unwrap().remove(&client);
            flows.remove(&client);
        }
    }

    fn finish(&self, flows: &mut HashMap<SocketAddrV4, Flow>, job: &Job) {
        let id = id_of(&job.request);
        let Some(flow) = flows.get_mut(&job.client).filter(|flow| flow.isn == job.isn) else {
            self.record.line(&format!("ended {id} at {} with no flow", self.index));
            return;
        };
        self.record.line(&format!("ended {id} at {}", self.index));
        let Work { min_bytes, max_bytes, .. } = self.work;
        let length = min_bytes + (wire::unit() * (max_bytes - min_bytes) as f64) as usize;
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Instance-Id: i-{:x}\r\nX-Response-Signature: {id}-{length}\r\nContent-Length: {length}\r\n\r\n",
            self.id
        );
        let mut bytes = text.into_bytes();
        bytes.resize(bytes.len() + length, b'x');
        flow.push(&bytes);
    }

    /// Sends what is due and returns when something is due next.
    fn send_due(
        &self,
        socket: &UdpSocket,
        client: SocketAddrV4,
        flow: &mut Flow,
        now: Instant,
    ) -> Instant {
        let mut next = now + Duration::from_secs(1);
        let (route, echo, receive_next) = (flow.route, flow.echo, flow.receive_next);
        let mut sends_data = false;
        for segment in flow.segments.iter_mut().take(WINDOW) {
            let due = segment.sent_at.is_none_or(|at| at + segment.interval <= now);
            if due {
                if segment.sent_at.is_some() {
                    segment.resends += 1;
                    segment.interval = (segment.interval * 2).min(MAX_RESEND);
                }
                segment.sent_at = Some(now);
                sends_data = true;
                let packet = Packet {
                    src: route,
                    dst: client,
                    flags: segment.flags,
                    seq: segment.seq,
                    ack: receive_next,
                    echo,
                    sum: 0,
                    data: segment.data.clone(),
                };
                self.send(socket, &packet);
            }
            if let Some(at) = segment.sent_at {
                next = next.min(at + segment.interval);
            }
        }
        if sends_data {
            flow.unacknowledged = 0;
        }
        next
    }

    fn send(&self, socket: &UdpSocket, packet: &Packet) {
        if packet.is(RST) {
            self.resets.lock().unwrap().insert(packet.dst);
        }
        if packet.is(SYN) && wire::unit() < self.loss {
            return;
        }
        let to = SocketAddrV4::new(*packet.dst.ip(), self.client_port);
        let _lost = socket.send_to(&packet.encode(), to);
    }
}

impl Segment {
    fn new(seq: u32, flags: u8, data: Vec<u8>) -> Self {
        Self { seq, flags, data, sent_at: None, interval: FIRST_RESEND, resends: 0 }
    }

    fn length(&self) -> u32 {
        self.data.len() as u32 + u32::from(self.flags & SYN != 0)
    }
}

impl Flow {
    fn push(&mut self, bytes: &[u8]) {
        for data in bytes.chunks(MAX_DATA) {
            self.segments.push_back(Segment::new(self.send_next, ACK, data.to_vec()));
            self.send_next = self.send_next.wrapping_add(data.len() as u32);
        }
    }

    fn packet(&self, client: SocketAddrV4, seq: u32, flags: u8, data: Vec<u8>) -> Packet {
        let (src, ack, echo) = (self.route, self.receive_next, self.echo);
        Packet { src, dst: client, flags, seq, ack, echo, sum: 0, data }
    }
}

/// Takes a whole request from the front of the bytes of a flow. Returns its head.
fn take_request(input: &mut Vec<u8>) -> Option<String> {
    let end = input.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&input[..end]).into_owned();
    let length = head.split_once("Content-Length: ").map_or("0", |(_, rest)| rest);
    let length: usize = length.split("\r\n").next().and_then(|n| n.parse().ok()).unwrap_or(0);
    if input.len() < end + length {
        return None;
    }
    input.drain(..end + length);
    Some(head)
}

fn id_of(request: &str) -> &str {
    let id = request.split_once("X-Request-Id: ").map_or("?", |(_, rest)| rest);
    id.split("\r\n").next().unwrap_or("?")
}
