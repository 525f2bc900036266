//! How the upstreams of each service acknowledge requests: what this entry observes, and the news of others.

use stdx::hash;
use stdx::time::Timestamp;

use super::Engine;
use crate::acknowledgements::{Acknowledgement, AcknowledgementTally};
use crate::table::UpstreamId;

impl Engine {
    /// Takes note of when an upstream acknowledged a request.
    pub(super) fn on_acknowledgement(
        &mut self,
        upstream: UpstreamId,
        acknowledgement: Option<Acknowledgement>,
    ) {
        let Some((acknowledgement, service)) = acknowledgement.zip(self.service_of(upstream))
        else {
            return;
        };
        match acknowledgement {
            Acknowledgement::AtOnce => self.stats.acknowledged_at_once += 1,
            Acknowledgement::Late => self.stats.acknowledged_late += 1,
        }
        self.acknowledgements.observe(service, acknowledgement);
    }

    /// Merges what another entry has observed of acknowledgements, by the hash of services' names.
    pub fn on_acknowledgement_news(&mut self, news: &[(u64, AcknowledgementTally)]) {
        for (service, tally) in news {
            if self.table.services.iter().any(|known| hash::fnv1a(&known.name) == *service) {
                self.acknowledgements.merge(*service, *tally);
            }
        }
    }

    /// What the other entries are to be told of acknowledgements.
    pub fn take_acknowledgement_news(
        &mut self,
        now: Timestamp,
    ) -> Vec<(u64, AcknowledgementTally)> {
        self.acknowledgements.take_untold(now)
    }

    /// Whether an upstream acknowledges requests before it works on them, as far as is known.
    pub(super) fn acknowledges_at_once(&self, upstream: UpstreamId) -> bool {
        let service = self.service_of(upstream);
        service.is_some_and(|service| self.acknowledgements.are_at_once(service))
    }

    /// Hash of the name of an upstream's service.
    fn service_of(&self, upstream: UpstreamId) -> Option<u64> {
        let service = self.table.upstreams.get(&upstream)?.service;
        Some(hash::fnv1a(&self.table.services.get(usize::from(service.0))?.name))
    }
}
