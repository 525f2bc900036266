//! The control actor: derives the table from the store's records, sends it to the traffic thread,
//! exchanges pings, outcome updates, pins, services of routes and news of load with other entries,
//! and decides on readiness.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, TryRecvError};
use std::time::Duration;

use directory::{Directory, Member, Record};
use health::{Reachability, Tally};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use load::Entry;
use peer_proto::v1;
use stdx::hash;
use stdx::time::{Clock, Timestamp};
use steer::{FlowKey, Pin, Table, UpstreamId};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time;

use crate::event_log::EventLogger;
use crate::facts::Giving;
use crate::load_news;
use crate::pin_outbox::PinOutbox;
use crate::pins::{self, PendingLookups};
use crate::route_history::{self, RouteLookup};
use crate::silences;
use crate::traffic::{Command, PeerMessage, ReachabilityReport, Report};

/// Interval at which the traffic thread's reports are read.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum recipients of an outcome update, so that the messages an entry sends do not grow with
/// the fleet.
const MAX_UPDATE_RECIPIENTS: usize = 48;

stdx::value! {
    /// Whether this entry accepts traffic of clients.
    pub enum Readiness {
        /// The table is not complete yet.
        Starting,
        /// Traffic is accepted.
        Ready,
        /// All upstreams of some service are in unreachable zones; another entry may reach them.
        Unable,
        /// The process is shutting down.
        Leaving,
        /// The traffic thread has ended unexpectedly; the process has to be restarted.
        Broken,
    }
}

/// A full read of the store: all its records.
#[derive(Debug)]
pub struct Loaded(pub Vec<Record>);

/// Some records of a full read that is still under way.
#[derive(Debug)]
pub struct PageRead(pub Vec<Record>);

/// Records to apply on top of the known ones: changes in the store, or records of another entry.
#[derive(Debug)]
pub struct Changed(pub Vec<Record>);

/// Era of the store as seen in an answer, before any records of it.
#[derive(Debug, Clone, Copy)]
pub struct StoreEra(pub u64);

/// The store cannot be reached.
#[derive(Debug, Clone, Copy)]
pub struct StoreLost;

/// The settings of the directory have changed.
#[derive(Debug, Clone, Copy)]
pub struct Reconfigure(pub directory::Settings);

/// Periodic message, sent every [`TICK_INTERVAL`].
#[derive(Debug, Clone, Copy)]
pub struct Tick;

/// The process is shutting down.
#[derive(Debug, Clone, Copy)]
pub struct Leave;

/// Another entry has answered a ping.
#[derive(Debug, Clone, Copy)]
pub struct Pong {
    /// The other entry.
    pub from: SocketAddrV4,
    /// The nonce of the ping.
    pub nonce: u64,
}

/// Pings unreachable zones again; replies whether there are any.
#[derive(Debug, Clone, Copy)]
pub struct PingZones;

/// A message of the traffic thread, to be sent to other entries.
#[derive(Debug)]
pub struct SendToPeers(pub PeerMessage);

/// Outcome updates received from another entry.
#[derive(Debug)]
pub struct ReceivedUpdates {
    /// The other entry.
    pub from: SocketAddrV4,
    /// The updates.
    pub answers: v1::Answers,
}

/// News of silent upstreams received from another entry.
#[derive(Debug)]
pub struct ReceivedSilences {
    /// The other entry.
    pub from: SocketAddrV4,
    /// The news.
    pub silences: v1::Silences,
}

/// Pins received from another entry.
#[derive(Debug)]
pub struct ReceivedPins {
    /// The other entry.
    pub from: SocketAddrV4,
    /// The pins.
    pub pins: v1::Pins,
}

/// Another entry has confirmed a message with pins.
#[derive(Debug, Clone, Copy)]
pub struct PinsConfirmed {
    /// The other entry.
    pub from: SocketAddrV4,
    /// The number of the message.
    pub number: u32,
}

/// Sends unconfirmed pins again, as far as they are due.
#[derive(Debug, Clone, Copy)]
pub struct ResendPins;

/// Asks for the number of messages with pins that listed entries have not confirmed.
#[derive(Debug, Clone, Copy)]
pub struct CountUnconfirmedPins;

