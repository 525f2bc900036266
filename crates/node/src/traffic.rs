//! The traffic thread: receives packets on one UDP socket, steers them by the engine's decisions,
//! and exchanges commands and reports with the control thread without ever blocking on it.

use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, Sender, SyncSender, TrySendError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use health::Tally;
use load::Entry;
use rustix::event::{PollFd, PollFlags, Timespec};
use stdx::time::{Clock, Timestamp};
use steer::acknowledgements::AcknowledgementTally;
use steer::decision::{Drop, Hedge};
use steer::{
    Action, Backlog, Engine, Event, FlowKey, HoldQueue, LookupQueue, Packet, Pin, Stats, Table,
    Token, UpstreamId, ZoneId,
};
use tokio::sync::{mpsc as async_mpsc, watch};

use crate::pause::PauseDetector;

/// Longest wait for a packet; bounds how late a command is handled.
const MAX_WAIT: Duration = Duration::from_millis(50);

/// Packets read before timers and commands are handled.
const BATCH_PACKETS: usize = 64;

/// Largest datagram that is read; longer ones are truncated.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Length of the encapsulation header, which names the upstream in front of each packet.
pub const ENCAP_BYTES: usize = 8;

/// Reports queued for the control thread; further ones are dropped.
const MAX_QUEUED_REPORTS: usize = 4_096;

/// Longest time that openings are held for a new table after a process pause. The store may be
/// unreachable, and clients retransmit a SYN for the first time after 200 ms.
const MAX_TABLE_WAIT: Duration = Duration::from_millis(300);

/// Interval of outcome updates to other entries; the sooner they learn of failed answers, the fewer
/// flows are lost.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of news of silent upstreams to other entries. Until they arrive, flows wait there.
const SILENCE_NEWS_INTERVAL: Duration = Duration::from_millis(40);

/// Messages to other entries queued for the control thread; further ones are dropped.
const MAX_QUEUED_PEER_MESSAGES: usize = 64;

/// Interval of reports of counts.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Encoding and decoding of packets on the wire.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Decodes a client's packet; `None` if it is malformed.
    pub decode: fn(&[u8]) -> Option<Packet>,
    /// Writes a steering token into an encoded packet.
    pub set_token: fn(&mut [u8], Token),
    /// Encodes a reset into a buffer and returns its length.
    pub reset: fn(&steer::decision::Reset, &mut [u8]) -> usize,
}

/// Commands from the control thread to the traffic thread.
#[derive(Debug)]
pub enum Command {
    /// Applies a new table.
    Table(Arc<Table>),
    /// Marks a zone as reachable because one of its entries answered a ping.
    ZoneReachable(String),
    /// Applies outcome updates of another entry; the number is made of its address and port.
    PeerUpdates(u64, Vec<Tally<UpstreamId>>),
    /// Applies another entry's news of silent upstreams; the number is made as above.
    SilenceNews(u64, Vec<health::News<UpstreamId>>),
    /// Applies what another entry has observed of acknowledgements, by the hash of services' names.
    Acknowledgements(Vec<(u64, AcknowledgementTally)>),
    /// Applies pins of another entry.
    Pins(Vec<Pin>),
    /// All other entries that were asked about these flows have answered.
    Answered(Vec<FlowKey>),
    /// Reports what is known of the upstreams of flows to the entry at the address.
    FindPins(SocketAddrV4, Vec<FlowKey>),
    /// Sets the entries that exchange news of load, and the number of this one.
    LoadEntries(u64, Vec<Entry>),
    /// Merges the news of load of the entry with the number.
    LoadNews(u64, load::Report),
    /// Reports all pins, because the process is shutting down.
    ShareAllPins,
    /// Ends the thread.
    Stop,
}

/// Messages from the traffic thread to other entries.
#[derive(Debug)]
pub enum PeerMessage {
    /// Outcomes of upstreams' answers.
    Outcomes(Vec<Tally<UpstreamId>>),
    /// News of silent upstreams.
    Silences(Vec<health::News<UpstreamId>>),
    /// How upstreams acknowledge requests, by the hash of services' names.
    Acknowledgements(Vec<(u64, AcknowledgementTally)>),
    /// New pins.
    Pins(Vec<Pin>),
    /// Asks for the pins of flows.
    LookUp(Vec<FlowKey>),
    /// Answers an entry's question for the pins of flows.
    Found {
        /// The address of the entry.
        to: SocketAddrV4,
        /// Pins of flows that are known here.
        pins: Vec<Pin>,
        /// The other flows.
        unknown: Vec<FlowKey>,
    },
    /// News of load.
    Load(Vec<load::News>),
}

