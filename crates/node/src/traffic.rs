//! The traffic thread: one socket, the engine, and nothing that can block it.

use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, Sender, SyncSender, TrySendError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use health::Tally;
use rustix::event::{PollFd, PollFlags, Timespec};
use stdx::time::{Clock, Timestamp};
use steer::decision::{Drop, Hedge};
use steer::{Action, Engine, Event, HoldQueue, Packet, Stats, Table, Token, UpstreamId, ZoneId};
use tokio::sync::{mpsc as async_mpsc, watch};

use crate::pause::PauseDetector;

/// Longest wait for a packet, so that commands are seen in time.
const WAIT_MAX: Duration = Duration::from_millis(50);

/// Packets that are read before timers and commands are looked at.
const BATCH: usize = 64;

/// Largest datagram that is read.
const DATAGRAM_MAX: usize = 2_048;

/// Bytes in front of a packet that say which upstream is meant.
pub const ENCAP_BYTES: usize = 8;

/// Reports that may wait for the control thread.
const REPORTS_MAX: usize = 4_096;

/// Longest wait for a new table after a stand-still; the store may be away, and a client sends its
/// first copy after 200 ms.
const DISTRUST_MOST: Duration = Duration::from_millis(300);

/// Time between news of answers that failed: the sooner others know, the fewer flows are lost.
const NEWS_EVERY: Duration = Duration::from_millis(100);

/// News that may wait to be sent.
const NEWS_WAITING: usize = 8;

/// Time between reports of counts.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// How packets look on the wire.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Reads a client's packet; `None` if it is malformed.
    pub decode: fn(&[u8]) -> Option<Packet>,
    /// Writes a token into a packet.
    pub set_token: fn(&mut [u8], Token),
    /// Writes a reset into a buffer and returns its length.
    pub reset: fn(&steer::decision::Reset, &mut [u8]) -> usize,
}

/// What the traffic thread is told.
#[derive(Debug)]
pub enum Command {
    /// A new table is in force.
    Table(Arc<Table>),
    /// A zone can be reached, as its entries say.
    ZoneReachable(String),
    /// Another entry, by its number, has seen this of upstreams' answers.
    PeerUpdates(u64, Vec<Tally<UpstreamId>>),
    /// Stop.
    Stop,
}

/// What the traffic thread tells.
#[derive(Debug, Clone, Copy)]
pub enum Report {
    /// A decision, and when it was taken.
    Event(Timestamp, Event),
    /// Counts since the start.
    Counts(Counts),
}

stdx::value! {
    /// What openings tell of zones.
    #[derive(Default)]
    pub struct ReachabilityReport {
        /// A bit for each zone of the table in which nothing answers.
        pub silent_zones: u64,
        /// Since when some service has no upstream that answers; `None` if all have.
        pub unusable_since: Option<Timestamp>,
    }
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Of the engine.
    pub engine: Stats,
    /// Packets that came.
    pub received: u64,
    /// Packets that can't be read.
    pub malformed: u64,
    /// Packets of addresses without a service.
    pub no_route: u64,
    /// Packets whose token names nothing that they may go to.
    pub unknown_token: u64,
    /// Copies of openings that were not needed.
    pub late_copies: u64,
    /// Packets kept until the table is there.
    pub held: u64,
    /// Kept packets that had to go for newer ones.
    pub held_dropped: u64,
    /// Packets that the system did not take.
    pub send_failed: u64,
    /// Reports that the control thread was too slow for.
    pub reports_lost: u64,
    /// News of failed answers that the control thread was too slow for.
    pub updates_lost: u64,
    /// Usual time of an opening, in microseconds.
    pub opening_baseline_us: u64,
    /// Openings remembered.
    pub open_records: u64,
    /// Longest gap between two turns of the loop since the last report, in microseconds.
    pub loop_gap_us: u64,
}

