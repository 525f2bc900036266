//! Routers and links.

use super::{CLIENT_DELAY, Event, PROBE_EVERY, Simulation, ZONES};
use steer::FlowKey;
use steer::Packet;

impl Simulation {
    /// Sends a client's packet through the router of its zone.
    pub(super) fn send_to_entry(&mut self, packet: Packet) {
        let Some(tried) = self.tries.get(&packet.flow) else {
            return;
        };
        let place = self.route_packet(&packet.flow, tried.zone);
        let life = self.entries[place].life;
        if !self.is_lost() {
            self.at(CLIENT_DELAY, Event::AtEntry(place, life, packet));
        }
    }

    /// The entry of a packet: steady hashing over those in rotation, of the nearest zone that has any.
    pub(super) fn route_packet(&self, flow: &FlowKey, zone: usize) -> usize {
        let draw = |place: &usize| {
            let hash =
                u64::from(u32::from(*flow.client.ip())) << 16 | u64::from(flow.client.port());
            (hash ^ (*place as u64) << 40)
                .wrapping_mul(0x9E37_79B9_7F4A_7C15)
                .rotate_left(29)
                .wrapping_mul(0xBF58_476D_1CE4_E5B9)
        };
        let in_zone = |place: &usize, zone: usize| self.entries[*place].zone == zone;
        for step in 0..ZONES.len() {
            let zone = (zone + step) % ZONES.len();
            let all: Vec<usize> = (0..self.entries.len()).filter(|p| in_zone(p, zone)).collect();
            let in_rotation: Vec<usize> =
                all.iter().copied().filter(|place| self.rotation[*place] < 2).collect();
            if let Some(place) = in_rotation.into_iter().max_by_key(draw) {
                return place;
            }
        }
        (0..self.entries.len()).max_by_key(draw).unwrap_or_default()
    }

    pub(super) fn on_probe(&mut self) {
        for place in 0..self.entries.len() {
            let ready = self.entries[place].is_ready(self.now);
            self.rotation[place] = if ready { 0 } else { self.rotation[place] + 1 };
        }
        self.at(PROBE_EVERY, Event::Probe);
    }

    pub(super) fn is_lost(&mut self) -> bool {
        self.rng.u32(..1_000) < self.cfg.loss_milli
    }

    pub(super) fn is_cut(&self, one: usize, other: usize) -> bool {
        one != other && (self.cut_until[one] > self.now || self.cut_until[other] > self.now)
    }
}
