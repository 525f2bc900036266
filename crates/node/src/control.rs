//! The control state: what is believed, what the traffic thread is told, and readiness.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, TryRecvError};
use std::time::Duration;

use directory::{Directory, Member, Record};
use health::{Reachability, Tally};
use kameo::Actor;
use kameo::message::{Context, Message};
use peer_proto::v1;
use stdx::hash;
use stdx::time::{Clock, Timestamp};
use steer::{Table, UpstreamId};
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::event_log::EventLogger;
use crate::traffic::{Command, ReachabilityReport, Report};

/// Time between looks at the traffic thread's reports.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Entries that are told of failed answers at most, so that messages don't grow with the fleet.
const TOLD_MOST: usize = 48;

stdx::value! {
    /// Whether packets of clients are wanted here.
    pub enum Readiness {
        /// The table is not there yet.
        Starting,
        /// Packets may come.
        Ready,
        /// No upstream that may be used answers.
        Unable,
        /// The process is about to stop.
        Leaving,
        /// The traffic thread has ended by itself; only a new process helps.
        Broken,
    }
}

/// All records that the store holds.
#[derive(Debug)]
pub struct Loaded(pub Vec<Record>);

/// Records that have changed.
#[derive(Debug)]
pub struct Changed(pub Vec<Record>);

/// The store does not answer.
#[derive(Debug, Clone, Copy)]
pub struct StoreLost;

/// Settings that decide how far facts are trusted have changed.
#[derive(Debug, Clone, Copy)]
pub struct Reconfigure(pub directory::Settings);

/// Time has passed.
#[derive(Debug, Clone, Copy)]
pub struct Tick;

/// The process is about to stop.
#[derive(Debug, Clone, Copy)]
pub struct Leave;

/// Another entry has answered.
#[derive(Debug, Clone, Copy)]
pub struct Pong {
    /// The other entry.
    pub from: SocketAddrV4,
    /// The number of the question.
    pub nonce: u64,
}

/// Time to ask silent zones again.
#[derive(Debug, Clone, Copy)]
pub struct PingZones;

/// What this entry has seen of upstreams' answers, for the others.
#[derive(Debug)]
pub struct SendUpdates(pub Vec<Tally<UpstreamId>>);

/// What another entry has seen of upstreams' answers.
#[derive(Debug)]
pub struct ReceivedUpdates {
    /// The other entry.
    pub from: SocketAddrV4,
    /// What it has seen.
    pub answers: v1::Answers,
}

/// The state of the control thread.
#[derive(Debug, Actor)]
pub struct Control {
    clock: Clock,
    name: String,
    directory: Directory,
    commands: Sender<Command>,
    reports: Receiver<Report>,
    ready: watch::Sender<Readiness>,
    narrator: EventLogger,
    leaving: bool,
    broken: bool,
    reach: Reachability,
    table: Arc<Table>,
    socket: Arc<UdpSocket>,
}

impl Control {
    /// Control state of an entry that knows nothing yet.
    pub fn new(
        clock: Clock,
        name: &str,
        directory: Directory,
        commands: Sender<Command>,
        reports: Receiver<Report>,
        ready: watch::Sender<Readiness>,
        socket: Arc<UdpSocket>,
    ) -> Self {
        Self {
            clock,
            name: name.to_owned(),
            directory,
            commands,
            reports,
            ready,
            narrator: EventLogger::new(),
            leaving: false,
            broken: false,
            reach: Reachability::default(),
            table: Arc::new(Table::default()),
            socket,
        }
    }

    fn publish(&mut self, now: Timestamp) {
        let (table, shift) = self.directory.table(now, &self.name);
        self.narrator.on_table(&table, &shift);
        let table = Arc::new(table);
        self.narrator.set_table(Arc::clone(&table));
        self.table = Arc::clone(&table);
        self.command(Command::Table(table));
        self.show_readiness(now);
    }

    fn on_reports(&mut self, now: Timestamp) {
        loop {
            match self.reports.try_recv() {
                Ok(Report::Event(at, event)) => self.narrator.on_event(at, &event),
                Ok(Report::Counts(counts)) => self.narrator.on_counts(&counts),
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => {
                    self.broken = true;
                    break;
                }
            }
        }
        self.narrator.on_tick(now);
        self.show_readiness(now);
    }

    fn command(&mut self, command: Command) {
        if self.commands.send(command).is_err() {
            tracing::error!("the traffic thread is gone");
            self.broken = true;
        }
    }

    fn show_readiness(&mut self, now: Timestamp) {
        let readiness = self.readiness(now);
        let before = *self.ready.borrow();
        if before != readiness {
            tracing::info!(?before, now = ?readiness, "readiness changed");
            self.ready.send_replace(readiness);
        }
    }

    fn readiness(&mut self, now: Timestamp) -> Readiness {
        if self.leaving {
            return Readiness::Leaving;
        }
        if self.broken {
            return Readiness::Broken;
        }
        if !self.directory.is_synced() || !self.directory.is_complete(now) {
            return Readiness::Starting;
        }
        if self.reach.should_serve(now) { Readiness::Ready } else { Readiness::Unable }
    }

