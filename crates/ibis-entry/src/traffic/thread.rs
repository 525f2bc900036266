//! Event loop of the traffic thread.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use balance::Share;
use bytes::Bytes;
use flow::{Action, Engine, Id, Origin, Target};
use indexmap::IndexMap;
use packet::{ParseError, View};
use stdx::time::{Clock, Timestamp};
use tokio::sync::mpsc as tokio_mpsc;

use crate::settings::Settings;
use crate::traffic::sockets::Sockets;
use crate::traffic::{ColdStart, Command, Report};
use crate::wire::{self, PeerDatagram};

/// Interval of the engine's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Interval of reports to the control thread and of metrics updates.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum packets or datagrams read from one socket before the other socket is read.
const MAX_BATCH_PACKETS: usize = 64;

/// Maximum number of unanswered openings.
const MAX_OPENINGS: usize = 65_536;

/// Maximum number of flows being recovered at the same time.
const MAX_RECOVERIES: usize = 16_384;

/// The control thread's handle to the traffic thread.
#[derive(Debug)]
pub struct Handle {
    /// Commands to the thread.
    pub commands: mpsc::Sender<Command>,
    /// Reports from the thread.
    pub reports: tokio_mpsc::Receiver<Report>,
    /// The thread; joining it returns its I/O error, if any.
    pub thread: JoinHandle<io::Result<()>>,
}

/// Starts the thread.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn start(cfg: &Settings, clock: Clock) -> io::Result<Handle> {
    let (commands, command_rx) = mpsc::channel();
    let (report_tx, reports) = tokio_mpsc::channel(1);
    let cfg = cfg.clone();
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(async {
            let traffic = Traffic::new(&cfg, clock, command_rx, report_tx)?;
            traffic.run().await
        })
    };
    let thread = std::thread::Builder::new().name("traffic".to_owned()).spawn(run)?;
    Ok(Handle { commands, reports, thread })
}

struct Traffic {
    clock: Clock,
    sockets: Sockets,
    engine: Engine,
    fabric_ip: IpAddr,
    peers: Vec<Id>,
    commands: mpsc::Receiver<Command>,
    reports: tokio_mpsc::Sender<Report>,
    actions: Vec<Action>,
    malformed_packets: IndexMap<ParseError, u64>,
    unknown_peer_datagrams: u64,
    malformed_datagrams: u64,
    fabric_packets: u64,
    next_report: Instant,
}

impl Traffic {
    fn new(
        cfg: &Settings,
        clock: Clock,
        commands: mpsc::Receiver<Command>,
        reports: tokio_mpsc::Sender<Report>,
    ) -> io::Result<Self> {
        let settings = flow::Settings {
            id: Id(*cfg.listen.ip()),
            hash_key: cfg.hash_key,
            seed: clock.now().as_micros(),
            max_flows: cfg.max_flows,
            max_learned: cfg.max_learned,
            max_openings: MAX_OPENINGS,
            max_recoveries: MAX_RECOVERIES,
            probes_per_s: cfg.probes_per_s,
            retry_percent: cfg.retry_percent,
        };
        Ok(Self {
            clock,
            sockets: Sockets::bind(cfg)?,
            engine: Engine::new(clock.now(), settings),
            fabric_ip: IpAddr::V4(*cfg.fabric.ip()),
            peers: Vec::new(),
            commands,
            reports,
            actions: Vec::new(),
            malformed_packets: IndexMap::new(),
            unknown_peer_datagrams: 0,
            malformed_datagrams: 0,
            fabric_packets: 0,
            next_report: Instant::now(),
        })
    }