/// Flows whose upstreams another entry asks for.
#[derive(Debug)]
pub struct ReceivedLookup {
    /// The other entry.
    pub from: SocketAddrV4,
    /// The flows.
    pub lookup: v1::PinLookup,
}

/// News of load received from another entry.
#[derive(Debug)]
pub struct ReceivedLoadReport {
    /// The other entry.
    pub from: SocketAddrV4,
    /// The news.
    pub report: v1::LoadReport,
}

/// Another entry asks for the services that routes have named.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedRouteLookup {
    /// The other entry.
    pub from: SocketAddrV4,
}

/// Services that routes have named, as another entry knows them.
#[derive(Debug)]
pub struct ReceivedRouteServices {
    /// The other entry.
    pub from: SocketAddrV4,
    /// The routes with their services.
    pub services: v1::RouteServices,
}

/// The control actor.
#[derive(Debug, Actor)]
pub struct Control {
    pub(crate) clock: Clock,
    pub(crate) name: String,
    pub(crate) directory: Directory,
    commands: Sender<Command>,
    reports: Receiver<Report>,
    ready: watch::Sender<Readiness>,
    event_logger: EventLogger,
    leaving: bool,
    broken: bool,
    reach: Reachability,
    route_lookup: RouteLookup,
    pin_lookups: PendingLookups,
    pin_outbox: PinOutbox,
    /// When the next [`ResendPins`] message comes, and its timer.
    next_resend: Option<(Timestamp, AbortHandle)>,
    table: Arc<Table>,
    socket: Arc<UdpSocket>,
    pub(crate) giving: Giving,
    /// Whether news of load are exchanged.
    load_news: bool,
    /// The entries that the traffic thread exchanges them with.
    load_entries: Vec<Entry>,
}

