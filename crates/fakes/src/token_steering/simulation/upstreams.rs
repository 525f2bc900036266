//! Upstreams: starts, stops, and packets of flows.

use super::super::entry::APPLY_BOUND;
use super::super::upstream::Upstream;
use super::{
    ADDRESS_REUSE_TIME, CLIENT_DELAY, COLD_TIME, Config, Event, MAX_COLD_OPENINGS_PER_S,
    MAX_OPENING_ANSWER_COPIES, MAX_RETRANSMIT_DOUBLINGS, RECORD_EXPIRY, REQUEST_BYTES,
    RESPONSE_BYTES, RETRANSMIT_INTERVAL, ROUTE_ADDR, SERVICES, SLOW_ANSWER_DELAY, Simulation,
    ZONE_OUT_BOUND, ZONES,
};
use directory::RecordKey;
use directory::RecordValue;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use stdx::time::Timestamp;
use steer::FlowKey;
use steer::Packet;
use steer::UpstreamId;
use steer::decision::Hop;

impl Simulation {
    /// Upstreams of the route's service that new flows may be opened at.
    pub(super) fn usable_upstreams(&self) -> Vec<UpstreamId> {
        let is_usable = |upstream: &&Upstream| upstream.alive && upstream.leaving_since.is_none();
        let usable = self.upstreams.values().filter(is_usable);
        let service = SERVICES[self.route_target];
        usable.filter(|upstream| upstream.service == service).map(|upstream| upstream.id).collect()
    }

    pub(super) fn random_upstream(&mut self) -> UpstreamId {
        let ids = self.usable_upstreams();
        ids[self.rng.usize(..ids.len())]
    }

    /// Ends a quarter of the service's upstreams without a word.
    pub(super) fn quarter_goes_dark(&mut self) {
        for id in self.usable_upstreams().into_iter().step_by(4) {
            self.go_dark(id);
        }
    }

    /// Ends an upstream without a word.
    pub(super) fn go_dark(&mut self, id: UpstreamId) {
        self.upstreams[&id].alive = false;
        self.schedule(ADDRESS_REUSE_TIME, Event::AddressReused(id));
        self.schedule(RECORD_EXPIRY, Event::RecordExpires(id));
    }

    pub(super) fn add_upstream(&mut self, zone: usize, service: &str, cold: bool) -> UpstreamId {
        self.next_upstream += 1;
        let id = UpstreamId(self.next_upstream);
        let addr = SocketAddrV4::new(Ipv4Addr::from(0x0A00_0000 + id.0 as u32), 8080);
        let mut upstream = Upstream::new(id, addr, zone, service);
        // Upstreams of each slowness are spread over the zones.
        let turn = self.upstreams.len() / ZONES.len() % self.cfg.slowness_milli.len();
        upstream.slowness_milli = self.cfg.slowness_milli[turn];
        if cold {
            upstream.cold_until = self.now + COLD_TIME;
        }
        self.upstreams.insert(id, upstream);
        self.register(id);
        id
    }

    pub(super) fn register(&mut self, id: UpstreamId) {
        let upstream = &self.upstreams[&id];
        if upstream.alive && !self.store.unavailable {
            let spec = upstream.spec(self.now, ZONES[upstream.zone]);
            self.store.put(RecordKey::Upstream(id), Some(RecordValue::Upstream(spec)));
        }
    }

    pub(super) fn replace_upstream(&mut self) {
        let id = self.random_upstream();
        let (zone, service) = (self.upstreams[&id].zone, self.upstreams[&id].service.clone());
        self.add_upstream(zone, &service, true);
        self.upstreams[&id].leaving_since = Some(self.now);
        self.register(id);
        self.schedule(APPLY_BOUND + Duration::from_secs(1), Event::StopUpstream(id));
    }

    pub(super) fn on_stop_upstream(&mut self, id: UpstreamId) {
        self.upstreams[&id].alive = false;
        if !self.store.unavailable {
            self.store.put(RecordKey::Upstream(id), None);
        }
    }

    pub(super) fn on_record_expires(&mut self, id: UpstreamId) {
        if !self.store.unavailable {
            self.store.put(RecordKey::Upstream(id), None);
        }
    }

    /// Starts an upstream of the other service at the address of one that has ended.
    pub(super) fn on_address_reused(&mut self, ended: UpstreamId) {
        let Upstream { zone, addr, service, .. } = self.upstreams[&ended].clone();
        let other = if service == SERVICES[0] { SERVICES[1] } else { SERVICES[0] };
        let id = self.add_upstream(zone, other, true);
        self.upstreams[&id].addr = addr;
        self.register(id);
    }

    pub(super) fn on_zone_back(&mut self, zone: usize) {
        self.zones_out.swap_remove(&zone);
        self.store.put(RecordKey::ZoneOut(ZONES[zone].to_owned()), None);
        let cold_until = self.now + COLD_TIME;
        let in_zone: Vec<UpstreamId> =
            self.upstreams.values().filter(|u| u.zone == zone).map(|u| u.id).collect();
        for id in in_zone {
            self.upstreams[&id].cold_until = cold_until;
            self.register(id);
        }
    }

