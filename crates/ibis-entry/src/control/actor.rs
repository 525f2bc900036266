//! The actor that owns the control state: membership, applied documents and heartbeats.

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::time::Duration;

use ::config::Revision;
use ::config::revision::{DocumentSet, Outcome};
use ::events::{Kind, Ring, Stamp};
use flow::Id;
use indexmap::IndexMap;
use kameo::Actor;
use kameo::message::{Context, Message};
use membership::{Members, Timing, View};
use peer_proto::v1;
use peer_proto::v1::control::Kind as Control;
use stdx::time::{Clock, Timestamp};

use crate::control::services;
use crate::peers::Links;
use crate::platform_watch::PlatformUpdate;
use crate::settings::Settings;
use crate::traffic::{ColdStart, Command, Report};

/// Interval of the actor's ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of heartbeats to each peer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// One in this many heartbeats carries the starts of the upstreams' warm-up ramps.
const HEARTBEATS_PER_COLD_START_UPDATE: u64 = 4;

/// Minimum interval of requests for the documents of the same peer.
const MIN_DOCUMENT_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Number of consecutive reports without packets from the fabric after which an entry is idle.
const MIN_IDLE_REPORTS: u32 = 2;

/// Timeouts of the failure detector.
const TIMING: Timing = Timing {
    suspect_after: Duration::from_secs(1),
    dead_after: Duration::from_secs(10),
    pause_threshold: Duration::from_millis(750),
    confirm_timeout: Duration::from_millis(1_500),
};

/// The control state of an entry.
#[derive(Debug, Actor)]
pub struct ControlState {
    clock: Clock,
    ip: Ipv4Addr,
    zone: String,
    started_at: Timestamp,
    heartbeat_sequence: u64,
    members: Members,
    view: Option<View>,
    documents: DocumentSet,
    ring: SharedRing,
    commands: mpsc::Sender<Command>,
    links: Links,
    last_heartbeat: Timestamp,
    last_document_requests: IndexMap<Ipv4Addr, Timestamp>,
    cold_starts: Vec<ColdStart>,
    platform_lost: bool,
    ready: bool,
    leaving: bool,
    idle_reports: u32,
    ready_tx: tokio::sync::watch::Sender<bool>,
}

/// The event ring, which the admin port reads on the same thread.
pub type SharedRing = Arc<Mutex<Ring>>;

/// Advances the failure detector and sends heartbeats that are due.
#[derive(Debug, Clone, Copy)]
pub struct Tick;

/// Starts a graceful stop: announces to the peers that this entry is leaving.
#[derive(Debug, Clone, Copy)]
pub struct Leave;

/// Asks whether the fabric has stopped sending packets to this entry.
#[derive(Debug, Clone, Copy)]
pub struct IsIdle;

/// A control message from another entry.
#[derive(Debug)]
pub struct PeerMessage {
    /// The sender.
    pub from: Ipv4Addr,
    /// The message.
    pub message: Control,
}

/// An incoming connection was refused.
#[derive(Debug)]
pub struct PeerRefused {
    /// The remote address and the reason.
    pub reason: String,
}

impl ControlState {
    /// Creates the state of an entry that has just started. Readiness is sent to `ready_tx`.
    pub fn new(
        cfg: &Settings,
        clock: Clock,
        ring: SharedRing,
        commands: mpsc::Sender<Command>,
        links: Links,
        ready_tx: tokio::sync::watch::Sender<bool>,
    ) -> Self {
        let now = clock.now();
        let ip = *cfg.listen.ip();
        let state = Self {
            clock,
            ip,
            zone: cfg.zone.clone(),
            started_at: now,
            heartbeat_sequence: 0,
            members: Members::new(now, ip, &cfg.peers, TIMING),
            view: None,
            documents: DocumentSet::default(),
            ring,
            commands,
            links,
            last_heartbeat: Timestamp::default(),
            last_document_requests: IndexMap::new(),
            cold_starts: Vec::new(),
            platform_lost: false,
            ready: false,
            leaving: false,
            idle_reports: 0,
            ready_tx,
        };
        state.record(now, Kind::Started, None, String::new());
        state
    }

