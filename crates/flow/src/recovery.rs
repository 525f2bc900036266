//! How a home finds the upstream of a flow whose state was lost.
//!
//! Three steps, each only if the one before did not tell: what this entry learned itself, an ask
//! to the previous home and a few other entries, and for TCP a probe: the packet is offered to the
//! service's upstreams. An upstream that does not hold the connection answers with a reset, which
//! is swallowed, and runs nothing; the one that holds it takes the packet.

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

/// Entries asked about a flow.
const MAX_ASKED: usize = 4;

/// Time to wait for the answers of other entries.
const ASK_TIMEOUT: Duration = Duration::from_millis(10);

/// Time to wait for the answers of probed upstreams.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Upstreams probed at the same time.
const PROBE_BATCH: usize = 16;

/// Packets of one flow that are kept while it is being recovered.
const MAX_HELD: usize = 8;

/// A flow that is being recovered.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    held: Vec<Held>,
    phase: Phase,
}

/// A kept packet.
#[derive(Debug, Clone)]
struct Held {
    bytes: Box<[u8]>,
    side: Side,
}

#[derive(Debug, Clone)]
enum Phase {
    /// Other entries were asked.
    Asking { open: usize, until: Timestamp },
    /// The first held packet was offered to `waiting`; `untried` come next.
    Probing { waiting: Vec<Ipv4Addr>, untried: Vec<Ipv4Addr>, until: Timestamp },
}

impl Pending {
    /// Whether the flow can only be a new one.
    fn is_opening(&self) -> bool {
        self.held.iter().any(|held| {
            held.side == Side::Caller
                && View::parse(&held.bytes).is_ok_and(|view| view.is_opening())
        })
    }

    /// The upstream that sent a held reply, and so holds the flow.
    fn replying_upstream(&self) -> Option<Ipv4Addr> {
        self.held.iter().find_map(|held| match held.side {
            Side::Caller => None,
            Side::Upstream(ip) => Some(ip),
        })
    }
}

impl Engine {
    /// Keeps a packet of an unknown flow and starts looking for the flow's upstream.
    pub(crate) fn recover(
        &mut self,
        now: Timestamp,
        packet: &Packet<'_>,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let held = Held { bytes: packet.view.bytes.into(), side: packet.side };
        if let Some(pending) = self.pending.get_mut(&packet.key) {
            if pending.held.len() >= MAX_HELD {
                return Verdict::Drop(Counter::RecoveryBusy);
            }
            pending.held.push(held);
            return Verdict::Held;
        }
        if self.pending.len() >= self.cfg.max_recoveries {
            return Verdict::Drop(Counter::RecoveryBusy);
        }
        let asked = self.peers_to_ask(&packet.key);
        let phase = Phase::Asking { open: asked.len(), until: now + ASK_TIMEOUT };
        self.pending.insert(packet.key, Pending { held: vec![held], phase });
        if let Some(ip) = self.learned_holder(packet) {
            self.counters.increment(Counter::AskAnswered);
            self.resolve(now, packet.key, ip, State::Recovered, out);
            return Verdict::Held;
        }
        if asked.is_empty() {
            self.after_asking(now, packet.key, out);
        }
        let message = Message::Ask(packet.key);
        out.extend(asked.into_iter().map(|to| Action::SendMessage { to, message }));
        Verdict::Held
    }

    /// What this entry says when asked about a flow.
    pub(crate) fn answer_ask(&mut self, key: Key) -> Message {
        self.leave_opening_to_peer(&key);
        if let Some(flow) = self.flows.get(&key) {
            let opening = !flow.is_settled();
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

    pub(crate) fn on_known(
        &mut self,
        now: Timestamp,
        key: Key,
        upstream: Ipv4Addr,
        opening: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get(&key) else {
            return;
        };
        if !matches!(pending.phase, Phase::Asking { .. }) {
            return;
        }
        let usable = self.admin_state(&key, upstream).is_some();
        if !usable || opening != pending.is_opening() {
            return self.on_unknown(now, key, out);
        }
        self.counters.increment(Counter::AskAnswered);
        self.resolve(now, key, upstream, State::Recovered, out);
    }

    pub(crate) fn on_unknown(&mut self, now: Timestamp, key: Key, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&key) else {
            return;
        };
        let Phase::Asking { open, .. } = &mut pending.phase else {
            return;
        };
        *open = open.saturating_sub(1);
        if *open == 0 {
            self.after_asking(now, key, out);
        }
    }

    /// Takes a reply for a flow that is being recovered.
    pub(crate) fn reply_to_pending(
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
            self.resolve(now, packet.key, ip, State::Established, out);
            return Verdict::Forward(Target::Caller);
        }
        self.on_probe_refused(now, packet.key, ip, out);
        Verdict::Drop(Counter::Swallowed)
    }

    pub(crate) fn tick_pending(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let due = |pending: &Pending| match &pending.phase {
            Phase::Asking { until, .. } | Phase::Probing { until, .. } => *until <= now,
        };
        let late: Vec<Key> =
            self.pending.iter().filter(|(_, pending)| due(pending)).map(|(key, _)| *key).collect();
        for key in late {
            match self.pending.get(&key).map(|pending| &pending.phase) {
                Some(Phase::Asking { .. }) => self.after_asking(now, key, out),
                Some(Phase::Probing { .. }) => self.probe_next(now, key, out),
                None => {}
            }
        }
    }