impl Control {
    /// Creates the control state of an entry that has read no records yet.
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
            event_logger: EventLogger::new(),
            leaving: false,
            broken: false,
            reach: Reachability::default(),
            route_lookup: RouteLookup::default(),
            pin_lookups: PendingLookups::default(),
            pin_outbox: PinOutbox::default(),
            next_resend: None,
            table: Arc::new(Table::default()),
            socket,
            giving: Giving::default(),
            load_news: false,
            load_entries: Vec::new(),
        }
    }

    /// Sets whether news of load are exchanged; without a call they are not.
    #[must_use]
    pub fn with_load_news(self, load_news: bool) -> Self {
        Self { load_news, ..self }
    }

    /// Sets where offers of other entries go while this one has no facts, and the capacity of its
    /// link in Mbit/s.
    #[must_use]
    pub fn with_giving(mut self, offers: mpsc::Sender<SocketAddrV4>, link_mbps: u32) -> Self {
        self.giving = Giving::new(offers, link_mbps);
        self
    }

    pub(crate) fn publish(&mut self, now: Timestamp) {
        let (table, change) = self.directory.table(now, &self.name);
        self.event_logger.on_table(&table, &change);
        let table = Arc::new(table);
        self.event_logger.set_table(Arc::clone(&table));
        self.table = Arc::clone(&table);
        self.send_command(Command::Table(table));
        self.publish_load_entries();
        self.update_readiness(now);
    }

    /// Sends the entries that exchange news of load to the traffic thread if they have changed.
    fn publish_load_entries(&mut self) {
        let entries = load_news::entries(self.directory.members());
        if !self.load_news || entries == self.load_entries {
            return;
        }
        let own = self.directory.members().find(|(name, _)| *name == self.name);
        // An entry that is not listed yet is named by a number that no other one has.
        let own = own.map_or(0, |(_, member)| load_news::entry_id(member.addr));
        self.send_command(Command::LoadEntries(own, entries.clone()));
        self.load_entries = entries;
    }

    fn read_reports(&mut self, now: Timestamp) {
        loop {
            match self.reports.try_recv() {
                Ok(Report::Event(at, event)) => self.event_logger.on_event(at, &event),
                Ok(Report::Counts(counts)) => self.event_logger.on_counts(&counts),
                Ok(Report::Paused(at, pause)) => self.event_logger.on_pause(at, pause),
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => {
                    self.broken = true;
                    break;
                }
            }
        }
        self.event_logger.on_tick(now);
        self.event_logger.on_pin_messages(self.pin_outbox.stats());
        for (entry, flows) in self.pin_lookups.take_unanswered(now) {
            metrics::counter!("ibis_flow_lookups_unanswered_total").increment(flows);
            tracing::info!(at = now.as_micros(), %entry, flows, "lookups were not answered in time");
        }
        self.update_readiness(now);
    }

    fn send_command(&mut self, command: Command) {
        if self.commands.send(command).is_err() {
            tracing::error!("the traffic thread is gone");
            self.broken = true;
        }
    }

    pub(crate) fn update_readiness(&mut self, now: Timestamp) {
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
        if !self.directory.serves(now) {
            return Readiness::Starting;
        }
        if self.reach.should_serve(now) { Readiness::Ready } else { Readiness::Unable }
    }

    /// Whether a message comes from a known entry; counts it otherwise.
    pub(crate) fn is_from_member(&self, from: SocketAddrV4) -> bool {
        let is_member = self.directory.members().any(|(_, member)| member.addr == from);
        if !is_member {
            metrics::counter!("ibis_peer_answers_unasked_total").increment(1);
        }
        is_member
    }

    /// Asks other entries for the services that routes have named, other ones each time.
    fn look_up_routes(&mut self, now: Timestamp) {
        if self.route_lookup.is_done() || !self.directory.is_synced() {
            return;
        }
        let others = update_recipients(&self.name, self.directory.members());
        if others.is_empty() {
            return;
        }
        let Some(number) = self.route_lookup.next(now) else {
            return;
        };
        let bytes = route_history::encode_lookup();
        let skipped = number as usize * route_history::LOOKUP_RECIPIENTS % others.len();
        let recipients = others.iter().cycle().skip(skipped);
        for to in recipients.take(route_history::LOOKUP_RECIPIENTS.min(others.len())) {
            self.send_to_peer(&bytes, *to);
        }
    }

    pub(crate) fn send_to_peer(&self, bytes: &[u8], to: SocketAddrV4) {
        if let Err(e) = self.socket.try_send_to(bytes, to.into()) {
            tracing::debug!(error = %e, %to, "failed to send message to another entry");
        }
    }

    /// Has the actor send unconfirmed pins again when they are due.
    fn schedule_resend(&mut self, now: Timestamp, control: &ActorRef<Self>) {
        let Some(due) = self.pin_outbox.next_due() else {
            return;
        };
        if let Some((at, timer)) = &self.next_resend {
            if *at <= due {
                return;
            }
            timer.abort();
        }
        let control = control.clone();
        let timer = tokio::spawn(async move {
            time::sleep(due.since(now)).await;
            if control.tell(ResendPins).await.is_err() {
                tracing::debug!("control actor has stopped; pins are not sent again");
            }
        });
        self.next_resend = Some((due, timer.abort_handle()));
    }

    /// Pings entries of unreachable zones to find out whether the zones can be reached after all.
    fn ping_unreachable_zones(&mut self, now: Timestamp) {
        let own = self.name.as_str();
        let members = self.directory.members().filter(|(name, _)| *name != own);
        let members: Vec<(&str, SocketAddrV4)> =
            members.map(|(_, member)| (member.zone.as_str(), member.addr)).collect();
        for ping in self.reach.pings(now, &members) {
            let bytes = peer_proto::encode_reach(v1::reach::Kind::Ping(ping.nonce));
            if let Err(e) = self.socket.try_send_to(&bytes, ping.to.into()) {
                tracing::debug!(error = %e, to = %ping.to, "failed to send ping");
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

impl Message<PageRead> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: PageRead, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        if self.directory.apply_page(now, msg.0) {
            self.publish(now);
        }
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

impl Message<StoreEra> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: StoreEra, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        metrics::gauge!("ibis_store_era").set(msg.0 as f64);
        if self.directory.on_era(now, msg.0) {
            let (at, era) = (now.as_micros(), msg.0);
            tracing::warn!(at, era, "store came back from an older copy");
            metrics::counter!("ibis_store_steps_total").increment(1);
            self.publish(now);
        }
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
        self.read_reports(now);
        self.look_up_routes(now);
        self.offer_facts(now);
        if self.directory.next_change().is_some_and(|at| at <= now) {
            self.publish(now);
        }
    }
}

impl Message<ReachabilityReport> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: ReachabilityReport, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let is_unreachable = |index: usize| msg.unreachable_zones & (1 << index.min(63)) != 0;
        let zones = self.table.zones.iter().enumerate();
        let unreachable: Vec<&str> = zones
            .filter(|(index, _)| is_unreachable(*index))
            .map(|(_, zone)| zone.as_str())
            .collect();
        self.reach.set_unreachable_zones(&unreachable, msg.unusable_since);
        self.ping_unreachable_zones(now);
        self.update_readiness(now);
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
        self.send_command(Command::ZoneReachable(zone));
    }
}