/// Reports from the traffic thread to the control thread.
#[derive(Debug, Clone)]
pub enum Report {
    /// An event of the engine and the time of the report.
    Event(Timestamp, Event),
    /// Counters since the start.
    Counts(Box<Counts>),
    /// The thread did not run for this long, until the time of the report.
    Paused(Timestamp, Duration),
}

stdx::value! {
    /// Which zones and services can be reached, as observed from openings.
    #[derive(Default)]
    pub struct ReachabilityReport {
        /// Bit set of the zones, by their index in the table, in which no upstream answers.
        pub unreachable_zones: u64,
        /// Since when all upstreams of some service are in unreachable zones; `None` if there is no
        /// such service.
        pub unusable_since: Option<Timestamp>,
    }
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Counters of the engine.
    pub engine: Stats,
    /// Packets received.
    pub received: u64,
    /// Packets dropped because they could not be decoded.
    pub malformed: u64,
    /// Packets dropped because no service has their address.
    pub no_route: u64,
    /// Packets dropped because their token names no upstream of their service.
    pub unknown_token: u64,
    /// Packets dropped as retransmitted openings of open flows.
    pub late_copies: u64,
    /// First packets of flows that began at another entry, dropped because the other entries were asked
    /// about too many flows.
    pub unasked: u64,
    /// Packets held until a current table is available.
    pub held: u64,
    /// Held packets dropped to make room for newer ones.
    pub held_dropped: u64,
    /// Openings dropped because they may have arrived before the end of a process pause.
    pub old_openings: u64,
    /// Packets that the socket did not accept for sending.
    pub send_failed: u64,
    /// Events dropped because the queue to the control thread was full.
    pub reports_lost: u64,
    /// Messages to other entries dropped because the queue to the control thread was full.
    pub updates_lost: u64,
    /// Baseline of the time from an opening to its answer, in microseconds.
    pub opening_baseline_us: u64,
    /// Openings that the engine currently tracks.
    pub tracked_openings: u64,
    /// News of load sent and received.
    pub load_news: load::Traffic,
    /// How well the load over all entries is known; `None` if not well enough to decide by.
    pub load_status: Option<load::Status>,
    /// Whether any entry is known to have load.
    pub has_fleet_load: bool,
    /// Longest time between two iterations of the loop since the last report, in microseconds.
    pub loop_gap_us: u64,
}

/// Configuration of the traffic thread.
#[derive(Debug, Clone)]
pub struct Config {
    /// Address on which packets are received.
    pub listen: SocketAddrV4,
    /// Port on which clients receive resets.
    pub client_port: u16,
    /// This entry's availability zone.
    pub zone: String,
    /// Settings of the engine.
    pub engine: steer::Settings,
    /// Wire format of packets.
    pub codec: Codec,
}

/// Handle of a running traffic thread.
#[derive(Debug)]
pub struct Handle {
    /// Sends commands to the thread.
    pub commands: Sender<Command>,
    /// Receives the thread's reports.
    pub reports: Receiver<Report>,
    /// Packets received so far; shutdown reads it to detect that traffic has stopped.
    pub received: Arc<AtomicU64>,
    /// Latest reachability of zones and services.
    pub reachability: watch::Receiver<ReachabilityReport>,
    /// Messages to be sent to other entries.
    pub peer_messages: async_mpsc::Receiver<PeerMessage>,
    /// Join handle of the thread.
    pub thread: JoinHandle<io::Result<()>>,
}

/// Binds the socket and starts the traffic thread.
///
/// # Errors
///
/// Returns an error if the socket can't be bound or the thread can't be started.
pub fn start(cfg: Config, clock: Clock) -> io::Result<Handle> {
    let socket = UdpSocket::bind(cfg.listen)?;
    socket.set_nonblocking(true)?;
    let (commands, inbox) = mpsc::channel();
    let (tx, reports) = mpsc::sync_channel(MAX_QUEUED_REPORTS);
    let (reachability_tx, reachability) = watch::channel(ReachabilityReport::default());
    let (peer_messages_tx, peer_messages) = async_mpsc::channel(MAX_QUEUED_PEER_MESSAGES);
    let worker = Worker::new(
        cfg,
        socket,
        clock,
        Outputs { reports: tx, reachability: reachability_tx, peer_messages: peer_messages_tx },
    );
    let received = Arc::clone(&worker.received);
    let thread =
        thread::Builder::new().name("traffic".to_owned()).spawn(move || worker.run(&inbox))?;
    Ok(Handle { commands, reports, received, reachability, peer_messages, thread })
}