    async fn run(mut self) -> io::Result<()> {
        let mut buf = vec![0; u16::MAX.into()];
        let mut next_tick = Instant::now();
        loop {
            tokio::select! {
                ready = self.sockets.packets_rx.readable() => ready?,
                ready = self.sockets.peers_rx.readable() => ready?,
                () = tokio::time::sleep_until(next_tick.into()) => {}
            }
            if !self.process_commands() {
                return Ok(());
            }
            self.read_packets(&mut buf);
            self.read_peer_datagrams(&mut buf);
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK_INTERVAL;
                self.engine.on_tick(self.clock.now(), &mut self.actions);
                self.execute_actions(&[]);
                self.send_report();
            }
        }
    }

    /// Processes pending commands of the control thread. Returns false if the thread has to stop.
    fn process_commands(&mut self) -> bool {
        loop {
            match self.commands.try_recv() {
                Ok(Command::Members { homes, peers, possibly_alive }) => {
                    let share = Share { entries: possibly_alive };
                    self.engine.set_members(self.clock.now(), &homes, share);
                    self.peers = peers;
                }
                Ok(Command::Services(services)) => {
                    self.engine.set_services(self.clock.now(), services);
                }
                Ok(Command::ColdStarts(cold_starts)) => self.learn_cold_starts(&cold_starts),
                Ok(Command::Stop) | Err(mpsc::TryRecvError::Disconnected) => return false,
                Err(mpsc::TryRecvError::Empty) => return true,
            }
        }
    }

    fn read_packets(&mut self, buf: &mut [u8]) {
        for _ in 0..MAX_BATCH_PACKETS {
            let Ok((len, from)) = self.sockets.packets_rx.try_recv_from(buf) else {
                return;
            };
            let IpAddr::V4(ip) = from.ip() else {
                continue;
            };
            let origin = if from.ip() == self.fabric_ip {
                self.fabric_packets += 1;
                Origin::Caller
            } else {
                Origin::Upstream(ip)
            };
            self.handle_packet(origin, &buf[..len]);
        }
    }

    fn read_peer_datagrams(&mut self, buf: &mut [u8]) {
        for _ in 0..MAX_BATCH_PACKETS {
            let Ok((len, from)) = self.sockets.peers_rx.try_recv_from(buf) else {
                return;
            };
            let Some(from) = self.peer_id(from) else {
                self.unknown_peer_datagrams += 1;
                continue;
            };
            match wire::decode(from, Bytes::copy_from_slice(&buf[..len])) {
                Some(PeerDatagram::Relay { relay, packet }) => {
                    self.handle_packet(Origin::Peer(relay), &packet);
                }
                Some(PeerDatagram::Message(message)) => {
                    let now = self.clock.now();
                    self.engine.on_message(now, from, message, &mut self.actions);
                    self.execute_actions(&[]);
                }
                None => self.malformed_datagrams += 1,
            }
        }
    }

    fn handle_packet(&mut self, origin: Origin, bytes: &[u8]) {
        match View::parse(bytes) {
            Ok(view) => {
                self.engine.on_packet(self.clock.now(), origin, &view, &mut self.actions);
                self.execute_actions(view.bytes);
            }
            Err(reason) => *self.malformed_packets.entry(reason).or_default() += 1,
        }
    }

    fn execute_actions(&mut self, packet: &[u8]) {
        for action in self.actions.drain(..) {
            match action {
                Action::Forward(to) => {
                    log_reset("passed on", packet, to);
                    self.sockets.send(packet, to);
                }
                Action::Emit { bytes, to } => {
                    log_reset("built or kept", &bytes, to);
                    self.sockets.send(&bytes, to);
                }
                Action::SendMessage { to, message } => {
                    self.sockets.send_datagram(wire::encode_message(message), to.0);
                }
            }
        }
    }

    fn peer_id(&self, from: SocketAddr) -> Option<Id> {
        let IpAddr::V4(ip) = from.ip() else {
            return None;
        };
        Some(Id(ip)).filter(|id| self.peers.contains(id))
    }

    fn learn_cold_starts(&mut self, cold_starts: &[ColdStart]) {
        let addresses: Vec<_> = self.engine.pools().map(|(address, _)| *address).collect();
        for address in addresses {
            let Some(pool) = self.engine.pool_mut(&address) else {
                continue;
            };
            for cold_start in cold_starts {
                pool.learn_cold_since(cold_start.upstream, cold_start.since);
            }
        }
    }

    fn send_report(&mut self) {
        if Instant::now() < self.next_report {
            return;
        }
        self.next_report = Instant::now() + REPORT_INTERVAL;
        self.update_metrics();
        let starts = |(_, pool): (_, &balance::Pool)| pool.cold_starts().collect::<Vec<_>>();
        let cold_starts = self
            .engine
            .pools()
            .flat_map(starts)
            .map(|(upstream, since): (Ipv4Addr, Timestamp)| ColdStart { upstream, since })
            .collect();
        let fabric_packets = std::mem::take(&mut self.fabric_packets);
        let _ = self.reports.try_send(Report { cold_starts, fabric_packets });
    }

    fn update_metrics(&self) {
        for (counter, value) in self.engine.counters().iter() {
            metrics::counter!(format!("ibis_{}_total", counter.name())).absolute(value);
        }
        for (reason, value) in &self.malformed_packets {
            let reason = reason.to_string();
            metrics::counter!("ibis_drop_malformed_total", "reason" => reason).absolute(*value);
        }
        metrics::counter!("ibis_drop_foreign_peer_total").absolute(self.unknown_peer_datagrams);
        metrics::counter!("ibis_drop_malformed_peer_total").absolute(self.malformed_datagrams);
        metrics::counter!("ibis_failed_sends_total").absolute(self.sockets.failed_sends());
        metrics::gauge!("ibis_flows").set(self.engine.flow_count() as f64);
        metrics::gauge!("ibis_learned_flows").set(self.engine.learned_count() as f64);
        for (address, pool) in self.engine.pools() {
            for (upstream, flows) in pool.counts() {
                let labels =
                    [("service", address.socket.to_string()), ("upstream", upstream.to_string())];
                metrics::gauge!("ibis_upstream_flows", &labels).set(f64::from(flows));
            }
        }
    }
}

/// Logs TCP resets at debug level, to find out how a flow ended.
fn log_reset(how: &'static str, bytes: &[u8], to: Target) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    if let Ok(view) = View::parse(bytes)
        && view.flags().rst
    {
        tracing::debug!(how, ?to, src = %view.src, dst = %view.dst, "reset");
    }
}
