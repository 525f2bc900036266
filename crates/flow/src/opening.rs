//! Openings: choice of an upstream, answers, refusals and retries.

use std::net::Ipv4Addr;
use std::time::Duration;

use packet::{Protocol, Transport, View};
use stdx::time::Timestamp;

use crate::action::{Action, Target};
use crate::counters::Counter;
use crate::engine::{Engine, Packet, Verdict};
use crate::home::{HomeFlow, State, initial_sequence};
use crate::key::Key;

/// Upstreams that one opening is sent to, including the first.
const MAX_ATTEMPTS: usize = 3;

/// Time after which an unanswered opening is removed.
pub(crate) const OPENING_LIFETIME: Duration = Duration::from_secs(30);

/// Time after a slot moved in which its previous home may still have unanswered openings.
pub(crate) const HANDOVER_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// An opening that no upstream has answered yet.
#[derive(Debug, Clone)]
pub(crate) struct Opening {
    packet: Box<[u8]>,
    /// Whether it may be retried at another upstream.
    repeatable: bool,
    started_at: Timestamp,
    sent_at: Timestamp,
    tried: Vec<Ipv4Addr>,
    /// Whether the flow has moved to another home, which may still ask for its upstream.
    handed_over: bool,
}

impl Opening {
    /// The upstream of the last attempt.
    pub(crate) fn upstream(&self) -> Option<Ipv4Addr> {
        self.tried.last().copied()
    }