/// Waits for the traffic thread to end.
///
/// # Errors
///
/// Returns the error with which the thread ended, or an error if it panicked.
pub fn join(thread: JoinHandle<io::Result<()>>) -> io::Result<()> {
    thread.join().unwrap_or_else(|_panic| Err(io::Error::other("the traffic thread panicked")))
}

/// Channels to the control thread.
struct Outputs {
    reports: SyncSender<Report>,
    reachability: watch::Sender<ReachabilityReport>,
    peer_messages: async_mpsc::Sender<PeerMessage>,
}

struct Worker {
    cfg: Config,
    socket: UdpSocket,
    clock: Clock,
    engine: Engine,
    backlog: Backlog,
    hold_queue: HoldQueue<Vec<u8>>,
    /// Packets whose flow's upstream other entries were asked for.
    lookups: LookupQueue<Vec<u8>>,
    /// Flows that the other entries are to be asked for.
    unknown_flows: Vec<FlowKey>,
    out: Outputs,
    counts: Counts,
    pause_detector: PauseDetector,
    /// Set after a process pause: until then openings are held, as the table may be stale.
    stale_until: Option<Timestamp>,
    last_report: Timestamp,
    last_update: Timestamp,
    last_silence_news: Timestamp,
    received: Arc<AtomicU64>,
    last_iteration: Timestamp,
}

impl Worker {
    fn new(cfg: Config, socket: UdpSocket, clock: Clock, out: Outputs) -> Self {
        let now = clock.now();
        Self {
            engine: Engine::new(now, cfg.engine),
            backlog: Backlog::new(now),
            cfg,
            socket,
            clock,
            hold_queue: HoldQueue::default(),
            lookups: LookupQueue::default(),
            unknown_flows: Vec::new(),
            out,
            counts: Counts::default(),
            pause_detector: PauseDetector::start(),
            stale_until: None,
            last_report: now,
            last_update: now,
            last_silence_news: now,
            received: Arc::default(),
            last_iteration: now,
        }
    }

    fn run(mut self, inbox: &Receiver<Command>) -> io::Result<()> {
        let mut buf = [0_u8; ENCAP_BYTES + MAX_DATAGRAM_BYTES];
        loop {
            self.wait()?;
            let now = self.clock.now();
            self.counts.loop_gap_us =
                self.counts.loop_gap_us.max(now.since(self.last_iteration).as_micros() as u64);
            // Commands come first: replaying held packets takes time, and answers that arrive
            // meanwhile have to be read before timers run.
            while let Ok(command) = inbox.try_recv() {
                if !self.on_command(command) {
                    return self.finish(&mut buf);
                }
            }
            self.check_pause();
            let backlogged = self.receive(&mut buf)?;
            self.received.store(self.counts.received, Ordering::Relaxed);
            self.run_timers(backlogged);
            self.replay_settled();
            self.reset_stranded();
            self.share_pins();
            self.share_load();
            self.report();
            self.last_iteration = self.clock.now();
        }
    }

    /// Handles the packets that have arrived, and passes the last pins on: nobody else knows them.
    fn finish(&mut self, buf: &mut [u8]) -> io::Result<()> {
        let end = self.clock.now() + MAX_WAIT;
        while self.receive(buf)? && self.clock.now() < end {}
        let pins = self.engine.take_new_pins();
        if !pins.is_empty()
            && self.out.peer_messages.blocking_send(PeerMessage::Pins(pins)).is_err()
        {
            self.counts.updates_lost += 1;
        }
        Ok(())
    }

    /// Holds openings after a process pause; replays them by the old table if no new one arrives
    /// within [`MAX_TABLE_WAIT`].
    fn check_pause(&mut self) {
        let now = self.clock.now();
        if self.pause_detector.check().is_some() {
            self.stale_until = Some(now + MAX_TABLE_WAIT);
        }
        if self.stale_until.is_some_and(|until| until <= now) {
            self.stale_until = None;
            self.replay();
        }
    }

