//! Requests on flows that this entry did not open, and that came here when the routers changed. Their
//! packets are steered by their tokens; here only the progress of the last request is followed.

use indexmap::IndexMap;
use stdx::time::Timestamp;

use crate::packet::FlowKey;
use crate::request::Request;
use crate::table::UpstreamId;

/// Maximum number of flows.
const MAX_STRAYS: usize = 2_048;

/// Records that an eviction compares.
const EVICTION_SAMPLE_SIZE: usize = 8;

stdx::value! {
    /// A flow that another entry opened.
    pub struct Stray {
        /// Its upstream.
        pub upstream: UpstreamId,
        /// The client's last request; `None` before one was seen here.
        pub request: Option<Request>,
        /// When the last packet arrived.
        pub last_packet_at: Timestamp,
    }
}

/// The flows that came here from other entries. The oldest make room for others.
#[derive(Debug, Clone, Default)]
pub struct Strays {
    flows: IndexMap<FlowKey, Stray>,
    cursor: usize,
}

impl Strays {
    /// The record of a flow at an upstream, which is begun anew if it was at another one.
    pub fn at(&mut self, now: Timestamp, flow: &FlowKey, upstream: UpstreamId) -> &mut Stray {
        if self.flows.len() >= MAX_STRAYS && !self.flows.contains_key(flow) {
            self.evict();
        }
        let new = Stray { upstream, request: None, last_packet_at: now };
        let stray = self.flows.entry(*flow).or_insert(new);
        if stray.upstream != upstream {
            *stray = new;
        }
        stray.last_packet_at = now;
        stray
    }

    /// The record of a flow.
    pub fn get(&self, flow: &FlowKey) -> Option<&Stray> {
        self.flows.get(flow)
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &Stray)> {
        self.flows.iter()
    }

    /// Removes a record.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<Stray> {
        self.flows.swap_remove(flow)
    }

    fn evict(&mut self) {
        let len = self.flows.len();
        let sample = (0..EVICTION_SAMPLE_SIZE).map(|offset| (self.cursor + offset) % len);
        if let Some(index) = sample.min_by_key(|index| self.flows[*index].last_packet_at) {
            self.cursor = (index + 1) % len;
            self.flows.swap_remove_index(index);
        }
    }
}