    /// The previous home first, then other entries in an order that differs by flow.
    fn peers_to_ask(&mut self, key: &Key) -> Vec<Id> {
        let own = self.cfg.id;
        let previous = self.homes.previous(self.slot(key)).filter(|id| *id != own);
        let mut others: Vec<Id> = self
            .homes
            .members()
            .iter()
            .copied()
            .filter(|id| *id != own && Some(*id) != previous)
            .collect();
        self.rng.shuffle(&mut others);
        previous.into_iter().chain(others).take(MAX_ASKED).collect()
    }

    fn learned_holder(&self, packet: &Packet<'_>) -> Option<Ipv4Addr> {
        if packet.view.flags().syn {
            return None;
        }
        let ip = self.learned.get(&packet.key)?.upstream;
        self.admin_state(&packet.key, ip).map(|_| ip)
    }

    /// No other entry knew the flow.
    fn after_asking(&mut self, now: Timestamp, key: Key, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&key) else {
            return;
        };
        if let Some(ip) = pending.replying_upstream() {
            return self.resolve(now, key, ip, State::Recovered, out);
        }
        if pending.is_opening() || key.protocol == Protocol::Udp {
            return self.open_held(now, key, out);
        }
        let untried = self.probe_candidates(&key);
        if let [only] = untried[..] {
            return self.resolve(now, key, only, State::Established, out);
        }
        if let Some(pending) = self.pending.get_mut(&key) {
            pending.phase = Phase::Probing { waiting: Vec::new(), untried, until: now };
        }
        self.probe_next(now, key, out);
    }

    /// Nobody knows the flow, so its first packet opens it here.
    fn open_held(&mut self, now: Timestamp, key: Key, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.swap_remove(&key) else {
            return;
        };
        for held in pending.held {
            let Ok(view) = View::parse(&held.bytes) else {
                continue;
            };
            let packet = Packet::from_side(held.side, &view, None);
            let verdict = if self.flows.get(&key).is_some() {
                self.decide_as_home(now, &packet, out)
            } else {
                self.open(now, &packet)
            };
            self.answer(verdict, &packet, out);
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

    /// Offers the first held packet to the next upstreams.
    ///
    /// When none is left, the recovery ends without an answer: an upstream that stayed silent may
    /// hold the flow, so that a reset might be false. The caller's next packet tries again.
    fn probe_next(&mut self, now: Timestamp, key: Key, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&key) else {
            return;
        };
        let Phase::Probing { waiting, untried, until } = &mut pending.phase else {
            return;
        };
        let count = untried.len().min(PROBE_BATCH);
        if count == 0 || !self.probes.take(now, count as f64) {
            self.pending.swap_remove(&key);
            self.counters.increment(Counter::RecoveryBusy);
            return;
        }
        let batch: Vec<Ipv4Addr> = untried.drain(..count).collect();
        waiting.extend(&batch);
        *until = now + PROBE_TIMEOUT;
        let Some(bytes) = pending.held.first().map(|held| held.bytes.clone()) else {
            return;
        };
        for ip in batch {
            self.counters.increment(Counter::Probed);
            out.push(Action::Emit { bytes: bytes.clone(), to: self.upstream_target(&key, ip) });
        }
    }

    /// An upstream said that it does not hold the flow. If anyone does it is the last one left; a
    /// reset from that one is the truth and is passed on.
    fn on_probe_refused(&mut self, now: Timestamp, key: Key, ip: Ipv4Addr, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&key) else {
            return;
        };
        let Phase::Probing { waiting, untried, .. } = &mut pending.phase else {
            return;
        };
        waiting.retain(|other| *other != ip);
        match (waiting.as_slice(), untried.as_slice()) {
            ([only], []) => {
                let only = *only;
                self.resolve(now, key, only, State::Established, out);
            }
            ([], []) => self.reject(key, out),
            ([], _) => self.probe_next(now, key, out),
            _ => {}
        }
    }

    /// No upstream holds the flow: the caller is told.
    fn reject(&mut self, key: Key, out: &mut Vec<Action>) {
        self.counters.increment(Counter::RecoveryFailed);
        let Some(pending) = self.pending.swap_remove(&key) else {
            return;
        };
        let Some(held) = pending.held.first() else {
            return;
        };
        let reset = View::parse(&held.bytes).ok().and_then(|view| reply::reset(&view));
        out.extend(reset.map(|bytes| Action::Emit { bytes, to: Target::Caller }));
    }

    /// The flow's upstream is found: the held packets go there.
    fn resolve(
        &mut self,
        now: Timestamp,
        key: Key,
        upstream: Ipv4Addr,
        state: State,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.swap_remove(&key) else {
            return;
        };
        self.counters.increment(Counter::Recovered);
        self.insert_settled(now, key, upstream, state);
        let probed = matches!(pending.phase, Phase::Probing { .. });
        for held in pending.held.iter().skip(usize::from(probed)) {
            let Ok(view) = View::parse(&held.bytes) else {
                continue;
            };
            let packet = Packet::from_side(held.side, &view, None);
            let verdict = self.decide_as_home(now, &packet, out);
            self.answer(verdict, &packet, out);
        }
    }
}
