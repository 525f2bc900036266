//! Flow recovery: finds the upstream of a flow whose state was lost.
//!
//! Each step runs only if the previous one gave no result: this entry's learned table; a query to
//! the previous home and a few other entries; for TCP, a probe that sends the packet to the
//! service's upstreams. An upstream without the connection processes nothing and answers with a
//! reset, which is dropped; the one that has the connection accepts the packet.

use std::net::Ipv4Addr;
use std::time::Duration;

use packet::{Protocol, View, reply};
use stdx::time::Timestamp;

use crate::action::{Action, Message, Target};
use crate::counters::Counter;
use crate::engine::{Engine, Packet, Side, Verdict};
use crate::home::State;
use crate::homes::Id;
use crate::key::Key;
use crate::opening::Opening;
use crate::service::AdminState;

/// Number of entries asked about a flow.
const MAX_PEERS_ASKED: usize = 4;

/// Time to wait for answers from other entries.
const ASK_TIMEOUT: Duration = Duration::from_millis(10);

/// Time to wait for answers from probed upstreams.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of upstreams probed at the same time.
const PROBE_BATCH_SIZE: usize = 16;

/// Packets queued per flow during its recovery.
const MAX_QUEUED_PACKETS: usize = 8;

/// A flow that is being recovered.
#[derive(Debug, Clone)]
pub(crate) struct Recovery {
    queue: Vec<QueuedPacket>,
    phase: Phase,
}

/// A packet queued until its flow is recovered.
#[derive(Debug, Clone)]
struct QueuedPacket {
    bytes: Box<[u8]>,
    side: Side,
}

#[derive(Debug, Clone)]
enum Phase {
    /// Waiting for the answers of other entries.
    Asking { unanswered: usize, deadline: Timestamp },
    /// The first queued packet was sent to `outstanding`; `untried` come next.
    Probing { outstanding: Vec<Ipv4Addr>, untried: Vec<Ipv4Addr>, deadline: Timestamp },
}

impl Recovery {
    /// Whether a caller's opening is queued, which means that the flow is new.
    fn is_opening(&self) -> bool {
        self.queue.iter().any(|queued| {
            queued.side == Side::Caller
                && View::parse(&queued.bytes).is_ok_and(|view| view.is_opening())
        })
    }

    /// The sender of a queued reply, which therefore has the connection.
    fn replying_upstream(&self) -> Option<Ipv4Addr> {
        self.queue.iter().find_map(|queued| match queued.side {
            Side::Caller => None,
            Side::Upstream(ip) => Some(ip),
        })
    }
}

impl Engine {
    /// Queues a packet of an unknown flow and starts the recovery if none is running.
    pub(crate) fn recover(
        &mut self,
        now: Timestamp,
        packet: &Packet<'_>,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let queued = QueuedPacket { bytes: packet.view.bytes.into(), side: packet.side };
        if let Some(recovery) = self.recoveries.get_mut(&packet.key) {
            if recovery.queue.len() >= MAX_QUEUED_PACKETS {
                return Verdict::Drop(Counter::RecoveryBusy);
            }
            recovery.queue.push(queued);
            return Verdict::Queued;
        }
        if self.recoveries.len() >= self.cfg.max_recoveries {
            return Verdict::Drop(Counter::RecoveryBusy);
        }
        let asked = self.peers_to_ask(&packet.key);
        let phase = Phase::Asking { unanswered: asked.len(), deadline: now + ASK_TIMEOUT };
        self.recoveries.insert(packet.key, Recovery { queue: vec![queued], phase });
        if let Some(ip) = self.learned_upstream(packet) {
            self.counters.increment(Counter::AskAnswered);
            self.complete_recovery(now, packet.key, ip, State::Recovered, out);
            return Verdict::Queued;
        }
        if asked.is_empty() {
            self.on_peers_exhausted(now, packet.key, out);
        }
        let message = Message::Ask(packet.key);
        out.extend(asked.into_iter().map(|to| Action::SendMessage { to, message }));
        Verdict::Queued
    }

    /// Returns the answer to a peer's question about a flow.
    pub(crate) fn answer_ask(&mut self, key: Key) -> Message {
        self.disable_opening_retry(&key);
        if let Some(flow) = self.flows.get(&key) {
            let opening = !flow.is_open();
            return Message::Known { key, upstream: flow.upstream, opening };
        }
        if let Some(upstream) = self.openings.get(&key).and_then(Opening::upstream) {
            return Message::Known { key, upstream, opening: true };
        }
        match self.learned.get(&key) {
            Some(learned) => Message::Known { key, upstream: learned.upstream, opening: false },
            None => Message::Unknown(key),
        }
    }

