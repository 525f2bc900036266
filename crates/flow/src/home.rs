//! What an entry decides as the home of a flow. How a flow is opened stands in `opening`.

use std::net::Ipv4Addr;
use std::time::Duration;

use packet::{TcpFlags, Transport, View};
use stdx::time::Timestamp;

use crate::action::{Action, Message, Target};
use crate::counters::Counter;
use crate::engine::{Engine, Packet, Side, Verdict};
use crate::key::Key;
use crate::opening::{OPENING_LIFETIME, Opening, SETTLE_TIME};
use crate::service::AdminState;

/// Time after which a flow is forgotten whose caller never acknowledged the answer to its opening.
const HALF_OPEN_LIFETIME: Duration = Duration::from_secs(10);

/// Time that a closed flow is kept so that its last packets find their way.
const CLOSING_LIFETIME: Duration = Duration::from_secs(10);

/// Bytes that one end can have sent at most before its first packet is seen here.
const MAX_FIRST_WINDOW: u32 = 65_536;

/// Entries told to forget a stale learned flow.
const MAX_FORGET: usize = 8;

/// Flows looked at for expiry on each tick.
const SWEEP_PER_TICK: usize = 256;

stdx::value! {
    /// How far a flow is.
    pub(crate) enum State {
        /// Sent to an upstream that has not answered.
        Opening,
        /// The upstream has answered, the caller has not.
        HalfOpen,
        /// Both ends have been heard.
        Established,
        /// Found again after its state was lost; the upstream has not confirmed it yet.
        Recovered,
        /// One end has ended it.
        Closing,
    }

    /// What the home knows of a flow.
    pub(crate) struct HomeFlow {
        pub(crate) upstream: Ipv4Addr,
        pub(crate) seen_s: u32,
        /// The caller's initial sequence number; zero if unknown.
        pub(crate) isn: u32,
        /// The initial sequence number of the answer that was passed on; zero if unknown.
        pub(crate) answer_isn: u32,
        pub(crate) state: State,
        pub(crate) fin_caller: bool,
        pub(crate) fin_upstream: bool,
    }
}

impl HomeFlow {
    /// Whether an upstream is known to hold the flow.
    pub(crate) fn is_settled(&self) -> bool {
        self.state != State::Opening
    }

    pub(crate) fn new(now: Timestamp, upstream: Ipv4Addr, isn: u32, state: State) -> Self {
        let seen_s = now.as_secs() as u32;
        Self { upstream, seen_s, isn, answer_isn: 0, state, fin_caller: false, fin_upstream: false }
    }

    /// Order of eviction: closed flows first, then unanswered ones, then the longest silent.
    fn rank(&self) -> (u8, u32) {
        let class = match self.state {
            State::Closing => 0,
            State::Opening | State::HalfOpen => 1,
            State::Recovered | State::Established => 2,
        };
        (class, self.seen_s)
    }

    fn lifetime(&self, idle: Duration) -> Duration {
        match self.state {
            State::Opening => OPENING_LIFETIME,
            State::HalfOpen => HALF_OPEN_LIFETIME,
            State::Closing => CLOSING_LIFETIME,
            State::Established | State::Recovered => idle,
        }
    }
}

impl Engine {
    pub(crate) fn decide_as_home(
        &mut self,
        now: Timestamp,
        packet: &Packet<'_>,
        out: &mut Vec<Action>,
    ) -> Verdict {
        match (packet.side, self.flows.get(&packet.key).copied()) {
            (Side::Caller, Some(flow)) => self.request_of_known(now, packet, flow, out),
            (Side::Caller, None) => self.request_of_unknown(now, packet, out),
            (Side::Upstream(ip), Some(flow)) => self.reply_of_known(now, packet, ip, flow, out),
            (Side::Upstream(ip), None) => self.reply_of_unknown(now, packet, ip, out),
        }
    }

