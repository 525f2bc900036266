//! Routers, packet loss and zone partitions.

use super::{CLIENT_DELAY, Event, PROBE_INTERVAL, Simulation, ZONES};
use steer::FlowKey;
use steer::Packet;

impl Simulation {
    /// Sends a client's packet through the router of its zone.
    pub(super) fn send_to_entry(&mut self, packet: Packet) {
        let Some(attempt) = self.attempts.get(&packet.flow) else {
            return;
        };
        let index = self.route_packet(&packet.flow, attempt.zone);
        let generation = self.entries[index].generation;
        if !self.draw_loss() {
            self.schedule(CLIENT_DELAY, Event::PacketAtEntry(index, generation, packet));
        }
    }

    /// The entry that receives a packet: rendezvous hashing over the entries in rotation, in the
    /// first zone from `zone` on that has any.
    pub(super) fn route_packet(&self, flow: &FlowKey, zone: usize) -> usize {
        let score = |index: &usize| {
            let key = u64::from(u32::from(*flow.client.ip())) << 16 | u64::from(flow.client.port());
            (key ^ (*index as u64) << 40)
                .wrapping_mul(0x9E37_79B9_7F4A_7C15)
                .rotate_left(29)
                .wrapping_mul(0xBF58_476D_1CE4_E5B9)
        };
        let in_zone = |index: &usize, zone: usize| self.entries[*index].zone == zone;
        for step in 0..ZONES.len() {
            let zone = (zone + step) % ZONES.len();
            let all: Vec<usize> =
                (0..self.entries.len()).filter(|index| in_zone(index, zone)).collect();
            let in_rotation: Vec<usize> =
                all.iter().copied().filter(|index| self.failed_probes[*index] < 2).collect();
            if let Some(index) = in_rotation.into_iter().max_by_key(score) {
                return index;
            }
        }
        (0..self.entries.len()).max_by_key(score).unwrap_or_default()
    }

    pub(super) fn on_probe_readiness(&mut self) {
        for index in 0..self.entries.len() {
            let ready = self.entries[index].is_ready(self.now);
            self.failed_probes[index] = if ready { 0 } else { self.failed_probes[index] + 1 };
        }
        self.schedule(PROBE_INTERVAL, Event::ProbeReadiness);
    }

    pub(super) fn draw_loss(&mut self) -> bool {
        self.rng.u32(..1_000) < self.cfg.loss_milli
    }

    pub(super) fn is_partitioned(&self, one: usize, other: usize) -> bool {
        one != other
            && (self.partitioned_until[one] > self.now || self.partitioned_until[other] > self.now)
    }
}