/// What a traffic thread needs to run.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where packets come in.
    pub listen: SocketAddrV4,
    /// The port at which clients receive packets of the system's own.
    pub client_port: u16,
    /// This entry's availability zone.
    pub zone: String,
    /// Bounds of the decisions.
    pub engine: steer::Settings,
    /// How packets look.
    pub codec: Codec,
}

/// A running traffic thread.
#[derive(Debug)]
pub struct Handle {
    /// Commands for it.
    pub commands: Sender<Command>,
    /// Its reports.
    pub reports: Receiver<Report>,
    /// Packets that came, for who wants to know whether they still do.
    pub received: Arc<AtomicU64>,
    /// What openings tell of zones, as it changes.
    pub reachability: watch::Receiver<ReachabilityReport>,
    /// What other entries should know of upstreams' answers.
    pub updates: async_mpsc::Receiver<Vec<Tally<UpstreamId>>>,
    /// The thread itself.
    pub thread: JoinHandle<io::Result<()>>,
}

/// Starts the thread.
///
/// # Errors
///
/// Returns an error if the socket can't be bound or the thread can't be started.
pub fn start(cfg: Config, clock: Clock) -> io::Result<Handle> {
    let socket = UdpSocket::bind(cfg.listen)?;
    socket.set_nonblocking(true)?;
    let (commands, inbox) = mpsc::channel();
    let (tx, reports) = mpsc::sync_channel(REPORTS_MAX);
    let (reachability_tx, reachability) = watch::channel(ReachabilityReport::default());
    let (updates_tx, updates) = async_mpsc::channel(NEWS_WAITING);
    let lane = Lane::new(
        cfg,
        socket,
        clock,
        Outlets { reports: tx, reachability: reachability_tx, updates: updates_tx },
    );
    let received = Arc::clone(&lane.received);
    let thread =
        thread::Builder::new().name("traffic".to_owned()).spawn(move || lane.run(&inbox))?;
    Ok(Handle { commands, reports, received, reachability, updates, thread })
}

/// Waits for the thread to end.
///
/// # Errors
///
/// Returns the error that ended it.
pub fn join(thread: JoinHandle<io::Result<()>>) -> io::Result<()> {
    thread.join().unwrap_or_else(|_panic| Err(io::Error::other("the traffic thread panicked")))
}

/// Where the thread's findings go.
struct Outlets {
    reports: SyncSender<Report>,
    reachability: watch::Sender<ReachabilityReport>,
    updates: async_mpsc::Sender<Vec<Tally<UpstreamId>>>,
}

struct Lane {
    cfg: Config,
    socket: UdpSocket,
    clock: Clock,
    engine: Engine,
    held: HoldQueue<Vec<u8>>,
    out: Outlets,
    counts: Counts,
    gaps: PauseDetector,
    /// Until when the table may be too old to open flows by.
    distrust_until: Option<Timestamp>,
    last_report: Timestamp,
    last_news: Timestamp,
    received: Arc<AtomicU64>,
    last_turn: Timestamp,
}

impl Lane {
    fn new(cfg: Config, socket: UdpSocket, clock: Clock, out: Outlets) -> Self {
        let now = clock.now();
        Self {
            engine: Engine::new(now, cfg.engine),
            cfg,
            socket,
            clock,
            held: HoldQueue::default(),
            out,
            counts: Counts::default(),
            gaps: PauseDetector::start(),
            distrust_until: None,
            last_report: now,
            last_news: now,
            received: Arc::default(),
            last_turn: now,
        }
    }

    fn run(mut self, inbox: &Receiver<Command>) -> io::Result<()> {
        let mut buf = [0_u8; ENCAP_BYTES + DATAGRAM_MAX];
        loop {
            self.wait()?;
            let now = self.clock.now();
            self.counts.loop_gap_us =
                self.counts.loop_gap_us.max(now.since(self.last_turn).as_micros() as u64);
            // Commands first: kept packets take time, and answers that come meanwhile are read
            // before timers run.
            while let Ok(command) = inbox.try_recv() {
                if !self.on_command(command) {
                    return Ok(());
                }
            }
            self.check_trust();
            let behind = self.receive(&mut buf)?;
            self.received.store(self.counts.received, Ordering::Relaxed);
            self.run_timers(behind);
            self.report();
            self.last_turn = self.clock.now();
        }
    }

