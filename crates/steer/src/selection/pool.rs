//! The upstreams among which the flows of a service are placed.

use crate::table::UpstreamId;

/// Upstreams of a service that accept new flows.
#[derive(Debug, Clone, Default)]
pub(super) struct Pool {
    pub(super) ids: Vec<UpstreamId>,
    pub(super) picks: u64,
    /// Mean costs of the upstreams, in the own zone and in others.
    pub(super) zone_costs: [MeanCost; 2],
    /// Whether half of the upstreams have no free slot.
    pub(super) is_full: bool,
    /// Latest turn that was picked.
    pub(super) turn_milli: u64,
}

impl Pool {
    /// Mean cost of all upstreams.
    pub(super) fn usual_cost(&self) -> f64 {
        let [own, other] = self.zone_costs;
        MeanCost { total: own.total + other.total, upstreams: own.upstreams + other.upstreams }
            .mean()
    }
}

/// Mean cost of some upstreams.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MeanCost {
    total: f64,
    upstreams: u32,
}

impl MeanCost {
    pub(super) fn add(&mut self, cost: f64) {
        self.total += cost;
        self.upstreams += 1;
    }

    /// The mean; 1, which is usual, if there are no upstreams.
    pub(super) fn mean(self) -> f64 {
        if self.upstreams == 0 { 1.0 } else { self.total / f64::from(self.upstreams) }
    }
}