    /// Asks entries of silent zones whether they can be reached.
    fn ask_around(&mut self, now: Timestamp) {
        let own = self.name.as_str();
        let members = self.directory.members().filter(|(name, _)| *name != own);
        let members: Vec<(&str, SocketAddrV4)> =
            members.map(|(_, member)| (member.zone.as_str(), member.addr)).collect();
        for ping in self.reach.pings(now, &members) {
            let bytes = peer_proto::encode_reach(v1::reach::Kind::Ping(ping.nonce));
            if let Err(e) = self.socket.try_send_to(&bytes, ping.to.into()) {
                tracing::debug!(error = %e, to = %ping.to, "ping not sent");
            }
        }
    }
}

impl Message<Loaded> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: Loaded, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.directory.load(now, msg.0);
        self.publish(now);
    }
}

impl Message<Changed> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: Changed, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.directory.apply_all(now, msg.0);
        self.publish(now);
    }
}

impl Message<StoreLost> for Control {
    type Reply = ();

    async fn handle(&mut self, _: StoreLost, _: &mut Context<Self, ()>) {
        self.directory.store_lost();
    }
}

impl Message<Reconfigure> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: Reconfigure, _: &mut Context<Self, ()>) {
        self.directory.reconfigure(msg.0);
        self.publish(self.clock.now());
    }
}

impl Message<Tick> for Control {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.on_reports(now);
        if self.directory.next_change().is_some_and(|at| at <= now) {
            self.publish(now);
        }
    }
}

impl Message<ReachabilityReport> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: ReachabilityReport, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let is_silent = |place: usize| msg.silent_zones & (1 << place.min(63)) != 0;
        let zones = self.table.zones.iter().enumerate();
        let silent: Vec<&str> =
            zones.filter(|(place, _)| is_silent(*place)).map(|(_, zone)| zone.as_str()).collect();
        self.reach.on_silent_zones(&silent, msg.unusable_since);
        self.ask_around(now);
        self.show_readiness(now);
    }
}

impl Message<Pong> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: Pong, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let Some(zone) = self.reach.on_pong(now, msg.from, msg.nonce) else {
            metrics::counter!("ibis_peer_answers_unasked_total").increment(1);
            return;
        };
        tracing::info!(zone, from = %msg.from, "zone can be reached");
        let zone = zone.to_owned();
        self.command(Command::ZoneReachable(zone));
    }
}

/// The entries that `own` tells of failed answers: those that follow it on a ring of all, so that each
/// one is told by as many as it tells.
pub fn update_recipients<'a>(
    own: &str,
    members: impl Iterator<Item = (&'a str, &'a Member)>,
) -> Vec<SocketAddrV4> {
    let place = |name: &str| hash::mix(hash::of_name(name));
    let own_place = place(own);
    let others = members.filter(|(name, _)| *name != own);
    let mut ring: Vec<(u64, SocketAddrV4)> =
        others.map(|(name, member)| (place(name).wrapping_sub(own_place), member.addr)).collect();
    ring.sort_unstable();
    ring.into_iter().take(TOLD_MOST).map(|(_, addr)| addr).collect()
}

impl Message<SendUpdates> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: SendUpdates, _: &mut Context<Self, ()>) {
        let tallies = msg.0.iter().map(|tally| v1::AnswerTally {
            upstream: tally.key.0,
            good: tally.good,
            failed: tally.failed,
        });
        let answers = v1::Answers { tallies: tallies.collect() };
        let bytes = peer_proto::encode_reach(v1::reach::Kind::Answers(answers));
        for addr in update_recipients(&self.name, self.directory.members()) {
            if let Err(e) = self.socket.try_send_to(&bytes, addr.into()) {
                tracing::debug!(error = %e, to = %addr, "news not sent");
            }
        }
    }
}

impl Message<ReceivedUpdates> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: ReceivedUpdates, _: &mut Context<Self, ()>) {
        if !self.directory.members().any(|(_, member)| member.addr == msg.from) {
            metrics::counter!("ibis_peer_answers_unasked_total").increment(1);
            return;
        }
        let tallies = msg.answers.tallies.iter().map(|tally| Tally {
            key: UpstreamId(tally.upstream),
            good: tally.good,
            failed: tally.failed,
        });
        let from = u64::from(u32::from(*msg.from.ip())) << 16 | u64::from(msg.from.port());
        self.command(Command::PeerUpdates(from, tallies.collect()));
    }
}

impl Message<PingZones> for Control {
    type Reply = bool;

    /// Returns whether there is more to ask soon.
    async fn handle(&mut self, _: PingZones, _: &mut Context<Self, bool>) -> bool {
        let now = self.clock.now();
        self.ask_around(now);
        self.show_readiness(now);
        self.reach.is_probing()
    }
}

impl Message<Leave> for Control {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, ()>) {
        self.leaving = true;
        self.show_readiness(self.clock.now());
    }
}