    /// Handles a peer's answer that it knows the flow's upstream.
    pub(crate) fn on_peer_known(
        &mut self,
        now: Timestamp,
        key: Key,
        upstream: Ipv4Addr,
        opening: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(recovery) = self.recoveries.get(&key) else {
            return;
        };
        if !matches!(recovery.phase, Phase::Asking { .. }) {
            return;
        }
        let usable = self.admin_state(&key, upstream).is_some();
        if !usable || opening != recovery.is_opening() {
            return self.on_peer_unknown(now, key, out);
        }
        self.counters.increment(Counter::AskAnswered);
        self.complete_recovery(now, key, upstream, State::Recovered, out);
    }

    /// Handles a peer's answer that it does not know the flow.
    pub(crate) fn on_peer_unknown(&mut self, now: Timestamp, key: Key, out: &mut Vec<Action>) {
        let Some(recovery) = self.recoveries.get_mut(&key) else {
            return;
        };
        let Phase::Asking { unanswered, .. } = &mut recovery.phase else {
            return;
        };
        *unanswered = unanswered.saturating_sub(1);
        if *unanswered == 0 {
            self.on_peers_exhausted(now, key, out);
        }
    }

    /// Handles a reply of a flow that is being recovered.
    pub(crate) fn on_recovery_reply(
        &mut self,
        now: Timestamp,
        packet: &Packet<'_>,
        ip: Ipv4Addr,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let flags = packet.view.flags();
        if flags.syn && !flags.rst {
            return self.recover(now, packet, out);
        }
        if !flags.rst {
            self.complete_recovery(now, packet.key, ip, State::Established, out);
            return Verdict::Forward(Target::Caller);
        }
        self.on_probe_reset(now, packet.key, ip, out);
        Verdict::Drop(Counter::Swallowed)
    }

    pub(crate) fn tick_recoveries(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let due = |recovery: &Recovery| match &recovery.phase {
            Phase::Asking { deadline, .. } | Phase::Probing { deadline, .. } => *deadline <= now,
        };
        let due_keys: Vec<Key> = self
            .recoveries
            .iter()
            .filter(|(_, recovery)| due(recovery))
            .map(|(key, _)| *key)
            .collect();
        for key in due_keys {
            match self.recoveries.get(&key).map(|recovery| &recovery.phase) {
                Some(Phase::Asking { .. }) => self.on_peers_exhausted(now, key, out),
                Some(Phase::Probing { .. }) => self.probe_next(now, key, out),
                None => {}
            }
        }
    }

    /// The previous home first, then other entries in random order, [`MAX_PEERS_ASKED`] at most.
    fn peers_to_ask(&mut self, key: &Key) -> Vec<Id> {
        let own_id = self.cfg.id;
        let previous = self.homes.previous(self.slot(key)).filter(|id| *id != own_id);
        let mut others: Vec<Id> = self
            .homes
            .members()
            .iter()
            .copied()
            .filter(|id| *id != own_id && Some(*id) != previous)
            .collect();
        self.rng.shuffle(&mut others);
        previous.into_iter().chain(others).take(MAX_PEERS_ASKED).collect()
    }

    /// The learned upstream of the packet's flow, if it is still an upstream of the service. None
    /// for openings and their answers, because they belong to a new flow.
    fn learned_upstream(&self, packet: &Packet<'_>) -> Option<Ipv4Addr> {
        if packet.view.flags().syn {
            return None;
        }
        let ip = self.learned.get(&packet.key)?.upstream;
        self.admin_state(&packet.key, ip).map(|_| ip)
    }

    /// Continues a recovery after no other entry knew the flow.
    fn on_peers_exhausted(&mut self, now: Timestamp, key: Key, out: &mut Vec<Action>) {
        let Some(recovery) = self.recoveries.get(&key) else {
            return;
        };
        if let Some(ip) = recovery.replying_upstream() {
            return self.complete_recovery(now, key, ip, State::Recovered, out);
        }
        if recovery.is_opening() || key.protocol == Protocol::Udp {
            return self.open_queued(now, key, out);
        }
        let untried = self.probe_candidates(&key);
        if let [only] = untried[..] {
            return self.complete_recovery(now, key, only, State::Established, out);
        }
        if let Some(recovery) = self.recoveries.get_mut(&key) {
            recovery.phase = Phase::Probing { outstanding: Vec::new(), untried, deadline: now };
        }
        self.probe_next(now, key, out);
    }

