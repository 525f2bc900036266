//! Openings: the choice of an upstream, its answer, refusals and retries.

use std::net::Ipv4Addr;
use std::time::Duration;

use packet::{Protocol, Transport, View};
use stdx::time::Timestamp;

use crate::action::{Action, Target};
use crate::counters::Counter;
use crate::engine::{Engine, Packet, Verdict};
use crate::home::{HomeFlow, State, initial_sequence};
use crate::key::Key;

/// Upstreams that one opening may be tried at.
const MAX_TRIES: usize = 3;

/// Time after which an unanswered opening is forgotten.
pub(crate) const OPENING_LIFETIME: Duration = Duration::from_secs(30);

/// Time after a slot moved in which the previous home may still be busy with its openings.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(3);

/// An opening that no upstream has answered yet.
#[derive(Debug, Clone)]
pub(crate) struct Opening {
    packet: Box<[u8]>,
    /// Whether it may be sent to a second upstream.
    repeatable: bool,
    started: Timestamp,
    sent: Timestamp,
    tried: Vec<Ipv4Addr>,
    /// Whether the flow has another home now, which may still ask where it was sent.
    moved: bool,
}

impl Opening {
    /// The upstream that was tried last.
    pub(crate) fn upstream(&self) -> Option<Ipv4Addr> {
        self.tried.last().copied()
    }

    /// The upstreams whose counts include this opening; `None` if its new home counts it.
    pub(crate) fn into_counted(self) -> Option<Vec<Ipv4Addr>> {
        (!self.moved).then_some(self.tried)
    }
}

impl Engine {
    /// Chooses an upstream for a flow and forwards its first packet there.
    pub(crate) fn open(&mut self, now: Timestamp, packet: &Packet<'_>) -> Verdict {
        let key = packet.key;
        let address = key.address();
        let (Some(service), Some(pool)) =
            (self.services.get(&address), self.pools.get_mut(&address))
        else {
            return Verdict::Drop(Counter::NoService);
        };
        let Ok(upstream) = pool.open(now, self.share, &[]) else {
            return Verdict::Refuse;
        };
        let opening = Opening {
            packet: packet.view.bytes.into(),
            repeatable: is_repeatable(packet.view, service.repeatable),
            started: now,
            sent: now,
            tried: vec![upstream],
            moved: false,
        };
        self.retries.add(f64::from(self.cfg.retry_percent) / 100.0);
        let isn = initial_sequence(packet.view);
        self.insert_flow(key, HomeFlow::new(now, upstream, isn, State::Opening));
        self.insert_opening(key, opening);
        self.counters.increment(Counter::Opened);
        Verdict::Forward(self.upstream_target(&key, upstream))
    }

    /// The first upstream that accepts an opening holds the flow.
    pub(crate) fn reply_to_opening(
        &mut self,
        now: Timestamp,
        packet: &Packet<'_>,
        ip: Ipv4Addr,
        flow: HomeFlow,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let flags = packet.view.flags();
        let accepts = match packet.view.transport {
            Transport::Tcp { ack, flags, .. } => {
                flags.syn && flags.ack && ack == flow.isn.wrapping_add(1)
            }
            Transport::Udp { .. } => ip == flow.upstream,
            Transport::IcmpError { .. } => false,
        };
        if accepts {
            let state = match packet.view.protocol() {
                Protocol::Tcp => State::HalfOpen,
                Protocol::Udp => State::Established,
            };
            self.settle(now, packet.key, ip, state);
            if let Some(flow) = self.flows.get_mut(&packet.key) {
                flow.answer_isn = initial_sequence(packet.view);
            }
            if let Some(pool) = self.pools.get_mut(&packet.key.address()) {
                pool.record_success(ip);
            }
            self.counters.increment(Counter::ByHome);
            return Verdict::Forward(Target::Caller);
        }
        if flags.rst && ip == flow.upstream {
            self.note_failure(now, &packet.key, ip);
            return self.refused_by_upstream(now, packet, out);
        }
        if flags.rst || packet.view.protocol() == Protocol::Udp {
            return Verdict::Drop(Counter::Swallowed);
        }
        if flags.syn {
            return self.swallow(packet, ip, out);
        }
        // Only an upstream that has the caller's acknowledgement sends more than its first answer.
        self.settle(now, packet.key, ip, State::Established);
        self.counters.increment(Counter::ByHome);
        Verdict::Forward(Target::Caller)
    }

