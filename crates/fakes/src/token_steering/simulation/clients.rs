//! Clients: copies, retries, what they see.

use super::super::stats::Failure;
use super::{
    AIM, DEADLINE, Event, REFUSAL_BYTES, RESEND, RESPONSE_BYTES, ROUTE, Simulation, THINK, Try,
    ZONES, later, opening,
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
    pub(super) fn on_request(&mut self) {
        let gap =
            Duration::from_secs_f64(-self.rng.f64().max(1e-9).ln() / f64::from(self.cfg.per_s));
        if self.closed {
            return;
        }
        self.at(gap, Event::Request);
        let zone = self.rng.usize(..ZONES.len());
        self.stats.requests += 1;
        self.send_try(zone, 0, self.now);
    }

    pub(super) fn send_try(&mut self, zone: usize, attempt: u32, began: Timestamp) {
        self.next_port += 1;
        let ip = Ipv4Addr::from(0x6440_0000 + self.next_port / 50_000);
        let client = SocketAddrV4::new(ip, (self.next_port % 50_000) as u16 + 1_000);
        let flow = FlowKey { client, service: ROUTE };
        let sent = self.now;
        self.tries.insert(
            flow,
            Try { zone, sent, attempt, began, open: None, answered: Vec::new(), token: Token(0) },
        );
        self.send_to_entry(opening(flow, 0));
        self.at(Duration::from_millis(200), Event::Copy(flow, 1));
        self.at(Duration::from_millis(600), Event::Copy(flow, 2));
        self.at(Duration::from_millis(1_400), Event::GiveUp(flow));
    }

    pub(super) fn on_copy(&mut self, flow: &FlowKey, copy: u32) {
        if self.tries.get(flow).is_some_and(|tried| tried.open.is_none()) {
            self.send_to_entry(opening(*flow, copy));
        }
    }

    pub(super) fn on_give_up(&mut self, flow: &FlowKey) {
        if let Some(tried) = self.tries.get(flow).filter(|tried| tried.open.is_none()) {
            self.stats.failures.push((tried.sent, *flow, Failure::Unanswered));
            self.retry(flow);
        }
    }

    pub(super) fn retry(&mut self, flow: &FlowKey) {
        let Some(tried) = self.tries.swap_remove(flow) else {
            return;
        };
        if tried.attempt < 2 && self.now.since(tried.began) < DEADLINE {
            self.send_try(tried.zone, tried.attempt + 1, tried.began);
        }
    }

    pub(super) fn on_answered(&mut self, flow: &FlowKey, id: UpstreamId, seq: u32) {
        let Some(tried) = self.tries.get_mut(flow) else {
            return;
        };
        // The last answer sets the token, the first one opens the flow.
        tried.token = id.token();
        tried.answered.push(id);
        if tried.open.is_none() {
            tried.open = Some((id, seq.wrapping_add(1)));
            let packet = later(*flow, tried.token, seq.wrapping_add(1));
            self.send_to_entry(packet);
            let wait = if self.rng.bool() { Duration::ZERO } else { THINK };
            self.at(wait, Event::Send(*flow));
        }
    }

    /// Sends the request itself, again if it was lost; closes the flow after the deadline.
    pub(super) fn on_send(&mut self, flow: &FlowKey) {
        let Some(tried) = self.tries.get(flow) else {
            return;
        };
        let Some((_, ack)) = tried.open else {
            return;
        };
        if self.now.since(tried.began) >= DEADLINE {
            let packet = Packet { fin: true, ..later(*flow, tried.token, ack) };
            self.stats.failures.push((tried.sent, *flow, Failure::DeadlineExceeded));
            self.send_to_entry(packet);
            self.tries.swap_remove(flow);
            return;
        }
        self.send_to_entry(Packet { data_len: 900, ..later(*flow, tried.token, ack) });
        self.at(RESEND, Event::Send(*flow));
    }

    pub(super) fn on_response(&mut self, flow: &FlowKey, id: UpstreamId) {
        let Some(tried) = self.tries.get(flow).cloned() else {
            return;
        };
        let took = self.now.since(tried.began);
        if took <= DEADLINE {
            self.stats.served += 1;
            self.stats.within_target += u32::from(took <= AIM);
        }
        let Some((at, ack)) = tried.open.filter(|(at, _)| *at == id) else {
            self.stats.record_violation(
                self.now,
                "a response of an upstream that does not have the flow",
            );
            return;
        };
        debug_assert_eq!(at, id);
        self.send_to_entry(Packet {
            fin: true,
            ..later(*flow, tried.token, ack.wrapping_add(RESPONSE_BYTES))
        });
        self.tries.swap_remove(flow);
    }

    /// A response that says that the request has not run.
    pub(super) fn on_turned_away(&mut self, flow: &FlowKey, id: UpstreamId) {
        let Some(tried) = self.tries.get(flow) else {
            return;
        };
        let Some((_, ack)) = tried.open.filter(|(at, _)| *at == id) else {
            return;
        };
        self.stats.shed += 1;
        let ack = ack.wrapping_add(REFUSAL_BYTES);
        self.send_to_entry(Packet { fin: true, ..later(*flow, tried.token, ack) });
        self.retry(flow);
    }

    pub(super) fn on_reset(&mut self, flow: &FlowKey, from: Option<UpstreamId>) {
        let Some(tried) = self.tries.get(flow) else {
            return;
        };
        if let Some((id, _)) = tried.open {
            let holder = self.upstreams.get(&id).filter(|upstream| upstream.alive);
            let holds = holder.is_some_and(|upstream| upstream.flows.contains_key(flow));
            let moved = self.now.since(self.route_since) < Duration::from_secs(20);
            let by_loser = from.is_some_and(|from| from != id && tried.answered.contains(&from));
            self.stats.hedge_resets += u32::from(holds && by_loser);
            if from.is_none() {
                self.stats.failures.push((tried.sent, *flow, Failure::Reset));
            }
            if holds && !by_loser && from != Some(id) && !(from.is_none() && moved) {
                self.stats
                    .record_violation(self.now, format!("an open flow was reset, by {from:x?}"));
            }
        } else if from.is_none() {
            self.stats.refused += 1;
            self.stats.failures.push((tried.sent, *flow, Failure::Refused));
        }
        self.retry(flow);
    }
}