    fn request_of_known(
        &mut self,
        now: Timestamp,
        packet: &Packet<'_>,
        flow: HomeFlow,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let reopens = packet.view.is_opening()
            && flow.state == State::Closing
            && flow.isn != initial_sequence(packet.view);
        if reopens {
            self.remove_flow(&packet.key);
            self.broadcast_forget(packet.key, flow.upstream, out);
            return self.open(now, packet);
        }
        match self.admin_state(&packet.key, flow.upstream) {
            Some(AdminState::Active | AdminState::Draining) => {}
            Some(AdminState::OutOfService) | None => return self.give_up(packet),
        }
        let flags = packet.view.flags();
        let key = packet.key;
        let answered_elsewhere = match flow.state {
            State::Opening => flags.ack && !self.settle_by_request(now, packet),
            State::HalfOpen => is_established(packet) && !acknowledges(packet, flow.answer_isn),
            State::Established | State::Recovered | State::Closing => false,
        };
        if answered_elsewhere {
            // The caller took the answer of an upstream that this entry does not know.
            self.remove_flow(&key);
            return self.recover(now, packet, out);
        }
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.seen_s = now.as_secs() as u32;
            flow.fin_caller |= flags.fin;
            if flow.state == State::HalfOpen && !flags.syn {
                flow.state = State::Established;
            }
        }
        self.note_end(&key, flags);
        self.counters.increment(Counter::ByHome);
        Verdict::Forward(self.upstream_target(&key, flow.upstream))
    }

    fn request_of_unknown(
        &mut self,
        now: Timestamp,
        packet: &Packet<'_>,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let Some(service) = self.service(&packet.key) else {
            return Verdict::Drop(Counter::NoService);
        };
        let lost = now.since(self.homes.moved_at(self.slot(&packet.key)));
        let may_be_lost = lost < service.idle_timeout;
        match packet.view.transport {
            Transport::Tcp { flags, .. } if flags.syn && !flags.ack => {
                if lost < SETTLE_TIME {
                    return self.recover(now, packet, out);
                }
                self.open(now, packet)
            }
            Transport::Tcp { .. } | Transport::Udp { .. } if may_be_lost => {
                self.recover(now, packet, out)
            }
            Transport::Tcp { flags, .. } if flags.rst => Verdict::Drop(Counter::UnknownFlow),
            Transport::Tcp { .. } => Verdict::Reset,
            Transport::Udp { .. } => self.open(now, packet),
            Transport::IcmpError { .. } => Verdict::Drop(Counter::UnknownFlow),
        }
    }

    fn reply_of_known(
        &mut self,
        now: Timestamp,
        packet: &Packet<'_>,
        ip: Ipv4Addr,
        flow: HomeFlow,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let flags = packet.view.flags();
        if flow.state == State::Opening {
            return self.reply_to_opening(now, packet, ip, flow, out);
        }
        if ip != flow.upstream && flow.state == State::HalfOpen && acknowledges(packet, flow.isn) {
            // The caller took another upstream's answer, which did not pass here.
            self.change_holder(now, packet.key, ip);
            self.counters.increment(Counter::ByHome);
            return Verdict::Forward(Target::Caller);
        }
        if ip != flow.upstream {
            return self.swallow(packet, ip, out);
        }
        if flags.rst && flow.state == State::Recovered {
            // What was found may be stale: look again when the caller sends again.
            self.remove_flow(&packet.key);
            self.broadcast_forget(packet.key, ip, out);
            return Verdict::Drop(Counter::Swallowed);
        }
        let key = packet.key;
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.seen_s = now.as_secs() as u32;
            flow.fin_upstream |= flags.fin;
            // An answer to an opening shows no more than that the upstream is half open.
            if flow.state == State::Recovered && !flags.syn {
                flow.state = State::Established;
            }
        }
        self.note_end(&key, flags);
        self.counters.increment(Counter::ByHome);
        Verdict::Forward(Target::Caller)
    }

    fn reply_of_unknown(
        &mut self,
        now: Timestamp,
        packet: &Packet<'_>,
        ip: Ipv4Addr,
        out: &mut Vec<Action>,
    ) -> Verdict {
        if self.pending.contains_key(&packet.key) {
            return self.reply_to_pending(now, packet, ip, out);
        }
        let flags = packet.view.flags();
        if flags.rst {
            return Verdict::Drop(Counter::Swallowed);
        }
        if flags.syn {
            return self.recover(now, packet, out);
        }
        if flags.fin {
            return Verdict::Forward(Target::Caller);
        }
        self.adopt(now, packet.key, ip);
        self.counters.increment(Counter::ByHome);
        Verdict::Forward(Target::Caller)
    }

    /// Becomes the home of a flow that an upstream is known to hold.
    pub(crate) fn adopt(&mut self, now: Timestamp, key: Key, upstream: Ipv4Addr) {
        self.insert_settled(now, key, upstream, State::Established);
    }

    pub(crate) fn insert_settled(
        &mut self,
        now: Timestamp,
        key: Key,
        upstream: Ipv4Addr,
        state: State,
    ) {
        if let Some(pool) = self.pools.get_mut(&key.address()) {
            pool.adopt(upstream);
        }
        self.insert_flow(key, HomeFlow::new(now, upstream, 0, state));
    }

    /// Drops a reply of an upstream that does not hold the flow and frees the upstream's end.
    pub(crate) fn swallow(
        &mut self,
        packet: &Packet<'_>,
        ip: Ipv4Addr,
        out: &mut Vec<Action>,
    ) -> Verdict {
        self.broadcast_forget(packet.key, ip, out);
        if packet.view.flags().syn {
            self.counters.increment(Counter::Swallowed);
            return Verdict::Reset;
        }
        Verdict::Drop(Counter::Swallowed)
    }

    fn broadcast_forget(&mut self, key: Key, upstream: Ipv4Addr, out: &mut Vec<Action>) {
        let message = Message::Forget { key, upstream };
        let others = self.homes.members().iter().filter(|id| **id != self.cfg.id);
        out.extend(others.take(MAX_FORGET).map(|to| Action::SendMessage { to: *to, message }));
        self.forget(&key, upstream);
    }

    fn give_up(&mut self, packet: &Packet<'_>) -> Verdict {
        self.remove_flow(&packet.key);
        self.counters.increment(Counter::GivenUp);
        Verdict::Reset
    }

    pub(crate) fn insert_flow(&mut self, key: Key, flow: HomeFlow) {
        if let Some((key, flow)) = self.flows.insert(key, flow, HomeFlow::rank) {
            self.release(&key, &flow);
            self.counters.increment(Counter::Evicted);
        }
    }

    /// Removes a flow and what the pool counts for it.
    pub(crate) fn remove_flow(&mut self, key: &Key) {
        if let Some(flow) = self.flows.remove(key) {
            self.release(key, &flow);
        }
    }

    /// Takes a removed flow out of the pool's counts.
    fn release(&mut self, key: &Key, flow: &HomeFlow) {
        let tried = self.openings.swap_remove(key).and_then(Opening::into_counted);
        let Some(pool) = self.pools.get_mut(&key.address()) else {
            return;
        };
        match tried {
            Some(tried) => tried.into_iter().for_each(|ip| pool.close(ip)),
            None if flow.state != State::Closing => pool.close(flow.upstream),
            None => {}
        }
    }

    /// A reset ends a flow at once, two FINs end it together.
    fn note_end(&mut self, key: &Key, flags: TcpFlags) {
        let finished = |flow: &HomeFlow| flow.fin_caller && flow.fin_upstream;
        if flags.rst || self.flows.get(key).is_some_and(finished) {
            self.start_closing(key);
        }
    }

    fn start_closing(&mut self, key: &Key) {
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        if flow.state == State::Closing {
            return;
        }
        let before = *flow;
        flow.state = State::Closing;
        self.release(key, &before);
    }

    pub(crate) fn sweep_flows(&mut self, now: Timestamp) {
        let services = &self.services;
        let mut expired = Vec::new();
        self.flows.sweep(SWEEP_PER_TICK, |key, flow| {
            let idle =
                services.get(&key.address()).map_or(Duration::ZERO, |service| service.idle_timeout);
            let silent = (now.as_secs() as u32).saturating_sub(flow.seen_s);
            if u64::from(silent) > flow.lifetime(idle).as_secs() {
                expired.push(*key);
            }
            false
        });
        for key in expired {
            self.remove_flow(&key);
        }
    }
}

/// Whether a packet belongs to an open connection, and neither opens nor resets one.
fn is_established(packet: &Packet<'_>) -> bool {
    let flags = packet.view.flags();
    flags.ack && !flags.syn && !flags.rst
}

/// Whether a packet of an open connection acknowledges what began with the sequence number `isn`.
fn acknowledges(packet: &Packet<'_>, isn: u32) -> bool {
    let Transport::Tcp { ack, .. } = packet.view.transport else {
        return false;
    };
    is_established(packet) && (1..=MAX_FIRST_WINDOW).contains(&ack.wrapping_sub(isn))
}

pub(crate) fn initial_sequence(view: &View<'_>) -> u32 {
    match view.transport {
        Transport::Tcp { seq, .. } => seq,
        Transport::Udp { .. } | Transport::IcmpError { .. } => 0,
    }
}