    fn tick(&mut self, now: Timestamp) {
        self.members.tick(now);
        let ready = !self.documents.is_empty() && !self.members.is_confirming();
        self.members.set_ready(ready);
        if ready && !self.ready {
            self.record(now, Kind::Ready, None, String::new());
        }
        self.ready = ready;
        self.ready_tx.send_replace(self.ready && !self.leaving);
        self.publish_view(now);
        if now.since(self.last_heartbeat) >= HEARTBEAT_INTERVAL {
            self.send_heartbeats(now);
        }
    }

    fn publish_view(&mut self, now: Timestamp) {
        let view = self.members.view(now);
        if self.view.as_ref() == Some(&view) {
            return;
        }
        let homes: Vec<Id> = view.homes.iter().copied().map(Id).collect();
        let peers: Vec<Id> = self.members.peers().map(Id).collect();
        self.send_command(Command::Members { homes, peers, possibly_alive: view.possibly_alive });
        let names: Vec<String> = view.homes.iter().map(ToString::to_string).collect();
        let detail = format!("homes={} possible={}", names.join(","), view.possibly_alive);
        tracing::info!(homes = names.join(","), possible = view.possibly_alive, "view changed");
        self.record(now, Kind::ViewChanged, None, detail);
        self.view = Some(view);
    }

    fn send_heartbeats(&mut self, now: Timestamp) {
        self.last_heartbeat = now;
        self.heartbeat_sequence += 1;
        let stamp = self.ring().stamp(now);
        let cold_starts =
            if self.heartbeat_sequence.is_multiple_of(HEARTBEATS_PER_COLD_START_UPDATE) {
                self.cold_starts.iter().map(encode_cold_start).collect()
            } else {
                Vec::new()
            };
        let heartbeat = Control::Heartbeat(v1::Heartbeat {
            id: self.ip.to_bits(),
            zone: self.zone.clone(),
            incarnation: self.started_at.as_micros(),
            sequence: self.heartbeat_sequence,
            ready: self.ready,
            leaving: self.leaving,
            clock_micros: stamp.micros,
            clock_counter: stamp.counter,
            documents: self.documents.fingerprint(),
            cold_starts,
        });
        self.links.send_all(&peer_proto::encode_control(heartbeat));
    }

    fn on_heartbeat(&mut self, now: Timestamp, from: Ipv4Addr, heartbeat: &v1::Heartbeat) {
        if heartbeat.id != from.to_bits() {
            metrics::counter!("ibis_drop_foreign_heartbeat_total").increment(1);
            return;
        }
        let stamp = Stamp { micros: heartbeat.clock_micros, counter: heartbeat.clock_counter };
        self.ring().observe(now, stamp);
        self.members.on_heartbeat(
            now,
            membership::Heartbeat {
                id: from,
                incarnation: Timestamp(heartbeat.incarnation),
                sequence: heartbeat.sequence,
                ready: heartbeat.ready,
                leaving: heartbeat.leaving,
            },
        );
        let cold_starts: Vec<_> = heartbeat.cold_starts.iter().map(decode_cold_start).collect();
        if !cold_starts.is_empty() {
            self.send_command(Command::ColdStarts(cold_starts));
        }
        if heartbeat.documents != self.documents.fingerprint() {
            self.request_documents(now, from);
        }
        self.publish_view(now);
    }

    fn request_documents(&mut self, now: Timestamp, from: Ipv4Addr) {
        let last = self.last_document_requests.get(&from).copied().unwrap_or_default();
        if now.since(last) < MIN_DOCUMENT_REQUEST_INTERVAL {
            return;
        }
        self.last_document_requests.insert(from, now);
        let message = Control::DocumentsWanted(v1::DocumentsWanted {});
        self.links.send(from, &peer_proto::encode_control(message));
    }

    fn send_documents(&mut self, to: Ipv4Addr) {
        let document =
            |(service, applied): (&String, &::config::revision::AppliedDocument)| v1::Document {
                service: service.clone(),
                revision: applied.revision.0,
                text: applied.text.clone(),
            };
        let documents = self.documents.applied().iter().map(document).collect();
        let message = Control::Documents(v1::Documents { documents });
        self.links.send(to, &peer_proto::encode_control(message));
    }

