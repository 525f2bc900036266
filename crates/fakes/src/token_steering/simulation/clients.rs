//! Clients: requests, retransmissions, retries, and checks of what they receive.

use super::super::stats::Failure;
use super::{
    Attempt, Event, MAX_PAUSE, MAX_RETRANSMIT_DOUBLINGS, RECOVERY_TIME, REQUEST_BYTES,
    RESPONSE_BYTES, RETRANSMIT_INTERVAL, SHED_RESPONSE_BYTES, Simulation, THINK_TIME, ZONES,
    data_packet, opening_packet, route_addr,
};
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use stdx::time::Timestamp;
use steer::FlowKey;
use steer::Packet;
use steer::Token;
use steer::UpstreamId;

impl Simulation {
    pub(super) fn on_new_request(&mut self, class: usize) {
        let interval =
            Duration::from_secs_f64(-self.rng.f64().max(1e-9).ln() / self.rates[class].per_s());
        if self.finishing {
            return;
        }
        self.schedule(interval, Event::NewRequest(class));
        let zone = self.rng.usize(..ZONES.len());
        if !self.cfg.opens_ahead {
            self.count_request(class);
        }
        self.send_attempt(class, zone, 0, self.now);
    }

    fn count_request(&mut self, class: usize) {
        self.stats.requests += 1;
        self.stats.classes[class].requests += 1;
    }

    pub(super) fn send_attempt(
        &mut self,
        class: usize,
        zone: usize,
        number: u32,
        started: Timestamp,
    ) {
        self.stats.attempts += 1;
        self.next_port += 1;
        let ip = Ipv4Addr::from(0x6440_0000 + self.next_port / 50_000);
        let client = SocketAddrV4::new(ip, (self.next_port % 50_000) as u16 + 1_000);
        let flow = FlowKey { client, service: route_addr(class) };
        let sent = self.now;
        self.attempts.insert(
            flow,
            Attempt {
                class,
                zone,
                sent,
                number,
                started,
                open: None,
                answered_by: Vec::new(),
                offered_to: Vec::new(),
                token: Token(0),
                request: 0,
                waiting: true,
            },
        );
        self.send_to_entry(opening_packet(flow, 0));
        self.schedule(Duration::from_millis(200), Event::RetransmitOpening(flow, 1));
        self.schedule(Duration::from_millis(600), Event::RetransmitOpening(flow, 2));
        self.schedule(Duration::from_millis(1_400), Event::OpeningTimeout(flow));
    }

    pub(super) fn on_retransmit_opening(&mut self, flow: &FlowKey, copy: u32) {
        if self.attempts.get(flow).is_some_and(|attempt| attempt.open.is_none()) {
            self.send_to_entry(opening_packet(*flow, copy));
        }
    }

    pub(super) fn on_opening_timeout(&mut self, flow: &FlowKey) {
        if let Some(attempt) = self.attempts.get(flow).filter(|attempt| attempt.open.is_none()) {
            self.stats.failures.push((attempt.sent, *flow, Failure::Unanswered));
            self.retry(flow);
        }
    }

    pub(super) fn retry(&mut self, flow: &FlowKey) {
        let Some(attempt) = self.attempts.swap_remove(flow) else {
            return;
        };
        let deadline = self.cfg.classes[attempt.class].deadline;
        if attempt.number < 2 && self.now.since(attempt.started) < deadline {
            self.send_attempt(attempt.class, attempt.zone, attempt.number + 1, attempt.started);
        }
    }

    pub(super) fn on_opening_answered(
        &mut self,
        flow: &FlowKey,
        id: UpstreamId,
        seq: u32,
        token: Token,
    ) {
        let Some(attempt) = self.attempts.get_mut(flow) else {
            return;
        };
        // The first answer opens the flow; each later one replaces the token.
        attempt.token = token;
        attempt.answered_by.push(id);
        if attempt.open.is_none() {
            attempt.open = Some((id, seq.wrapping_add(1)));
            let packet = data_packet(*flow, attempt.token, 0, seq.wrapping_add(1));
            self.send_to_entry(packet);
            if self.cfg.opens_ahead {
                self.attempts[flow].waiting = false;
                let pause = MAX_PAUSE.mul_f64(self.rng.f64());
                self.schedule(pause, Event::NextRequest(*flow));
                return;
            }
            let wait = if self.rng.bool() { Duration::ZERO } else { THINK_TIME };
            self.schedule(wait, Event::SendRequest(*flow, 0, 0));
        }
    }

    /// Sends or retransmits a request; closes the flow after the deadline.
    pub(super) fn on_send_request(&mut self, flow: &FlowKey, request: u32, copies: u32) {
        let Some(attempt) =
            self.attempts.get(flow).filter(|attempt| attempt.waiting && attempt.request == request)
        else {
            return;
        };
        let Some((id, ack)) = attempt.open else {
            return;
        };
        // On the platform endpoints that live acknowledge packets at once, be they slow or hanging.
        let at_upstream = self.upstreams.get(&id).and_then(|upstream| upstream.flows.get(flow));
        let acknowledged = copies > 0 && at_upstream.is_some_and(|state| state.requests > request);
        let ack = ack.wrapping_add(RESPONSE_BYTES * request);
        if self.now.since(attempt.started) >= self.cfg.classes[attempt.class].deadline {
            let packet = data_packet(*flow, attempt.token, request + 1, ack);
            let packet = Packet { fin: true, ..packet };
            self.stats.failures.push((attempt.sent, *flow, Failure::DeadlineExceeded));
            self.send_to_entry(packet);
            self.attempts.swap_remove(flow);
            return;
        }
        let packet = data_packet(*flow, attempt.token, request, ack);
        if !acknowledged {
            self.send_to_entry(Packet { data_len: REQUEST_BYTES as u16, ..packet });
        }
        let wait = RETRANSMIT_INTERVAL * 2_u32.pow(copies.min(MAX_RETRANSMIT_DOUBLINGS));
        self.schedule(wait, Event::SendRequest(*flow, request, copies + 1));
    }