    /// Ends the opening of a flow: `ip` holds it.
    fn settle(&mut self, now: Timestamp, key: Key, ip: Ipv4Addr, state: State) {
        let opening = self.openings.swap_remove(&key);
        let tried = opening.map(|opening| opening.tried).unwrap_or_default();
        if let Some(pool) = self.pools.get_mut(&key.address()) {
            tried.iter().filter(|other| **other != ip).for_each(|other| pool.close(*other));
        }
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.upstream = ip;
            flow.state = state;
            flow.seen_s = now.as_secs() as u32;
        }
    }

    /// The caller acknowledges an answer to its opening that did not pass here, because another
    /// entry was taken for the home. Returns whether the upstream that answered is known.
    pub(crate) fn settle_by_request(&mut self, now: Timestamp, packet: &Packet<'_>) -> bool {
        let Some(opening) = self.openings.get(&packet.key) else {
            return false;
        };
        let [only] = opening.tried[..] else {
            return false;
        };
        self.settle(now, packet.key, only, State::Recovered);
        true
    }

    /// Corrects the holder of a flow to an upstream that has shown to hold it.
    pub(crate) fn change_holder(&mut self, now: Timestamp, key: Key, ip: Ipv4Addr) {
        self.remove_flow(&key);
        self.adopt(now, key, ip);
    }

    /// A refusal is passed on only when no other upstream may be asked; it is then true, because
    /// an opening without payload has run nowhere.
    fn refused_by_upstream(
        &mut self,
        now: Timestamp,
        packet: &Packet<'_>,
        out: &mut Vec<Action>,
    ) -> Verdict {
        if self.try_elsewhere(now, packet.key, out) {
            return Verdict::Drop(Counter::Swallowed);
        }
        self.remove_flow(&packet.key);
        self.counters.increment(Counter::Refused);
        Verdict::Forward(Target::Caller)
    }

    pub(crate) fn tick_openings(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let (mut late, mut dead) = (Vec::new(), Vec::new());
        for (key, opening) in &self.openings {
            let Some(service) = self.services.get(&key.address()) else {
                dead.push(*key);
                continue;
            };
            let lifetime = if opening.moved { SETTLE_TIME } else { OPENING_LIFETIME };
            if now.since(opening.started) > lifetime {
                dead.push(*key);
            } else if !opening.moved
                && opening.repeatable
                && now.since(opening.sent) > service.opening_timeout
            {
                late.push(*key);
            }
        }
        for key in dead {
            self.drop_opening(&key);
        }
        for key in late {
            self.note_silence(now, &key);
            self.try_elsewhere(now, key, out);
        }
    }

    /// Sends an opening to an upstream that has not seen it yet, within the retry budget.
    fn try_elsewhere(&mut self, now: Timestamp, key: Key, out: &mut Vec<Action>) -> bool {
        let Some(opening) = self.openings.get_mut(&key) else {
            return false;
        };
        if !opening.repeatable || opening.tried.len() >= MAX_TRIES {
            return false;
        }
        let Some(pool) = self.pools.get_mut(&key.address()) else {
            return false;
        };
        if !self.retries.take(now, 1.0) {
            return false;
        }
        let Ok(upstream) = pool.open(now, self.share, &opening.tried) else {
            return false;
        };
        opening.tried.push(upstream);
        opening.sent = now;
        let bytes = opening.packet.clone();
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.upstream = upstream;
        }
        self.counters.increment(Counter::OpeningRetried);
        out.push(Action::Emit { bytes, to: self.upstream_target(&key, upstream) });
        true
    }

    /// Notes once for each wait that the upstream tried last has not answered.
    fn note_silence(&mut self, now: Timestamp, key: &Key) {
        let Some(opening) = self.openings.get_mut(key) else {
            return;
        };
        opening.sent = now;
        if let Some(silent) = opening.upstream() {
            self.note_failure(now, key, silent);
        }
    }

    fn note_failure(&mut self, now: Timestamp, key: &Key, upstream: Ipv4Addr) {
        if let Some(pool) = self.pools.get_mut(&key.address()) {
            pool.record_failure(now, upstream);
        }
    }

    /// Another entry takes itself for the home and asks: the opening is its from now on, so that it
    /// is not tried elsewhere behind its back.
    pub(crate) fn leave_opening_to_peer(&mut self, key: &Key) {
        if let Some(opening) = self.openings.get_mut(key) {
            opening.repeatable = false;
        }
    }

    /// Gives up an opening whose slot has moved. Its new home decides from now on; kept is only
    /// the answer to where it was sent.
    pub(crate) fn hand_over_opening(&mut self, key: Key) {
        let Some(mut opening) = self.openings.get(&key).cloned() else {
            return;
        };
        self.remove_flow(&key);
        opening.moved = true;
        self.openings.insert(key, opening);
    }

    /// Removes an opening, and its flow unless that has another home by now.
    fn drop_opening(&mut self, key: &Key) {
        if self.openings.get(key).is_some_and(|opening| opening.moved) {
            self.openings.swap_remove(key);
        } else {
            self.remove_flow(key);
        }
    }

    fn insert_opening(&mut self, key: Key, opening: Opening) {
        if self.openings.len() >= self.cfg.max_openings {
            let victim = self.rng.usize(..self.openings.len());
            let victim = self.openings.get_index(victim).map(|(key, _)| *key);
            victim.inspect(|key| self.drop_opening(key));
            self.counters.increment(Counter::Evicted);
        }
        self.openings.insert(key, opening);
    }
}

/// An opening without payload runs nowhere and may always be repeated.
fn is_repeatable(view: &View<'_>, service_allows: bool) -> bool {
    service_allows || (view.protocol() == Protocol::Tcp && view.payload_len() == 0)
}