    fn offer(&mut self, now: Timestamp, service: &str, revision: u64, text: &str, from: &str) {
        match self.documents.offer(service, Revision(revision), text) {
            Outcome::Stale => {}
            Outcome::Applied => {
                tracing::info!(service, revision, from, "document in force");
                let detail = format!("revision={revision} from={from}");
                self.record(now, Kind::DocumentApplied, Some(service), detail);
                let services = services::services(self.documents.applied());
                self.send_command(Command::Services(services));
            }
            Outcome::Invalid(problems) => {
                tracing::warn!(service, revision, from, %problems, "document rejected");
                let detail = format!("revision={revision} from={from}: {problems}");
                self.record(now, Kind::DocumentRejected, Some(service), detail);
            }
        }
    }

    fn set_platform_lost(&mut self, now: Timestamp, lost: bool, detail: String) {
        if self.platform_lost == lost {
            return;
        }
        self.platform_lost = lost;
        let kind = if lost { Kind::PlatformLost } else { Kind::PlatformBack };
        tracing::info!(lost, detail, "the platform's service");
        self.record(now, kind, None, detail);
    }

    fn send_command(&self, command: Command) {
        // Fails only if the traffic thread has ended; its error is returned when the entry stops.
        let _ = self.commands.send(command);
    }

    fn record(&self, now: Timestamp, kind: Kind, service: Option<&str>, detail: String) {
        self.ring().record(now, kind, service, detail);
    }

    fn ring(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Message<Tick> for ControlState {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        self.tick(self.clock.now());
    }
}

impl Message<Leave> for ControlState {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.leaving = true;
        self.members.leave();
        self.record(now, Kind::Leaving, None, String::new());
        self.tick(now);
        self.send_heartbeats(now);
    }
}

impl Message<IsIdle> for ControlState {
    type Reply = bool;

    async fn handle(&mut self, _: IsIdle, _: &mut Context<Self, bool>) -> bool {
        self.idle_reports >= MIN_IDLE_REPORTS
    }
}

impl Message<Report> for ControlState {
    type Reply = ();

    async fn handle(&mut self, report: Report, _: &mut Context<Self, ()>) {
        self.idle_reports = if report.fabric_packets == 0 { self.idle_reports + 1 } else { 0 };
        self.cold_starts = report.cold_starts;
    }
}

impl Message<PeerMessage> for ControlState {
    type Reply = ();

    async fn handle(&mut self, msg: PeerMessage, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        match msg.message {
            Control::Heartbeat(heartbeat) => self.on_heartbeat(now, msg.from, &heartbeat),
            Control::DocumentsWanted(_) => self.send_documents(msg.from),
            Control::Documents(documents) => {
                let from = msg.from.to_string();
                for document in documents.documents {
                    self.offer(now, &document.service, document.revision, &document.text, &from);
                }
            }
        }
    }
}

impl Message<PeerRefused> for ControlState {
    type Reply = ();

    async fn handle(&mut self, msg: PeerRefused, _: &mut Context<Self, ()>) {
        metrics::counter!("ibis_peers_refused_total").increment(1);
        self.record(self.clock.now(), Kind::PeerRefused, None, msg.reason);
    }
}

impl Message<PlatformUpdate> for ControlState {
    type Reply = ();

    async fn handle(&mut self, update: PlatformUpdate, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        match update {
            PlatformUpdate::Lost(reason) => self.set_platform_lost(now, true, reason),
            PlatformUpdate::Documents(documents) => {
                self.set_platform_lost(now, false, String::new());
                for document in documents {
                    let revision = document.revision;
                    self.offer(now, &document.service, revision, &document.text, "platform");
                }
            }
        }
    }
}

fn encode_cold_start(cold_start: &ColdStart) -> v1::ColdStart {
    v1::ColdStart { upstream: cold_start.upstream.to_bits(), since: cold_start.since.as_micros() }
}

fn decode_cold_start(cold_start: &v1::ColdStart) -> ColdStart {
    ColdStart {
        upstream: Ipv4Addr::from_bits(cold_start.upstream),
        since: Timestamp(cold_start.since),
    }
}
