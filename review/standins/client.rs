//! Clients: they open flows and send requests on them, as PROTOCOL.md describes them.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::router::Routers;
use crate::world::{DATA_PORT, World};

/// When a SYN and its copies are sent.
const SYN_TIMES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
const OPEN_TIME: Duration = Duration::from_millis(1_400);
const FIRST_RETRANSMIT: Duration = Duration::from_millis(200);
const LAST_RETRANSMIT: Duration = Duration::from_millis(1_600);

/// Largest distance of a reset's `seq` from the client's last `ack`.
const RESET_WINDOW: u32 = 76_800;

/// Seed of initial sequence numbers.
const SEQ_STEP: u32 = 0x0101_4203;

/// A packet on its way to the routers, and where its flow notes the node that got it.
type Outgoing = (Instant, Packet, Arc<AtomicUsize>);

/// A machine with clients in one zone.
pub struct ClientHost {
    pub zone: usize,
    ip: Ipv4Addr,
    socket: UdpSocket,
    /// Delay of the clients' links, one way.
    delay: Duration,
    outgoing: Mutex<Sender<Outgoing>>,
    flows: Mutex<HashMap<u16, Sender<Packet>>>,
    next_port: AtomicU32,
    routers: Arc<Routers>,
    world: Arc<World>,
}

impl ClientHost {
    pub fn start(
        world: &Arc<World>,
        routers: &Arc<Routers>,
        zone: usize,
        delay: Duration,
    ) -> std::io::Result<Arc<Self>> {
        let ip = world.client_ip(zone);
        let (outgoing, sent) = mpsc::channel();
        let (incoming, received) = mpsc::channel();
        let host = Arc::new(Self {
            zone,
            ip,
            socket: UdpSocket::bind((ip, DATA_PORT))?,
            delay,
            outgoing: Mutex::new(outgoing),
            flows: Mutex::default(),
            next_port: AtomicU32::new(20_000),
            routers: Arc::clone(routers),
            world: Arc::clone(world),
        });
        let receiving = Arc::clone(&host);
        thread::spawn(move || receiving.receive(&incoming));
        let delivering = Arc::clone(&host);
        thread::spawn(move || delivering.deliver(&received));
        let sending = Arc::clone(&host);
        thread::spawn(move || sending.forward(&sent));
        Ok(host)
    }

    fn receive(&self, incoming: &Sender<(Instant, Packet)>) {
        let mut buf = [0; 2_048];
        loop {
            let Ok(len) = self.socket.recv(&mut buf) else { continue };
            let Some(packet) = Packet::decode(&buf[..len]) else { continue };
            if incoming.send((Instant::now() + self.delay, packet)).is_err() {
                return;
            }
        }
    }

    /// Hands packets to their flows when they have passed the client's link.
    fn deliver(&self, received: &Receiver<(Instant, Packet)>) {
        while let Ok((due, packet)) = received.recv() {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let flow = self.flows.lock().unwrap().get(&packet.to.port()).cloned();
            if let Some(flow) = flow {
                // A flow that has just ended takes no more packets.
                let _late = flow.send(packet);
            }
        }
    }

    /// Sends packets through the routers when they have passed the client's link.
    fn forward(&self, sent: &Receiver<Outgoing>) {
        while let Ok((due, packet, last_node)) = sent.recv() {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let node = self.routers.node_for(self.zone, packet.from, packet.to);
            last_node.store(node, Ordering::Relaxed);
            // A full buffer loses the packet, as a full link does.
            let _lost = self.socket.send_to(&packet.encode(), self.routers.data_addr(node));
        }
    }
}

/// How a request on an open flow ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ended {
    /// Answered by this endpoint.
    Answered(usize),
    Reset,
    Deadline,
}

/// A reset that the client got on an open flow.
#[derive(Debug, Clone, Copy)]
pub struct GotReset {
    /// Endpoint that sent it; `None` for the system.
    pub sender: Option<usize>,
    /// Node that took the flow's last packet.
    pub node: usize,
    /// Endpoint where the flow was open at that moment, if it still was.
    pub held_by: Option<usize>,
}

pub struct Flow {
    host: Arc<ClientHost>,
    pub addr: SocketAddrV4,
    service: SocketAddrV4,
    packets: Receiver<Packet>,
    echo: u32,
    next_out: u32,
    next_in: u32,
    base: u32,
    last_node: Arc<AtomicUsize>,
    pub reset: Option<GotReset>,
}