/// The entries to which `own` sends its outcome updates: its successors on a hash ring of all
/// entries, so that each entry receives updates from as many entries as it sends them to.
pub fn update_recipients<'a>(
    own: &str,
    members: impl Iterator<Item = (&'a str, &'a Member)>,
) -> Vec<SocketAddrV4> {
    let position = |name: &str| hash::mix(hash::fnv1a(name));
    let own_position = position(own);
    let others = members.filter(|(name, _)| *name != own);
    let mut ring: Vec<(u64, SocketAddrV4)> = others
        .map(|(name, member)| (position(name).wrapping_sub(own_position), member.addr))
        .collect();
    ring.sort_unstable();
    ring.into_iter().take(MAX_UPDATE_RECIPIENTS).map(|(_, addr)| addr).collect()
}

impl Message<SendToPeers> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: SendToPeers, cx: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let mut unheld = Vec::new();
        let members = || self.directory.members();
        let messages = match &msg.0 {
            PeerMessage::Outcomes(tallies) => {
                let bytes = encode_outcomes(tallies);
                let recipients = update_recipients(&self.name, members());
                recipients.into_iter().map(|addr| (addr, bytes.clone())).collect()
            }
            PeerMessage::Silences(news) => {
                let bytes = silences::encode(news);
                let recipients = update_recipients(&self.name, members());
                recipients.into_iter().map(|addr| (addr, bytes.clone())).collect()
            }
            PeerMessage::Acknowledgements(news) => {
                let bytes = silences::encode_acknowledgements(news);
                let recipients = update_recipients(&self.name, members());
                recipients.into_iter().map(|addr| (addr, bytes.clone())).collect()
            }
            PeerMessage::Pins(pins) => {
                let holders = |pin: &Pin| pins::holders(&pin.flow, &self.name, members());
                self.pin_outbox.add(now, pins, holders)
            }
            PeerMessage::LookUp(flows) => {
                let holders = |flow: &FlowKey| pins::holders(flow, &self.name, members());
                unheld = self.pin_lookups.begin(now, flows, holders);
                pins::look_up(flows, &self.name, members)
            }
            PeerMessage::Found { to, pins, unknown } => pins::answer(*to, pins, unknown),
            PeerMessage::Load(news) => news.iter().cloned().map(load_news::encode).collect(),
        };
        for (to, bytes) in messages {
            self.send_to_peer(&bytes, to);
        }
        if !unheld.is_empty() {
            self.send_command(Command::Answered(unheld));
        }
        self.schedule_resend(now, cx.actor_ref());
    }
}

impl Message<PinsConfirmed> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: PinsConfirmed, _: &mut Context<Self, ()>) {
        self.pin_outbox.on_confirmed(msg.from, msg.number);
    }
}

impl Message<ResendPins> for Control {
    type Reply = ();

    async fn handle(&mut self, _: ResendPins, cx: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.next_resend = None;
        let is_listed = self.directory.is_registered(&self.name);
        let is_member =
            |addr| self.directory.members().any(|(_, member): (&str, &Member)| member.addr == addr);
        for (to, bytes) in self.pin_outbox.take_due(now, is_listed, is_member) {
            self.send_to_peer(&bytes, to);
        }
        self.schedule_resend(now, cx.actor_ref());
    }
}

impl Message<CountUnconfirmedPins> for Control {
    type Reply = usize;

    async fn handle(&mut self, _: CountUnconfirmedPins, _: &mut Context<Self, usize>) -> usize {
        let listed =
            || self.directory.members().filter(|(name, _)| self.directory.is_registered(name));
        self.pin_outbox.unconfirmed(|addr| listed().any(|(_, member)| member.addr == addr))
    }
}

