//! The loop of the traffic thread.

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
use tokio::sync::mpsc as control;

use crate::settings::Settings;
use crate::traffic::sockets::Sockets;
use crate::traffic::{ColdStart, Command, Report};
use crate::wire::{self, Incoming};

/// Time between the engine's ticks.
const TICK: Duration = Duration::from_millis(5);

/// Time between reports to the control thread and updates of the metrics.
const REPORT_EVERY: Duration = Duration::from_millis(500);

/// Packets read from one socket before the other gets its turn.
const BATCH_PACKETS: usize = 64;

/// Openings without an answer, and flows being recovered, that are kept at most.
const MAX_OPENINGS: usize = 65_536;
const MAX_PENDING: usize = 16_384;

/// The control thread's end of the traffic thread.
#[derive(Debug)]
pub struct Handle {
    /// Commands to the thread.
    pub commands: mpsc::Sender<Command>,
    /// Reports from the thread.
    pub reports: control::Receiver<Report>,
    /// The thread.
    pub thread: JoinHandle<io::Result<()>>,
}

/// Starts the thread.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn start(cfg: &Settings, clock: Clock) -> io::Result<Handle> {
    let (commands, command_rx) = mpsc::channel();
    let (report_tx, reports) = control::channel(1);
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
    fabric: IpAddr,
    known: Vec<Id>,
    commands: mpsc::Receiver<Command>,
    reports: control::Sender<Report>,
    out: Vec<Action>,
    malformed: IndexMap<ParseError, u64>,
    foreign_peers: u64,
    malformed_peers: u64,
    fabric_packets: u64,
    next_report: Instant,
}

impl Traffic {
    fn new(
        cfg: &Settings,
        clock: Clock,
        commands: mpsc::Receiver<Command>,
        reports: control::Sender<Report>,
    ) -> io::Result<Self> {
        let settings = flow::Settings {
            id: Id(*cfg.listen.ip()),
            hash_key: cfg.hash_key,
            seed: clock.now().as_micros(),
            max_flows: cfg.max_flows,
            max_learned: cfg.max_learned,
            max_openings: MAX_OPENINGS,
            max_recoveries: MAX_PENDING,
            probes_per_s: cfg.probes_per_s,
            retry_percent: cfg.retry_percent,
        };
        Ok(Self {
            clock,
            sockets: Sockets::bind(cfg)?,
            engine: Engine::new(clock.now(), settings),
            fabric: IpAddr::V4(*cfg.fabric.ip()),
            known: Vec::new(),
            commands,
            reports,
            out: Vec::new(),
            malformed: IndexMap::new(),
            foreign_peers: 0,
            malformed_peers: 0,
            fabric_packets: 0,
            next_report: Instant::now(),
        })
    }

    async fn run(mut self) -> io::Result<()> {
        let mut buf = vec![0; u16::MAX.into()];
        let mut next_tick = Instant::now();
        loop {
            tokio::select! {
                ready = self.sockets.packets.readable() => ready?,
                ready = self.sockets.peers.readable() => ready?,
                () = tokio::time::sleep_until(next_tick.into()) => {}
            }
            if !self.take_commands() {
                return Ok(());
            }
            self.read_packets(&mut buf);
            self.read_peers(&mut buf);
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK;
                self.engine.on_tick(self.clock.now(), &mut self.out);
                self.carry_out(&[]);
                self.report();
            }
        }
    }

    /// Takes over what the control thread says; returns false when it says to stop.
    fn take_commands(&mut self) -> bool {
        loop {
            match self.commands.try_recv() {
                Ok(Command::Members { homes, known, possible }) => {
                    let share = Share { entries: possible };
                    self.engine.set_members(self.clock.now(), &homes, share);
                    self.known = known;
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
        for _ in 0..BATCH_PACKETS {
            let Ok((len, from)) = self.sockets.packets.try_recv_from(buf) else {
                return;
            };
            let IpAddr::V4(ip) = from.ip() else {
                continue;
            };
            let origin = if from.ip() == self.fabric {
                self.fabric_packets += 1;
                Origin::Caller
            } else {
                Origin::Upstream(ip)
            };
            self.handle_packet(origin, &buf[..len]);
        }
    }

    fn read_peers(&mut self, buf: &mut [u8]) {
        for _ in 0..BATCH_PACKETS {
            let Ok((len, from)) = self.sockets.peers.try_recv_from(buf) else {
                return;
            };
            let Some(from) = self.known_peer(from) else {
                self.foreign_peers += 1;
                continue;
            };
            match wire::incoming(from, Bytes::copy_from_slice(&buf[..len])) {
                Some(Incoming::Relay { relay, packet }) => {
                    self.handle_packet(Origin::Peer(relay), &packet);
                }
                Some(Incoming::Message(message)) => {
                    let now = self.clock.now();
                    self.engine.on_message(now, from, message, &mut self.out);
                    self.carry_out(&[]);
                }
                None => self.malformed_peers += 1,
            }
        }
    }

    fn handle_packet(&mut self, origin: Origin, bytes: &[u8]) {
        match View::parse(bytes) {
            Ok(view) => {
                self.engine.on_packet(self.clock.now(), origin, &view, &mut self.out);
                self.carry_out(view.bytes);
            }
            Err(reason) => *self.malformed.entry(reason).or_default() += 1,
        }
    }

    fn carry_out(&mut self, packet: &[u8]) {
        for action in self.out.drain(..) {
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
                    self.sockets.send_datagram(wire::message(message), to.0);
                }
            }
        }
    }

    fn known_peer(&self, from: SocketAddr) -> Option<Id> {
        let IpAddr::V4(ip) = from.ip() else {
            return None;
        };
        Some(Id(ip)).filter(|id| self.known.contains(id))
    }

    fn learn_cold_starts(&mut self, cold_starts: &[ColdStart]) {
        let addresses: Vec<_> = self.engine.pools().map(|(address, _)| *address).collect();
        for address in addresses {
            let Some(pool) = self.engine.pool_mut(&address) else {
                continue;
            };
            for cold in cold_starts {
                pool.learn_cold_since(cold.upstream, cold.since);
            }
        }
    }

    fn report(&mut self) {
        if Instant::now() < self.next_report {
            return;
        }
        self.next_report = Instant::now() + REPORT_EVERY;
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
        for (count, value) in self.engine.counters().iter() {
            metrics::counter!(format!("ibis_{}_total", count.name())).absolute(value);
        }
        for (reason, value) in &self.malformed {
            let reason = reason.to_string();
            metrics::counter!("ibis_drop_malformed_total", "reason" => reason).absolute(*value);
        }
        metrics::counter!("ibis_drop_foreign_peer_total").absolute(self.foreign_peers);
        metrics::counter!("ibis_drop_malformed_peer_total").absolute(self.malformed_peers);
        metrics::counter!("ibis_failed_sends_total").absolute(self.sockets.failed_sends());
        metrics::gauge!("ibis_flows").set(self.engine.flow_count() as f64);
        metrics::gauge!("ibis_learned_flows").set(self.engine.learned_count() as f64);
        for (address, pool) in self.engine.pools() {
            for (upstream, open) in pool.counts() {
                let labels =
                    [("service", address.socket.to_string()), ("upstream", upstream.to_string())];
                metrics::gauge!("ibis_upstream_flows", &labels).set(f64::from(open));
            }
        }
    }
}

/// Logs a reset, for those who look for the end of a flow.
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