impl Flow {
    /// Opens a flow. `None` if no SYN+ACK came in time, or a reset.
    pub fn open(host: &Arc<ClientHost>, service: SocketAddrV4) -> Option<Self> {
        let number = host.next_port.fetch_add(1, Ordering::Relaxed);
        let port = 20_000 + (number % 40_000) as u16;
        let (tx, packets) = mpsc::channel();
        host.flows.lock().unwrap().insert(port, tx);
        let seq = number.wrapping_mul(SEQ_STEP);
        let mut flow = Self {
            host: Arc::clone(host),
            addr: SocketAddrV4::new(host.ip, port),
            service,
            packets,
            echo: 0,
            next_out: seq.wrapping_add(1),
            next_in: 0,
            base: 0,
            last_node: Arc::default(),
            reset: None,
        };
        let start = Instant::now();
        for copy in 0..SYN_TIMES.len() {
            flow.send(SYN, seq, copy as u32, Vec::new());
            let until = SYN_TIMES.get(copy + 1).copied().unwrap_or(OPEN_TIME);
            while let Some(left) = until.checked_sub(start.elapsed()) {
                let Ok(packet) = flow.packets.recv_timeout(left) else { break };
                if packet.has(SYN | ACK) {
                    flow.echo = packet.echo;
                    flow.next_in = packet.seq.wrapping_add(1);
                    flow.base = flow.next_in;
                    flow.send(ACK, flow.next_out, flow.next_in, Vec::new());
                    return Some(flow);
                }
                if packet.has(RST) {
                    return None;
                }
            }
        }
        None
    }

    /// Handles what comes in a pause.
    pub fn rest(&mut self, pause: Duration) {
        let start = Instant::now();
        while let Some(left) = pause.checked_sub(start.elapsed()) {
            match self.packets.recv_timeout(left) {
                Ok(packet) => self.on_packet(&packet),
                Err(_) => break,
            };
        }
    }

    /// Sends a request and waits for its answer.
    pub fn request(&mut self, method: &str, id: &str, deadline: Duration) -> Ended {
        let start = Instant::now();
        let text = format!("{method} /orders HTTP/1.1\r\nX-Request-Id: {id}\r\n\r\n").into_bytes();
        let seq = self.next_out;
        self.next_out = seq.wrapping_add(text.len() as u32);
        let mut wait = FIRST_RETRANSMIT;
        let mut acked = false;
        while self.reset.is_none() && start.elapsed() < deadline {
            // What came in a pause is handled first.
            while let Ok(packet) = self.packets.try_recv() {
                self.on_packet(&packet);
            }
            if self.reset.is_some() {
                break;
            }
            if !acked {
                self.send(ACK, seq, self.next_in, text.clone());
            }
            let sent_at = Instant::now();
            while let Some(left) = wait.checked_sub(sent_at.elapsed()) {
                let Ok(packet) = self.packets.recv_timeout(left) else { break };
                acked |= packet.has(ACK) && !packet.has(SYN) && packet.ack == self.next_out;
                if let Some(answer) = self.on_packet(&packet) {
                    if !answer.contains(&format!("X-Request-Id: {id}\r\n")) {
                        self.host.world.note(&format!("{} got a foreign answer", self.addr));
                    }
                    let endpoint =
                        answer.lines().find_map(|line| line.strip_prefix("X-Endpoint: "));
                    let endpoint = endpoint.and_then(|number| number.parse().ok());
                    return Ended::Answered(endpoint.unwrap_or(usize::MAX));
                }
                if self.reset.is_some() {
                    break;
                }
            }
            wait = (wait * 2).min(LAST_RETRANSMIT);
        }
        if self.reset.is_some() { Ended::Reset } else { Ended::Deadline }
    }

    /// Handles a packet; returns the text of an answer that is new.
    fn on_packet(&mut self, packet: &Packet) -> Option<String> {
        if packet.has(RST) {
            let distance =
                packet.seq.wrapping_sub(self.next_in).min(self.next_in.wrapping_sub(packet.seq));
            if distance <= RESET_WINDOW {
                let held = self.host.world.open_flow(self.addr);
                self.reset = Some(GotReset {
                    sender: packet.sum.checked_sub(100).map(|number| number as usize),
                    node: self.last_node.load(Ordering::Relaxed),
                    held_by: held.filter(|flow| flow.base == self.base).map(|flow| flow.endpoint),
                });
            }
            return None;
        }
        // Each end sends back the last `echo` that it received on the flow.
        self.echo = packet.echo;
        if packet.has(SYN) || packet.data.is_empty() {
            return None;
        }
        let is_new = packet.seq == self.next_in;
        if is_new {
            self.next_in = self.next_in.wrapping_add(packet.data.len() as u32);
        }
        self.send(ACK, self.next_out, self.next_in, Vec::new());
        is_new.then(|| String::from_utf8_lossy(&packet.data).into_owned())
    }

    pub fn close(mut self) {
        while let Ok(packet) = self.packets.try_recv() {
            self.on_packet(&packet);
        }
        if self.reset.is_none() {
            self.send(FIN | ACK, self.next_out, self.next_in, Vec::new());
        }
    }

    fn send(&mut self, flags: u8, seq: u32, ack: u32, data: Vec<u8>) {
        let echo = if flags == SYN { 0 } else { self.echo };
        let (from, to) = (self.addr, self.service);
        let packet = Packet { from, to, flags, seq, ack, echo, sum: 1, data };
        let due = Instant::now() + self.host.delay;
        // The host's threads last as long as the run.
        let _sent = self.host.outgoing.lock().unwrap().send((due, packet, self.last_node.clone()));
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.host.flows.lock().unwrap().remove(&self.addr.port());
    }
}