    /// After a stand-still flows are opened by a new table, or by the old one if none comes.
    fn check_trust(&mut self) {
        let now = self.clock.now();
        if self.gaps.check().is_some() {
            self.distrust_until = Some(now + DISTRUST_MOST);
        }
        if self.distrust_until.is_some_and(|until| until <= now) {
            self.distrust_until = None;
            self.replay();
        }
    }

    /// Waits for a packet or the next timer.
    fn wait(&self) -> io::Result<()> {
        let now = self.clock.now();
        let due = self.engine.next_timer().map_or(WAIT_MAX, |at| at.since(now)).min(WAIT_MAX);
        let timeout = Timespec { tv_sec: 0, tv_nsec: i64::from(due.subsec_nanos()) };
        let fd = self.socket.as_fd();
        match rustix::event::poll(&mut [PollFd::new(&fd, PollFlags::IN)], Some(&timeout)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => Ok(()),
            Err(e) => Err(e.into()),
        }
    }

    /// Reads a batch of packets. Returns whether more may be waiting.
    fn receive(&mut self, buf: &mut [u8]) -> io::Result<bool> {
        for _ in 0..BATCH {
            match self.socket.recv(&mut buf[ENCAP_BYTES..]) {
                Ok(len) => self.on_datagram(self.clock.now(), buf, len),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                // An answer of the network to an earlier packet, or a signal; the socket is fine.
                Err(e) if is_passing(&e) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    /// Handles the packet in `buf` behind the room for the frame.
    fn on_datagram(&mut self, now: Timestamp, buf: &mut [u8], len: usize) {
        self.counts.received += 1;
        let Some(packet) = (self.cfg.codec.decode)(&buf[ENCAP_BYTES..ENCAP_BYTES + len]) else {
            self.counts.malformed += 1;
            return;
        };
        if self.distrust_until.is_some() && packet.syn {
            self.hold(now, &buf[ENCAP_BYTES..ENCAP_BYTES + len]);
            return;
        }
        match self.engine.on_packet(now, &packet, &buf[ENCAP_BYTES..ENCAP_BYTES + len]) {
            Action::Forward(hop) => {
                (self.cfg.codec.set_token)(&mut buf[ENCAP_BYTES..], hop.token);
                self.send_framed(buf, len, hop.upstream, hop.addr);
            }
            Action::Reset(reset) => {
                let len = (self.cfg.codec.reset)(&reset, &mut buf[ENCAP_BYTES..]);
                let to = SocketAddrV4::new(*reset.flow.client.ip(), self.cfg.client_port);
                self.send(&buf[ENCAP_BYTES..ENCAP_BYTES + len], to);
            }
            Action::Hold => self.hold(now, &buf[ENCAP_BYTES..ENCAP_BYTES + len]),
            Action::Drop(reason) => self.count_drop(reason),
        }
    }

    fn hold(&mut self, now: Timestamp, packet: &[u8]) {
        self.counts.held += 1;
        if !self.held.push(now, packet.to_vec()) {
            self.counts.held_dropped += 1;
        }
    }

    fn count_drop(&mut self, reason: Drop) {
        match reason {
            Drop::NoRoute => self.counts.no_route += 1,
            Drop::UnknownToken => self.counts.unknown_token += 1,
            Drop::LateRetransmit | Drop::AfterRefusal => self.counts.late_copies += 1,
        }
    }

    fn send_framed(&mut self, buf: &mut [u8], len: usize, id: UpstreamId, to: SocketAddrV4) {
        buf[..ENCAP_BYTES].copy_from_slice(&id.0.to_be_bytes());
        self.send(&buf[..ENCAP_BYTES + len], to);
    }

    fn send(&mut self, bytes: &[u8], to: SocketAddrV4) {
        if self.socket.send_to(bytes, to).is_err() {
            self.counts.send_failed += 1;
        }
    }

    /// Returns false when the thread is to stop.
    fn on_command(&mut self, command: Command) -> bool {
        let now = self.clock.now();
        match command {
            Command::Table(table) => {
                self.engine.apply(table, &self.cfg.zone);
                self.distrust_until = None;
                self.replay();
            }
            Command::ZoneReachable(zone) => self.engine.on_zone_reachable(now, &zone),
            Command::PeerUpdates(from, news) => self.engine.on_peer_updates(now, from, &news),
            Command::Stop => return false,
        }
        true
    }

    /// Handles packets that were kept, if the table is there by now.
    fn replay(&mut self) {
        if !self.engine.table().synced {
            return;
        }
        let mut buf = [0_u8; ENCAP_BYTES + DATAGRAM_MAX];
        while let Some(packet) = self.held.pop(self.clock.now()) {
            buf[ENCAP_BYTES..ENCAP_BYTES + packet.len()].copy_from_slice(&packet);
            self.on_datagram(self.clock.now(), &mut buf, packet.len());
        }
    }

    fn run_timers(&mut self, behind: bool) {
        let now = self.clock.now();
        while let Some(hedge) = self.engine.on_timer(now, behind) {
            self.send_again(&hedge);
        }
    }

    fn send_again(&mut self, hedge: &Hedge) {
        let mut buf = [0_u8; ENCAP_BYTES + steer::packet::MAX_RAW_BYTES];
        let bytes = hedge.raw.as_slice();
        buf[ENCAP_BYTES..ENCAP_BYTES + bytes.len()].copy_from_slice(bytes);
        (self.cfg.codec.set_token)(&mut buf[ENCAP_BYTES..], hedge.hop.token);
        self.send_framed(&mut buf, bytes.len(), hedge.hop.upstream, hedge.hop.addr);
    }

    /// Hands over what other entries should know. What does not fit is lost; more follows as long as
    /// an upstream fails.
    fn tell_news(&mut self, now: Timestamp) {
        if now.since(self.last_news) < NEWS_EVERY {
            return;
        }
        self.last_news = now;
        let news = self.engine.take_updates(now);
        if !news.is_empty() && self.out.updates.try_send(news).is_err() {
            self.counts.updates_lost += 1;
        }
    }

    /// Tells the control thread what was decided. It may be too slow: traffic goes on.
    fn report(&mut self) {
        let now = self.clock.now();
        let mut lost = 0;
        for event in self.engine.take_events() {
            if let Err(TrySendError::Full(_)) = self.out.reports.try_send(Report::Event(now, event))
            {
                lost += 1;
            }
        }
        self.counts.reports_lost += lost;
        self.tell_news(now);
        self.out.reachability.send_if_modified(|known| {
            let silence = ReachabilityReport {
                silent_zones: self
                    .engine
                    .unreachable_zones()
                    .fold(0, |bits, zone| bits | zone_bit(zone)),
                unusable_since: self.engine.unusable_since(),
            };
            let changed = *known != silence;
            *known = silence;
            changed
        });
        if now.since(self.last_report) < REPORT_EVERY {
            return;
        }
        self.last_report = now;
        self.counts.engine = self.engine.stats();
        self.counts.opening_baseline_us = self.engine.opening_latency().mean().as_micros() as u64;
        self.counts.open_records = self.engine.tracked_openings() as u64;
        if self.out.reports.try_send(Report::Counts(self.counts)).is_ok() {
            self.counts.loop_gap_us = 0;
        }
    }
}

/// The bit of a zone; zones beyond the bits share the last one.
fn zone_bit(zone: ZoneId) -> u64 {
    1 << u32::from(zone.0).min(u64::BITS - 1)
}

/// Whether an error of a socket says nothing about the socket.
fn is_passing(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::Interrupted
    )
}