    /// The upstreams whose counts include this opening; `None` if its new home counts it.
    pub(crate) fn into_counted_upstreams(self) -> Option<Vec<Ipv4Addr>> {
        (!self.handed_over).then_some(self.tried)
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
            started_at: now,
            sent_at: now,
            tried: vec![upstream],
            handed_over: false,
        };
        self.retry_budget.add(f64::from(self.cfg.retry_percent) / 100.0);
        let isn = initial_sequence(packet.view);
        self.insert_flow(key, HomeFlow::new(now, upstream, isn, State::Opening));
        self.insert_opening(key, opening);
        self.counters.increment(Counter::Opened);
        Verdict::Forward(self.upstream_target(&key, upstream))
    }

    /// Handles a reply to an opening. The first upstream that accepts the opening gets the flow.
    pub(crate) fn on_opening_reply(
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
            self.complete_opening(now, packet.key, ip, state);
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
            self.record_failure(now, &packet.key, ip);
            return self.on_opening_reset(now, packet, out);
        }
        if flags.rst || packet.view.protocol() == Protocol::Udp {
            return Verdict::Drop(Counter::Swallowed);
        }
        if flags.syn {
            return self.discard_reply(packet, ip, out);
        }
        // An upstream sends data only after the caller has acknowledged its SYN-ACK.
        self.complete_opening(now, packet.key, ip, State::Established);
        self.counters.increment(Counter::ByHome);
        Verdict::Forward(Target::Caller)
    }

    /// Completes an opening: `ip` has the connection, the other upstreams' counts are released.
    fn complete_opening(&mut self, now: Timestamp, key: Key, ip: Ipv4Addr, state: State) {
        let opening = self.openings.swap_remove(&key);
        let tried = opening.map(|opening| opening.tried).unwrap_or_default();
        if let Some(pool) = self.pools.get_mut(&key.address()) {
            tried.iter().filter(|other| **other != ip).for_each(|other| pool.close(*other));
        }
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.upstream = ip;
            flow.state = state;
            flow.last_seen_s = now.as_secs() as u32;
        }
    }

    /// Completes an opening whose answer was forwarded by another entry that considered itself the
    /// home, when the caller acknowledges it. Returns whether the upstream is known, which it is if
    /// only one was tried.
    pub(crate) fn complete_opening_by_request(
        &mut self,
        now: Timestamp,
        packet: &Packet<'_>,
    ) -> bool {
        let Some(opening) = self.openings.get(&packet.key) else {
            return false;
        };
        let [only] = opening.tried[..] else {
            return false;
        };
        self.complete_opening(now, packet.key, only, State::Recovered);
        true
    }

    /// Reassigns a flow to the upstream that has proved to have the connection.
    pub(crate) fn change_upstream(&mut self, now: Timestamp, key: Key, ip: Ipv4Addr) {
        self.remove_flow(&key);
        self.adopt(now, key, ip);
    }

    /// Handles a reset by the upstream of the last attempt: retries the opening, or forwards the
    /// reset if no retry is possible. The reset is then correct, because an opening without payload
    /// has not been processed by any upstream.
    fn on_opening_reset(
        &mut self,
        now: Timestamp,
        packet: &Packet<'_>,
        out: &mut Vec<Action>,
    ) -> Verdict {
        if self.retry_opening(now, packet.key, out) {
            return Verdict::Drop(Counter::Swallowed);
        }
        self.remove_flow(&packet.key);
        self.counters.increment(Counter::Refused);
        Verdict::Forward(Target::Caller)
    }

    pub(crate) fn tick_openings(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let (mut overdue, mut expired) = (Vec::new(), Vec::new());
        for (key, opening) in &self.openings {
            let Some(service) = self.services.get(&key.address()) else {
                expired.push(*key);
                continue;
            };
            let lifetime =
                if opening.handed_over { HANDOVER_GRACE_PERIOD } else { OPENING_LIFETIME };
            if now.since(opening.started_at) > lifetime {
                expired.push(*key);
            } else if !opening.handed_over
                && opening.repeatable
                && now.since(opening.sent_at) > service.opening_timeout
            {
                overdue.push(*key);
            }
        }
        for key in expired {
            self.remove_opening(&key);
        }
        for key in overdue {
            self.record_timeout(now, &key);
            self.retry_opening(now, key, out);
        }
    }

    /// Sends an opening to an upstream that has not been tried, within the retry budget. Returns
    /// whether it was sent.
    fn retry_opening(&mut self, now: Timestamp, key: Key, out: &mut Vec<Action>) -> bool {
        let Some(opening) = self.openings.get_mut(&key) else {
            return false;
        };
        if !opening.repeatable || opening.tried.len() >= MAX_ATTEMPTS {
            return false;
        }
        let Some(pool) = self.pools.get_mut(&key.address()) else {
            return false;
        };
        if !self.retry_budget.take(now, 1.0) {
            return false;
        }
        let Ok(upstream) = pool.open(now, self.share, &opening.tried) else {
            return false;
        };
        opening.tried.push(upstream);
        opening.sent_at = now;
        let bytes = opening.packet.clone();
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.upstream = upstream;
        }
        self.counters.increment(Counter::OpeningRetried);
        out.push(Action::Emit { bytes, to: self.upstream_target(&key, upstream) });
        true
    }

    /// Records a failure of the upstream of the last attempt, once per timeout.
    fn record_timeout(&mut self, now: Timestamp, key: &Key) {
        let Some(opening) = self.openings.get_mut(key) else {
            return;
        };
        opening.sent_at = now;
        if let Some(upstream) = opening.upstream() {
            self.record_failure(now, key, upstream);
        }
    }

    fn record_failure(&mut self, now: Timestamp, key: &Key, upstream: Ipv4Addr) {
        if let Some(pool) = self.pools.get_mut(&key.address()) {
            pool.record_failure(now, upstream);
        }
    }

    /// Disables retries of an opening that a peer has asked about. The peer considers itself the
    /// home and may complete the opening, so that a retry here would open a second connection.
    pub(crate) fn disable_opening_retry(&mut self, key: &Key) {
        if let Some(opening) = self.openings.get_mut(key) {
            opening.repeatable = false;
        }
    }

    /// Removes the flow of an opening whose slot has moved. The opening is kept to answer questions
    /// of the new home, which handles the flow from now on.
    pub(crate) fn hand_over_opening(&mut self, key: Key) {
        let Some(mut opening) = self.openings.get(&key).cloned() else {
            return;
        };
        self.remove_flow(&key);
        opening.handed_over = true;
        self.openings.insert(key, opening);
    }

    /// Removes an opening and, unless it was handed over, its flow.
    fn remove_opening(&mut self, key: &Key) {
        if self.openings.get(key).is_some_and(|opening| opening.handed_over) {
            self.openings.swap_remove(key);
        } else {
            self.remove_flow(key);
        }
    }

    fn insert_opening(&mut self, key: Key, opening: Opening) {
        if self.openings.len() >= self.cfg.max_openings {
            let victim = self.rng.usize(..self.openings.len());
            let victim = self.openings.get_index(victim).map(|(key, _)| *key);
            victim.inspect(|key| self.remove_opening(key));
            self.counters.increment(Counter::Evicted);
        }
        self.openings.insert(key, opening);
    }
}

/// Whether an opening may be retried. Without payload it has no effect at an upstream, so that a
/// retry is always safe.
fn is_repeatable(view: &View<'_>, service_allows: bool) -> bool {
    service_allows || (view.protocol() == Protocol::Tcp && view.payload_len() == 0)
}