    /// Ends a recovery without result: the first queued packet opens the flow as a new one.
    fn open_queued(&mut self, now: Timestamp, key: Key, out: &mut Vec<Action>) {
        let Some(recovery) = self.recoveries.swap_remove(&key) else {
            return;
        };
        for queued in recovery.queue {
            let Ok(view) = View::parse(&queued.bytes) else {
                continue;
            };
            let packet = Packet::from_side(queued.side, &view, None);
            let verdict = if self.flows.get(&key).is_some() {
                self.decide_as_home(now, &packet, out)
            } else {
                self.open(now, &packet)
            };
            self.apply_verdict(verdict, &packet, out);
        }
    }

    fn probe_candidates(&self, key: &Key) -> Vec<Ipv4Addr> {
        let Some(service) = self.service(key) else {
            return Vec::new();
        };
        let usable = service
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.admin_state != AdminState::OutOfService);
        usable.map(|(ip, _)| *ip).collect()
    }

    /// Sends the first queued packet to the next batch of upstreams.
    ///
    /// When none is left, the recovery ends without a reset to the caller, because an upstream that
    /// did not answer may have the connection. The caller's next packet starts a new recovery.
    fn probe_next(&mut self, now: Timestamp, key: Key, out: &mut Vec<Action>) {
        let Some(recovery) = self.recoveries.get_mut(&key) else {
            return;
        };
        let Phase::Probing { outstanding, untried, deadline } = &mut recovery.phase else {
            return;
        };
        let count = untried.len().min(PROBE_BATCH_SIZE);
        if count == 0 || !self.probe_budget.take(now, count as f64) {
            self.recoveries.swap_remove(&key);
            self.counters.increment(Counter::RecoveryBusy);
            return;
        }
        let batch: Vec<Ipv4Addr> = untried.drain(..count).collect();
        outstanding.extend(&batch);
        *deadline = now + PROBE_TIMEOUT;
        let Some(bytes) = recovery.queue.first().map(|queued| queued.bytes.clone()) else {
            return;
        };
        for ip in batch {
            self.counters.increment(Counter::Probed);
            out.push(Action::Emit { bytes: bytes.clone(), to: self.upstream_target(&key, ip) });
        }
    }

    /// Handles a reset by a probed upstream, which does not have the connection. The last remaining
    /// upstream is assumed to have it; a reset from that one is correct and is forwarded.
    fn on_probe_reset(&mut self, now: Timestamp, key: Key, ip: Ipv4Addr, out: &mut Vec<Action>) {
        let Some(recovery) = self.recoveries.get_mut(&key) else {
            return;
        };
        let Phase::Probing { outstanding, untried, .. } = &mut recovery.phase else {
            return;
        };
        outstanding.retain(|other| *other != ip);
        match (outstanding.as_slice(), untried.as_slice()) {
            ([only], []) => {
                let only = *only;
                self.complete_recovery(now, key, only, State::Established, out);
            }
            ([], []) => self.fail_recovery(key, out),
            ([], _) => self.probe_next(now, key, out),
            _ => {}
        }
    }

    /// Resets the caller's connection, which no upstream has.
    fn fail_recovery(&mut self, key: Key, out: &mut Vec<Action>) {
        self.counters.increment(Counter::RecoveryFailed);
        let Some(recovery) = self.recoveries.swap_remove(&key) else {
            return;
        };
        let Some(queued) = recovery.queue.first() else {
            return;
        };
        let reset = View::parse(&queued.bytes).ok().and_then(|view| reply::reset(&view));
        out.extend(reset.map(|bytes| Action::Emit { bytes, to: Target::Caller }));
    }

    /// Ends a recovery with the flow's upstream and forwards the queued packets to it.
    fn complete_recovery(
        &mut self,
        now: Timestamp,
        key: Key,
        upstream: Ipv4Addr,
        state: State,
        out: &mut Vec<Action>,
    ) {
        let Some(recovery) = self.recoveries.swap_remove(&key) else {
            return;
        };
        self.counters.increment(Counter::Recovered);
        self.insert_open_flow(now, key, upstream, state);
        let probed = matches!(recovery.phase, Phase::Probing { .. });
        for queued in recovery.queue.iter().skip(usize::from(probed)) {
            let Ok(view) = View::parse(&queued.bytes) else {
                continue;
            };
            let packet = Packet::from_side(queued.side, &view, None);
            let verdict = self.decide_as_home(now, &packet, out);
            self.apply_verdict(verdict, &packet, out);
        }
    }
}