/// Encodes outcomes of upstreams' answers.
pub fn encode_outcomes(tallies: &[Tally<UpstreamId>]) -> Vec<u8> {
    let tallies = tallies.iter().map(|tally| v1::AnswerTally {
        upstream: tally.key.0,
        good: tally.good,
        failed: tally.failed,
        alive: true,
    });
    let answers = v1::Answers { tallies: tallies.collect() };
    peer_proto::encode_reach(v1::reach::Kind::Answers(answers))
}

impl Message<ReceivedPins> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: ReceivedPins, _: &mut Context<Self, ()>) {
        if self.is_from_member(msg.from) {
            self.send_command(Command::Pins(pins::decode(&msg.pins)));
            if msg.pins.number != 0 {
                self.send_to_peer(&pins::confirm(msg.pins.number), msg.from);
            }
            let complete = self.pin_lookups.on_answer(msg.from, &pins::answered(&msg.pins));
            if !complete.is_empty() {
                self.send_command(Command::Answered(complete));
            }
        }
    }
}

impl Message<ReceivedLoadReport> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: ReceivedLoadReport, _: &mut Context<Self, ()>) {
        if !self.load_news || !self.is_from_member(msg.from) {
            return;
        }
        if let Some(report) = load_news::decode(msg.report) {
            self.send_command(Command::LoadNews(load_news::entry_id(msg.from), report));
        }
    }
}

impl Message<ReceivedLookup> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: ReceivedLookup, _: &mut Context<Self, ()>) {
        if self.is_from_member(msg.from) {
            let flows = pins::decode_lookup(&msg.lookup);
            self.send_command(Command::FindPins(msg.from, flows));
        }
    }
}

impl Message<ReceivedRouteLookup> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: ReceivedRouteLookup, _: &mut Context<Self, ()>) {
        if self.is_from_member(msg.from) && self.route_lookup.is_done() {
            for bytes in route_history::encode(self.directory.moved_routes()) {
                self.send_to_peer(&bytes, msg.from);
            }
        }
    }
}

impl Message<ReceivedRouteServices> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: ReceivedRouteServices, _: &mut Context<Self, ()>) {
        if !self.is_from_member(msg.from) {
            return;
        }
        self.route_lookup.on_answer();
        let mut changed = false;
        for (addr, services) in route_history::decode(&msg.services) {
            changed |= self.directory.add_route_services(addr, services);
        }
        if changed {
            tracing::info!(from = %msg.from, "services that routes named before are known");
            self.publish(self.clock.now());
        }
    }
}

impl Message<ReceivedUpdates> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: ReceivedUpdates, _: &mut Context<Self, ()>) {
        if !self.is_from_member(msg.from) {
            return;
        }
        let tallies = msg.answers.tallies.iter().map(|tally| Tally {
            key: UpstreamId(tally.upstream),
            good: tally.good,
            failed: tally.failed,
        });
        self.send_command(Command::PeerUpdates(load_news::entry_id(msg.from), tallies.collect()));
    }
}

impl Message<ReceivedSilences> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: ReceivedSilences, _: &mut Context<Self, ()>) {
        if self.is_from_member(msg.from) {
            let news = silences::decode(&msg.silences);
            if !news.is_empty() {
                self.send_command(Command::SilenceNews(load_news::entry_id(msg.from), news));
            }
            let acknowledgements = silences::decode_acknowledgements(&msg.silences);
            if !acknowledgements.is_empty() {
                self.send_command(Command::Acknowledgements(acknowledgements));
            }
        }
    }
}

impl Message<PingZones> for Control {
    type Reply = bool;

    /// Returns whether zones are still unreachable, so that they have to be pinged again.
    async fn handle(&mut self, _: PingZones, _: &mut Context<Self, bool>) -> bool {
        let now = self.clock.now();
        self.ping_unreachable_zones(now);
        self.update_readiness(now);
        self.reach.is_probing()
    }
}

impl Message<Leave> for Control {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, ()>) {
        self.leaving = true;
        self.send_command(Command::ShareAllPins);
        self.update_readiness(self.clock.now());
    }
}
