//! Handling of packets by the home of a flow. Openings are handled in `opening`.

use std::net::Ipv4Addr;
use std::time::Duration;

use packet::{TcpFlags, Transport, View};
use stdx::time::Timestamp;

use crate::action::{Action, Message, Target};
use crate::counters::Counter;
use crate::engine::{Engine, Packet, Side, Verdict};
use crate::key::Key;
use crate::opening::{HANDOVER_GRACE_PERIOD, OPENING_LIFETIME, Opening};
use crate::service::AdminState;

/// Time after which a flow is removed if the caller has not acknowledged the answer to its opening.
const HALF_OPEN_LIFETIME: Duration = Duration::from_secs(10);

/// Time that a closed flow is kept, so that its last packets are still forwarded.
const CLOSING_LIFETIME: Duration = Duration::from_secs(10);

/// Maximum number of bytes that one end can have sent before its first packet arrives here.
const MAX_FIRST_WINDOW_BYTES: u32 = 65_536;

/// Number of entries notified to remove a stale learned flow.
const MAX_FORGET_PEERS: usize = 8;

/// Flows checked for expiry per tick.
const MAX_SWEPT_PER_TICK: usize = 256;

stdx::value! {
    /// The connection state of a flow.
    pub(crate) enum State {
        /// The opening was sent to an upstream that has not answered.
        Opening,
        /// The upstream has answered; the caller has not acknowledged the answer.
        HalfOpen,
        /// Both ends have sent packets.
        Established,
        /// Recovered after its state was lost; not yet confirmed by a packet of the upstream.
        Recovered,
        /// Ended by a reset or by FINs of both ends.
        Closing,
    }

    /// The home's state of a flow.
    pub(crate) struct HomeFlow {
        pub(crate) upstream: Ipv4Addr,
        pub(crate) last_seen_s: u32,
        /// The caller's initial sequence number; 0 if unknown.
        pub(crate) isn: u32,
        /// The initial sequence number of the answer that was forwarded; 0 if unknown.
        pub(crate) answer_isn: u32,
        pub(crate) state: State,
        pub(crate) fin_caller: bool,
        pub(crate) fin_upstream: bool,
    }
}

impl HomeFlow {
    /// Whether the opening is completed, so that the flow's upstream is known.
    pub(crate) fn is_open(&self) -> bool {
        self.state != State::Opening
    }

    pub(crate) fn new(now: Timestamp, upstream: Ipv4Addr, isn: u32, state: State) -> Self {
        let last_seen_s = now.as_secs() as u32;
        Self {
            upstream,
            last_seen_s,
            isn,
            answer_isn: 0,
            state,
            fin_caller: false,
            fin_upstream: false,
        }
    }

    /// Order of eviction: closed flows first, then those not yet established, then the others. In
    /// each class the flow that has been idle longest comes first.
    fn rank(&self) -> (u8, u32) {
        let class = match self.state {
            State::Closing => 0,
            State::Opening | State::HalfOpen => 1,
            State::Recovered | State::Established => 2,
        };
        (class, self.last_seen_s)
    }

    /// Time without packets after which the flow is removed.
    fn lifetime(&self, idle_timeout: Duration) -> Duration {
        match self.state {
            State::Opening => OPENING_LIFETIME,
            State::HalfOpen => HALF_OPEN_LIFETIME,
            State::Closing => CLOSING_LIFETIME,
            State::Established | State::Recovered => idle_timeout,
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
            (Side::Caller, Some(flow)) => self.on_request(now, packet, flow, out),
            (Side::Caller, None) => self.on_unknown_request(now, packet, out),
            (Side::Upstream(ip), Some(flow)) => self.on_reply(now, packet, ip, flow, out),
            (Side::Upstream(ip), None) => self.on_unknown_reply(now, packet, ip, out),
        }
    }