    /// Sends the next request of a flow after its pause.
    pub(super) fn on_next_request(&mut self, flow: &FlowKey) {
        let now = self.now;
        if self.finishing {
            self.attempts.swap_remove(flow);
            return;
        }
        let Some(attempt) = self.attempts.get_mut(flow) else {
            return;
        };
        (attempt.waiting, attempt.number) = (true, 0);
        (attempt.started, attempt.sent) = (now, now);
        let (request, class) = (attempt.request, attempt.class);
        self.count_request(class);
        self.stats.attempts += 1;
        self.on_send_request(flow, request, 0);
    }

    pub(super) fn on_response(&mut self, flow: &FlowKey, id: UpstreamId, token: Token) {
        let Some(attempt) = self.attempts.get_mut(flow) else {
            return;
        };
        attempt.token = token;
        let attempt = attempt.clone();
        let response_time = self.now.since(attempt.started);
        let class = self.cfg.classes[attempt.class];
        if response_time <= class.deadline {
            let within_target = u32::from(response_time <= class.latency_target);
            self.stats.served += 1;
            self.stats.within_target += within_target;
            self.stats.classes[attempt.class].within_target += within_target;
        }
        let Some((at, ack)) = attempt.open.filter(|(at, _)| *at == id) else {
            self.stats.record_violation(
                self.now,
                "response from another upstream than the one that opened the flow",
            );
            return;
        };
        debug_assert_eq!(at, id);
        let requests = attempt.request + 1;
        if requests < self.cfg.requests_per_flow && !self.finishing {
            let ack = ack.wrapping_add(RESPONSE_BYTES * requests);
            self.send_to_entry(data_packet(*flow, attempt.token, requests, ack));
            let attempt = &mut self.attempts[flow];
            (attempt.waiting, attempt.request) = (false, requests);
            let pause = MAX_PAUSE.mul_f64(self.rng.f64());
            self.schedule(pause, Event::NextRequest(*flow));
            return;
        }
        self.send_to_entry(Packet {
            fin: true,
            ..data_packet(
                *flow,
                attempt.token,
                requests,
                ack.wrapping_add(RESPONSE_BYTES * requests),
            )
        });
        self.attempts.swap_remove(flow);
    }

    /// Handles a response that sheds the request, which was not run.
    pub(super) fn on_shed_response(&mut self, flow: &FlowKey, id: UpstreamId) {
        let Some(attempt) = self.attempts.get(flow) else {
            return;
        };
        let Some((_, ack)) = attempt.open.filter(|(at, _)| *at == id) else {
            return;
        };
        self.stats.shed += 1;
        let ack = ack.wrapping_add(RESPONSE_BYTES * attempt.request + SHED_RESPONSE_BYTES);
        let packet = data_packet(*flow, attempt.token, attempt.request + 1, ack);
        self.send_to_entry(Packet { fin: true, ..packet });
        self.retry(flow);
    }

    pub(super) fn on_reset(&mut self, flow: &FlowKey, from: Option<UpstreamId>) {
        let Some(attempt) = self.attempts.get(flow) else {
            return;
        };
        if let Some((id, _)) = attempt.open {
            let upstream = self.upstreams.get(&id).filter(|upstream| upstream.alive);
            let state = upstream.and_then(|upstream| upstream.flows.get(flow));
            let (has_flow, is_acked) = (state.is_some(), state.is_some_and(|state| state.acked));
            let route_changed_recently =
                self.now.since(self.route_changed_at) < Duration::from_secs(20);
            // Without loss, an upstream that the client got no answer from can't be mistaken for
            // the flow's.
            let others =
                if self.cfg.loss_milli > 0 { &attempt.offered_to } else { &attempt.answered_by };
            let by_hedged_upstream = from.is_some_and(|from| from != id && others.contains(&from));
            self.stats.hedge_resets += u32::from(has_flow && by_hedged_upstream);
            self.stats.acked_hedge_resets += u32::from(is_acked && by_hedged_upstream);
            // Partitioned entries and upstreams can't tell each other's end from the partition.
            let partitioned = [Some(attempt.zone), upstream.map(|upstream| upstream.zone)]
                .into_iter()
                .flatten()
                .any(|zone| self.now.since(self.partitioned_until[zone]) < RECOVERY_TIME);
            if from.is_none() {
                self.stats.resets += u32::from(attempt.waiting);
                self.stats.failures.push((attempt.sent, *flow, Failure::Reset));
            }
            if has_flow
                && !by_hedged_upstream
                && from != Some(id)
                && !(from.is_none() && (route_changed_recently || partitioned))
            {
                self.stats.record_violation(self.now, format!("open flow reset by {from:x?}"));
            }
        } else if from.is_none() {
            let class = attempt.class;
            self.stats.refused += 1;
            self.stats.classes[class].refused += 1;
            self.stats.failures.push((attempt.sent, *flow, Failure::Refused));
        }
        if self.attempts.get(flow).is_some_and(|attempt| attempt.waiting) {
            self.retry(flow);
        } else {
            self.attempts.swap_remove(flow);
        }
    }
}