    /// Waits for a packet or the next timer.
    fn wait(&self) -> io::Result<()> {
        let now = self.clock.now();
        let timeout = self.engine.next_timer().map_or(MAX_WAIT, |at| at.since(now)).min(MAX_WAIT);
        let timespec = Timespec {
            tv_sec: timeout.as_secs().cast_signed(),
            tv_nsec: i64::from(timeout.subsec_nanos()),
        };
        let fd = self.socket.as_fd();
        match rustix::event::poll(&mut [PollFd::new(&fd, PollFlags::IN)], Some(&timespec)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => Ok(()),
            Err(e) => Err(e.into()),
        }
    }

    /// Receives a batch of packets. Returns whether more may be queued in the socket.
    fn receive(&mut self, buf: &mut [u8]) -> io::Result<bool> {
        self.check_backlog(self.clock.now());
        for _ in 0..BATCH_PACKETS {
            match self.socket.recv(&mut buf[ENCAP_BYTES..]) {
                Ok(len) => self.on_received(self.clock.now(), buf, len),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.backlog.on_empty();
                    self.engine.note_arrival(self.clock.now());
                    return Ok(false);
                }
                // An ICMP error for an earlier packet, or a signal; the socket is still usable.
                Err(e) if is_transient(&e) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    /// Reports a pause of the process, after which packets in the socket may be old.
    fn check_backlog(&mut self, now: Timestamp) {
        if let Some(pause) = self.backlog.check_pause(now)
            && self.out.reports.try_send(Report::Paused(now, pause)).is_err()
        {
            self.counts.reports_lost += 1;
        }
    }

    /// Handles the packet in `buf`, which was read from the socket. It starts after the space for
    /// the encapsulation header.
    fn on_received(&mut self, now: Timestamp, buf: &mut [u8], len: usize) {
        self.counts.received += 1;
        self.check_backlog(now);
        let may_be_old = self.backlog.on_packet();
        let Some(packet) = (self.cfg.codec.decode)(&buf[ENCAP_BYTES..ENCAP_BYTES + len]) else {
            self.counts.malformed += 1;
            return;
        };
        if packet.syn && may_be_old {
            self.counts.old_openings += 1;
            return;
        }
        self.on_packet(now, &packet, buf, len);
    }

    /// Handles a queued packet again. `buf` has space for the encapsulation header.
    fn on_queued(&mut self, now: Timestamp, buf: &mut [u8], bytes: &[u8]) {
        let len = bytes.len();
        buf[ENCAP_BYTES..ENCAP_BYTES + len].copy_from_slice(bytes);
        if let Some(packet) = (self.cfg.codec.decode)(bytes) {
            self.on_packet(now, &packet, buf, len);
        }
    }

    fn on_packet(&mut self, now: Timestamp, packet: &Packet, buf: &mut [u8], len: usize) {
        if self.stale_until.is_some() && packet.syn {
            self.hold(now, &buf[ENCAP_BYTES..ENCAP_BYTES + len]);
            return;
        }
        match self.engine.on_packet(now, packet, &buf[ENCAP_BYTES..ENCAP_BYTES + len]) {
            Action::Forward(hop) => {
                let flow = packet.flow;
                (self.cfg.codec.set_token)(&mut buf[ENCAP_BYTES..], hop.token);
                self.send_encapsulated(buf, len, hop.upstream, hop.addr);
                self.replay_lookups(now, &flow, buf);
            }
            Action::Reset(reset) => self.send_reset(&reset, &mut buf[ENCAP_BYTES..]),
            Action::Hold => self.hold(now, &buf[ENCAP_BYTES..ENCAP_BYTES + len]),
            Action::LookUp(flow) => {
                let packet = buf[ENCAP_BYTES..ENCAP_BYTES + len].to_vec();
                if self.lookups.push(now, flow, packet) {
                    self.unknown_flows.push(flow);
                }
            }
            Action::Await(flow) => {
                let packet = buf[ENCAP_BYTES..ENCAP_BYTES + len].to_vec();
                self.lookups.push(now, flow, packet);
            }
            Action::Drop(reason) => self.count_drop(reason),
        }
    }

    /// Applies pins of another entry, and handles the packets that waited for them.
    fn on_pins(&mut self, now: Timestamp, pins: &[Pin]) {
        self.engine.on_pins(now, pins);
        let mut buf = [0_u8; ENCAP_BYTES + MAX_DATAGRAM_BYTES];
        for pin in pins {
            self.replay_lookups(now, &pin.flow, &mut buf);
        }
    }

    /// Handles the queued packets of a flow whose upstream is known now. Uses `buf` for them.
    fn replay_lookups(&mut self, now: Timestamp, flow: &FlowKey, buf: &mut [u8]) {
        if self.lookups.is_empty() {
            return;
        }
        for packet in self.lookups.take(now, flow) {
            self.on_queued(now, buf, &packet);
        }
    }

    /// Handles the packets that waited for other entries' answers.
    fn replay_settled(&mut self) {
        let now = self.clock.now();
        let mut buf = [0_u8; ENCAP_BYTES + MAX_DATAGRAM_BYTES];
        while let Some(flow) = self.engine.next_settled(now) {
            self.replay_lookups(now, &flow, &mut buf);
        }
    }

    /// Passes new pins and lookups to the control thread, so that other entries have a flow's pin
    /// before its next request.
    fn share_pins(&mut self) {
        // While the queue is full they wait.
        if self.out.peer_messages.capacity() > 0 {
            let pins = self.engine.take_new_pins();
            if !pins.is_empty() {
                self.send_to_peers(PeerMessage::Pins(pins));
            }
        }
        self.unknown_flows.extend(self.engine.take_new_inquiries());
        if !self.unknown_flows.is_empty() {
            let flows = std::mem::take(&mut self.unknown_flows);
            self.send_to_peers(PeerMessage::LookUp(flows));
        }
    }

    /// Passes news of load to the control thread.
    fn share_load(&mut self) {
        let news = self.engine.take_load_news(self.clock.now());
        if !news.is_empty() {
            self.send_to_peers(PeerMessage::Load(news));
        }
    }

    fn send_to_peers(&mut self, msg: PeerMessage) {
        if self.out.peer_messages.try_send(msg).is_err() {
            self.counts.updates_lost += 1;
        }
    }

    fn hold(&mut self, now: Timestamp, packet: &[u8]) {
        self.counts.held += 1;
        if !self.hold_queue.push(now, packet.to_vec()) {
            self.counts.held_dropped += 1;
        }
    }

    fn count_drop(&mut self, reason: Drop) {
        match reason {
            Drop::NoRoute => self.counts.no_route += 1,
            Drop::UnknownToken => self.counts.unknown_token += 1,
            Drop::LateRetransmit => self.counts.late_copies += 1,
            Drop::TooManyInquiries => self.counts.unasked += 1,
        }
    }

    fn send_encapsulated(&mut self, buf: &mut [u8], len: usize, id: UpstreamId, to: SocketAddrV4) {
        buf[..ENCAP_BYTES].copy_from_slice(&id.0.to_be_bytes());
        self.send(&buf[..ENCAP_BYTES + len], to);
    }

    fn send(&mut self, bytes: &[u8], to: SocketAddrV4) {
        if self.socket.send_to(bytes, to).is_err() {
            self.counts.send_failed += 1;
        }
    }

    /// Returns `false` if the thread has to end.
    fn on_command(&mut self, command: Command) -> bool {
        let now = self.clock.now();
        match command {
            Command::Table(table) => {
                self.engine.apply(table, &self.cfg.zone);
                self.stale_until = None;
                self.replay();
            }
            Command::ZoneReachable(zone) => self.engine.on_zone_reachable(now, &zone),
            Command::PeerUpdates(from, updates) => self.engine.on_peer_updates(now, from, &updates),
            Command::SilenceNews(from, news) => self.engine.on_silence_news(now, from, &news),
            Command::Acknowledgements(news) => self.engine.on_acknowledgement_news(&news),
            Command::Pins(pins) => self.on_pins(now, &pins),
            Command::Answered(flows) => self.engine.on_answered(&flows),
            Command::FindPins(from, flows) => {
                let (mut pins, mut unknown) = (Vec::new(), Vec::new());
                for flow in flows {
                    let known = pins.len();
                    pins.extend(self.engine.find_pins(now, &flow));
                    if pins.len() == known {
                        unknown.push(flow);
                    }
                }
                self.send_to_peers(PeerMessage::Found { to: from, pins, unknown });
            }
            Command::LoadEntries(own, entries) => {
                self.engine.set_load_entries(now, own, &entries);
            }
            Command::LoadNews(from, report) => self.engine.on_load_news(now, from, &report),
            Command::ShareAllPins => self.engine.share_all_pins(),
            Command::Stop => return false,
        }
        true
    }

    /// Handles the held packets if the table is synced.
    fn replay(&mut self) {
        if !self.engine.table().synced {
            return;
        }
        if let Some(since) = self.hold_queue.queued_since() {
            self.engine.note_arrival(since);
        }
        let mut buf = [0_u8; ENCAP_BYTES + MAX_DATAGRAM_BYTES];
        while let Some(packet) = self.hold_queue.pop(self.clock.now()) {
            self.on_queued(self.clock.now(), &mut buf, &packet);
        }
    }

    fn run_timers(&mut self, backlogged: bool) {
        let now = self.clock.now();
        while let Some(hedge) = self.engine.on_timer(now, backlogged) {
            self.send_hedge(&hedge);
        }
    }

    /// Resets stranded flows whose clients have not sent anything since.
    fn reset_stranded(&mut self) {
        let now = self.clock.now();
        let mut buf = [0_u8; MAX_DATAGRAM_BYTES];
        while let Some(reset) = self.engine.next_reset(now) {
            self.send_reset(&reset, &mut buf);
        }
    }

    /// Sends a reset, which is written to `buf`.
    fn send_reset(&mut self, reset: &steer::decision::Reset, buf: &mut [u8]) {
        let len = (self.cfg.codec.reset)(reset, buf);
        let to = SocketAddrV4::new(*reset.flow.client.ip(), self.cfg.client_port);
        self.send(&buf[..len], to);
    }

    fn send_hedge(&mut self, hedge: &Hedge) {
        let mut buf = [0_u8; ENCAP_BYTES + steer::packet::MAX_RAW_BYTES];
        let bytes = hedge.raw.as_slice();
        buf[ENCAP_BYTES..ENCAP_BYTES + bytes.len()].copy_from_slice(bytes);
        (self.cfg.codec.set_token)(&mut buf[ENCAP_BYTES..], hedge.hop.token);
        self.send_encapsulated(&mut buf, bytes.len(), hedge.hop.upstream, hedge.hop.addr);
    }

    /// Passes outcome updates to the control thread. If the queue is full they are dropped; further
    /// ones follow as long as an upstream fails.
    fn send_outcomes(&mut self, now: Timestamp) {
        if now.since(self.last_update) < UPDATE_INTERVAL {
            return;
        }
        self.last_update = now;
        let updates = self.engine.take_updates(now);
        if !updates.is_empty() {
            self.send_to_peers(PeerMessage::Outcomes(updates));
        }
    }

    /// Passes news of silent upstreams to the control thread.
    fn send_silence_news(&mut self, now: Timestamp) {
        if now.since(self.last_silence_news) < SILENCE_NEWS_INTERVAL {
            return;
        }
        self.last_silence_news = now;
        let news = self.engine.take_silence_news(now);
        if !news.is_empty() {
            self.send_to_peers(PeerMessage::Silences(news));
        }
        let news = self.engine.take_acknowledgement_news(now);
        if !news.is_empty() {
            self.send_to_peers(PeerMessage::Acknowledgements(news));
        }
    }

    /// Sends events and counts to the control thread. Never blocks: if the queue is full, events
    /// are dropped.
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
        self.send_outcomes(now);
        self.send_silence_news(now);
        self.out.reachability.send_if_modified(|current| {
            let reachability = ReachabilityReport {
                unreachable_zones: self
                    .engine
                    .unreachable_zones()
                    .fold(0, |bits, zone| bits | zone_bit(zone)),
                unusable_since: self.engine.unusable_since(),
            };
            let changed = *current != reachability;
            *current = reachability;
            changed
        });
        if now.since(self.last_report) < REPORT_INTERVAL {
            return;
        }
        self.last_report = now;
        self.counts.engine = self.engine.stats();
        self.counts.opening_baseline_us = self.engine.opening_latency().mean().as_micros() as u64;
        self.counts.load_news = self.engine.load_traffic();
        self.counts.load_status = self.engine.load_status(now);
        self.counts.has_fleet_load = self.engine.has_fleet_load(now);
        self.counts.tracked_openings = self.engine.tracked_openings() as u64;
        if self.out.reports.try_send(Report::Counts(Box::new(self.counts))).is_ok() {
            self.counts.loop_gap_us = 0;
        }
    }
}

/// The bit of a zone in [`ReachabilityReport::unreachable_zones`]; zones from index 63 on share the
/// last one.
fn zone_bit(zone: ZoneId) -> u64 {
    1 << u32::from(zone.0).min(u64::BITS - 1)
}

/// Whether the socket is still usable after an error.
fn is_transient(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::Interrupted
    )
}