    /// Handles a caller's packet of a flow in the table.
    fn on_request(
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
            Some(AdminState::OutOfService) | None => return self.reset_out_of_service(packet),
        }
        let flags = packet.view.flags();
        let key = packet.key;
        let answered_elsewhere = match flow.state {
            State::Opening => flags.ack && !self.complete_opening_by_request(now, packet),
            State::HalfOpen => is_established(packet) && !acknowledges(packet, flow.answer_isn),
            State::Established | State::Recovered | State::Closing => false,
        };
        if answered_elsewhere {
            // The caller has accepted an answer that this entry did not see; its sender is unknown.
            self.remove_flow(&key);
            return self.recover(now, packet, out);
        }
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.last_seen_s = now.as_secs() as u32;
            flow.fin_caller |= flags.fin;
            if flow.state == State::HalfOpen && !flags.syn {
                flow.state = State::Established;
            }
        }
        self.update_closing(&key, flags);
        self.counters.increment(Counter::ByHome);
        Verdict::Forward(self.upstream_target(&key, flow.upstream))
    }

    /// Handles a caller's packet of a flow that is not in the table.
    fn on_unknown_request(
        &mut self,
        now: Timestamp,
        packet: &Packet<'_>,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let Some(service) = self.service(&packet.key) else {
            return Verdict::Drop(Counter::NoService);
        };
        let since_move = now.since(self.homes.moved_at(self.slot(&packet.key)));
        let may_be_lost = since_move < service.idle_timeout;
        match packet.view.transport {
            Transport::Tcp { flags, .. } if flags.syn && !flags.ack => {
                if since_move < HANDOVER_GRACE_PERIOD {
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

    /// Handles an upstream's packet of a flow in the table.
    fn on_reply(
        &mut self,
        now: Timestamp,
        packet: &Packet<'_>,
        ip: Ipv4Addr,
        flow: HomeFlow,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let flags = packet.view.flags();
        if flow.state == State::Opening {
            return self.on_opening_reply(now, packet, ip, flow, out);
        }
        if ip != flow.upstream && flow.state == State::HalfOpen && acknowledges(packet, flow.isn) {
            // The caller has accepted another upstream's answer, which this entry did not see.
            self.change_upstream(now, packet.key, ip);
            self.counters.increment(Counter::ByHome);
            return Verdict::Forward(Target::Caller);
        }
        if ip != flow.upstream {
            return self.discard_reply(packet, ip, out);
        }
        if flags.rst && flow.state == State::Recovered {
            // The recovered upstream was stale. The caller's next packet starts a new recovery.
            self.remove_flow(&packet.key);
            self.broadcast_forget(packet.key, ip, out);
            return Verdict::Drop(Counter::Swallowed);
        }
        let key = packet.key;
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.last_seen_s = now.as_secs() as u32;
            flow.fin_upstream |= flags.fin;
            // A SYN-ACK only shows that the upstream's connection is half-open.
            if flow.state == State::Recovered && !flags.syn {
                flow.state = State::Established;
            }
        }
        self.update_closing(&key, flags);
        self.counters.increment(Counter::ByHome);
        Verdict::Forward(Target::Caller)
    }

    /// Handles an upstream's packet of a flow that is not in the table.
    fn on_unknown_reply(
        &mut self,
        now: Timestamp,
        packet: &Packet<'_>,
        ip: Ipv4Addr,
        out: &mut Vec<Action>,
    ) -> Verdict {
        if self.recoveries.contains_key(&packet.key) {
            return self.on_recovery_reply(now, packet, ip, out);
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

    /// Inserts an established flow.
    pub(crate) fn adopt(&mut self, now: Timestamp, key: Key, upstream: Ipv4Addr) {
        self.insert_open_flow(now, key, upstream, State::Established);
    }

    /// Inserts a flow that was opened elsewhere and counts it in the pool.
    pub(crate) fn insert_open_flow(
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

    /// Drops a reply of an upstream that does not have the flow. A SYN-ACK is answered with a
    /// reset, so that the upstream frees its half-open connection.
    pub(crate) fn discard_reply(
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
        out.extend(
            others.take(MAX_FORGET_PEERS).map(|to| Action::SendMessage { to: *to, message }),
        );
        self.unlearn(&key, upstream);
    }

    /// Removes a flow whose upstream is out of service or was removed, and resets the caller.
    fn reset_out_of_service(&mut self, packet: &Packet<'_>) -> Verdict {
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

    /// Removes a flow and releases its counts in the pool.
    pub(crate) fn remove_flow(&mut self, key: &Key) {
        if let Some(flow) = self.flows.remove(key) {
            self.release(key, &flow);
        }
    }

    /// Releases the pool's counts of a removed flow.
    fn release(&mut self, key: &Key, flow: &HomeFlow) {
        let tried = self.openings.swap_remove(key).and_then(Opening::into_counted_upstreams);
        let Some(pool) = self.pools.get_mut(&key.address()) else {
            return;
        };
        match tried {
            Some(tried) => tried.into_iter().for_each(|ip| pool.close(ip)),
            None if flow.state != State::Closing => pool.close(flow.upstream),
            None => {}
        }
    }

    /// Marks a flow as closing after a reset or after FINs of both ends.
    fn update_closing(&mut self, key: &Key, flags: TcpFlags) {
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
        self.flows.sweep(MAX_SWEPT_PER_TICK, |key, flow| {
            let idle_timeout =
                services.get(&key.address()).map_or(Duration::ZERO, |service| service.idle_timeout);
            let idle_s = (now.as_secs() as u32).saturating_sub(flow.last_seen_s);
            if u64::from(idle_s) > flow.lifetime(idle_timeout).as_secs() {
                expired.push(*key);
            }
            false
        });
        for key in expired {
            self.remove_flow(&key);
        }
    }
}

/// Whether a packet belongs to an established connection: it has ACK and neither SYN nor RST.
fn is_established(packet: &Packet<'_>) -> bool {
    let flags = packet.view.flags();
    flags.ack && !flags.syn && !flags.rst
}

/// Whether a packet of an established connection acknowledges a stream with the initial sequence
/// number `isn`.
fn acknowledges(packet: &Packet<'_>, isn: u32) -> bool {
    let Transport::Tcp { ack, .. } = packet.view.transport else {
        return false;
    };
    is_established(packet) && (1..=MAX_FIRST_WINDOW_BYTES).contains(&ack.wrapping_sub(isn))
}

/// The sequence number of an opening or of its answer; 0 if the protocol has none.
pub(crate) fn initial_sequence(view: &View<'_>) -> u32 {
    match view.transport {
        Transport::Tcp { seq, .. } => seq,
        Transport::Udp { .. } | Transport::IcmpError { .. } => 0,
    }
}
