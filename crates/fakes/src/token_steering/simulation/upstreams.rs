//! Upstreams: starts, leaving, flows.

use super::super::entry::BOUND;
use super::super::upstream::Upstream;
use super::{
    CLIENT_DELAY, COLD, COLD_LIMIT, Event, SERVICES, SLOW_ANSWER, Simulation, WORK, ZONE_OUT_BOUND,
    ZONES,
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
    pub(super) fn any_upstream(&mut self) -> UpstreamId {
        let usable = |upstream: &&Upstream| upstream.alive && upstream.leaving_since.is_none();
        let ids: Vec<UpstreamId> = self
            .upstreams
            .values()
            .filter(usable)
            .filter(|upstream| upstream.service == SERVICES[self.route])
            .map(|upstream| upstream.id)
            .collect();
        ids[self.rng.usize(..ids.len())]
    }

    pub(super) fn add_upstream(&mut self, zone: usize, service: &str, cold: bool) -> UpstreamId {
        self.next_upstream += 1;
        let id = UpstreamId(self.next_upstream);
        let addr = SocketAddrV4::new(Ipv4Addr::from(0x0A00_0000 + id.0 as u32), 8080);
        let mut upstream = Upstream::new(id, addr, zone, service);
        if cold {
            upstream.cold_until = self.now + COLD;
        }
        self.upstreams.insert(id, upstream);
        self.register(id);
        id
    }

    pub(super) fn register(&mut self, id: UpstreamId) {
        let upstream = &self.upstreams[&id];
        if upstream.alive && !self.store.away {
            let spec = upstream.spec(self.now, ZONES[upstream.zone]);
            self.store.put(RecordKey::Upstream(id), Some(RecordValue::Upstream(spec)));
        }
    }

    pub(super) fn replace_upstream(&mut self) {
        let id = self.any_upstream();
        let (zone, service) = (self.upstreams[&id].zone, self.upstreams[&id].service.clone());
        self.add_upstream(zone, &service, true);
        self.upstreams[&id].leaving_since = Some(self.now);
        self.register(id);
        self.at(BOUND + Duration::from_secs(1), Event::Leave(id));
    }

    pub(super) fn on_leave(&mut self, id: UpstreamId) {
        self.upstreams[&id].alive = false;
        if !self.store.away {
            self.store.put(RecordKey::Upstream(id), None);
        }
    }

    pub(super) fn on_zone_back(&mut self, zone: usize) {
        self.zones_out.swap_remove(&zone);
        self.store.put(RecordKey::ZoneOut(ZONES[zone].to_owned()), None);
        let cold_until = self.now + COLD;
        let in_zone: Vec<UpstreamId> =
            self.upstreams.values().filter(|u| u.zone == zone).map(|u| u.id).collect();
        for id in in_zone {
            self.upstreams[&id].cold_until = cold_until;
            self.register(id);
        }
    }

    pub(super) fn on_upstream(&mut self, hop: Hop, packet: &Packet, place: usize) {
        let now = self.now;
        let Some(upstream) = self.upstreams.get_mut(&hop.upstream).filter(|u| u.alive) else {
            return;
        };
        let (id, flow) = (upstream.id, packet.flow);
        if packet.syn {
            let seq = upstream.open(flow);
            let late = if upstream.slow_until > now { SLOW_ANSWER } else { Duration::ZERO };
            self.check_opening(id, place, &flow);
            if !self.is_lost() {
                self.at(late + CLIENT_DELAY, Event::Answered(flow, id, seq));
            }
            return;
        }
        let Some((seq, open)) = upstream.flows.get_mut(&flow) else {
            self.at(CLIENT_DELAY, Event::ResetAt(flow, Some(id)));
            return;
        };
        if packet.fin {
            upstream.flows.swap_remove(&flow);
            return;
        }
        if packet.ack != seq.wrapping_add(1) {
            self.at(CLIENT_DELAY, Event::ResetAt(flow, Some(id)));
            return;
        }
        if packet.data_len == 0 || std::mem::replace(open, true) {
            return;
        }
        if upstream.hangs_until > now {
            return;
        }
        if upstream.sheds_until > now {
            self.at(CLIENT_DELAY, Event::TurnedAway(flow, id));
            return;
        }
        match upstream.work(now, WORK) {
            Some(done) => self.at(done.since(now) + CLIENT_DELAY, Event::Response(flow, id)),
            None => self.at(CLIENT_DELAY, Event::ResetAt(flow, Some(id))),
        }
    }

    /// Checks what the promises say about an opening that an upstream takes.
    pub(super) fn check_opening(&mut self, id: UpstreamId, place: usize, flow: &FlowKey) {
        let now = self.now;
        let upstream = &self.upstreams[&id];
        let sent = self.tries.get(flow).map_or(now, |tried| tried.sent);
        let calm = self.entries[place].disturbed_until <= now && self.store_trouble_until <= now;
        let late = |since: Timestamp, bound: Duration| sent.since(since) > bound;
        let mut violations = Vec::new();
        if calm && upstream.leaving_since.is_some_and(|since| late(since, BOUND)) {
            violations.push("an opening at an upstream that is leaving");
        }
        if calm && self.zones_out.get(&upstream.zone).is_some_and(|at| late(*at, ZONE_OUT_BOUND)) {
            violations.push("an opening in a zone out of service");
        }
        if calm && upstream.service != SERVICES[self.route] && late(self.route_since, BOUND) {
            violations.push("an opening by an old version");
        }
        if upstream.cold_until > now {
            self.stats.record_cold_opening(now, id, COLD_LIMIT);
        }
        for what in violations {
            self.stats.record_violation(now, what);
        }
    }
}