    pub(super) fn on_packet_at_upstream(&mut self, hop: Hop, packet: &Packet, index: usize) {
        let now = self.now;
        let Some(upstream) = self.upstreams.get_mut(&hop.upstream).filter(|u| u.alive) else {
            return;
        };
        let (id, flow) = (upstream.id, packet.flow);
        if packet.syn {
            let acked = upstream.accept(flow, hop.token).acked;
            let delay = if upstream.slow_until > now { SLOW_ANSWER_DELAY } else { Duration::ZERO };
            self.check_opening(id, index, &flow);
            if !acked {
                self.schedule(delay, Event::AnswerOpening(flow, id, 0));
            }
            return;
        }
        let Some(state) = upstream.flows.get_mut(&flow) else {
            self.schedule(CLIENT_DELAY, Event::ResetAtClient(flow, Some(id)));
            return;
        };
        if packet.fin {
            upstream.flows.swap_remove(&flow);
            return;
        }
        if packet.ack.wrapping_sub(state.seq.wrapping_add(1)) > RESPONSE_BYTES * state.requests {
            self.schedule(CLIENT_DELAY, Event::ResetAtClient(flow, Some(id)));
            return;
        }
        state.acked = true;
        state.token = hop.token;
        let is_new = packet.data_len > 0 && packet.seq == REQUEST_BYTES * state.requests + 2;
        if !is_new {
            return;
        }
        state.requests += 1;
        let token = state.token;
        if upstream.hung_until > now {
            return;
        }
        if upstream.shedding_until > now {
            self.schedule(CLIENT_DELAY, Event::ShedResponse(flow, id));
            return;
        }
        let class = usize::from(flow.service.port() - ROUTE_ADDR.port());
        let run_time = draw_run_time(&mut self.rng, &self.cfg, class, upstream.slowness_milli);
        match upstream.run_request(now, run_time, self.cfg.max_queue_time) {
            Ok(done) => {
                *self.stats.busy.entry(id).or_default() += run_time;
                self.schedule(done.since(now) + CLIENT_DELAY, Event::Response(flow, id, token));
            }
            Err(_) if self.cfg.max_queue_time.is_none() => {
                self.schedule(CLIENT_DELAY, Event::ResetAtClient(flow, Some(id)));
            }
            Err(queued) => self.schedule(queued + CLIENT_DELAY, Event::ShedResponse(flow, id)),
        }
    }

    /// Sends the answer to an opening, and repeats it until the client acknowledges it.
    pub(super) fn on_answer_opening(&mut self, flow: &FlowKey, id: UpstreamId, copies: u32) {
        let Some(upstream) = self.upstreams.get(&id).filter(|upstream| upstream.alive) else {
            return;
        };
        let Some(state) = upstream.flows.get(flow).filter(|state| !state.acked).copied() else {
            return;
        };
        if !self.draw_loss() {
            self.schedule(CLIENT_DELAY, Event::OpeningAnswered(*flow, id, state.seq, state.token));
        }
        if copies < MAX_OPENING_ANSWER_COPIES {
            let wait = RETRANSMIT_INTERVAL * 2_u32.pow(copies.min(MAX_RETRANSMIT_DOUBLINGS));
            self.schedule(wait, Event::AnswerOpening(*flow, id, copies + 1));
        }
    }

    /// Checks the guarantees for an opening that arrived at an upstream.
    pub(super) fn check_opening(&mut self, id: UpstreamId, index: usize, flow: &FlowKey) {
        let now = self.now;
        let upstream = &self.upstreams[&id];
        let sent = self.attempts.get(flow).map_or(now, |attempt| attempt.sent);
        let checks_enabled = self.entries[index].checks_suspended_until <= now
            && self.all_checks_suspended_until <= now;
        let words = self.entries[index].words_at_step();
        let knew_upstream = words.is_some_and(|words| words.refused.contains(&id));
        let version = self.entries[index].engine.table().version;
        let knew_version = words.is_some_and(|words| words.version == self.config_version);
        // The operator and the upstreams tell again what the store lost, also to entries that had
        // not heard it in time, or have started since.
        let is_late = |since: Timestamp, bound: Duration, known: bool| {
            let was_told_in_time =
                words.is_some() && since.max(self.told_at) + bound < self.stepped_at;
            let is_lost = since < self.rewritten_at && !known && !was_told_in_time;
            sent.since(if is_lost { self.rewritten_at } else { since }) > bound
        };
        let mut violations = Vec::new();
        if words.is_some_and(|words| version < words.version) {
            violations.push("configuration reverted");
        }
        if checks_enabled
            && upstream
                .leaving_since
                .is_some_and(|since| is_late(since, APPLY_BOUND, knew_upstream))
        {
            violations.push("opening at a leaving upstream");
        }
        if checks_enabled
            && self
                .zones_out
                .get(&upstream.zone)
                .is_some_and(|at| is_late(*at, ZONE_OUT_BOUND, knew_upstream))
        {
            violations.push("opening in a zone out of service");
        }
        if checks_enabled
            && upstream.service != SERVICES[self.route_target]
            && is_late(self.route_changed_at, APPLY_BOUND, knew_version)
        {
            violations.push("opening routed by an outdated configuration");
        }
        if upstream.cold_until > now {
            self.stats.record_cold_opening(now, id, MAX_COLD_OPENINGS_PER_S);
        }
        for violation in violations {
            self.stats.record_violation(now, violation);
        }
    }
}

/// The time that a request of a class takes at an upstream.
fn draw_run_time(
    rng: &mut fastrand::Rng,
    cfg: &Config,
    class: usize,
    slowness_milli: u32,
) -> Duration {
    let run_time = cfg.classes[class].run_time * slowness_milli / 1_000;
    let spread = cfg.run_time_spread_percent;
    if spread == 0 {
        return run_time;
    }
    run_time * rng.u32(100 - spread..=100 + spread) / 100
}
