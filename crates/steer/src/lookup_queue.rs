//! Bounded queue of packets whose flow's upstream other entries were asked for.

use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;

use crate::packet::FlowKey;

/// Capacity of the queue in flows.
const MAX_FLOWS: usize = 256;

/// Packets of one flow that are queued.
const MAX_PACKETS_PER_FLOW: usize = 16;

/// Time after which queued packets are dropped. Clients retransmit them after 200 ms.
const MAX_LOOKUP_TIME: Duration = Duration::from_millis(180);

/// Packets by flow, until the flow's upstream is known.
#[derive(Debug, Clone)]
pub struct LookupQueue<P> {
    flows: IndexMap<FlowKey, (Timestamp, Vec<P>)>,
}

impl<P> Default for LookupQueue<P> {
    fn default() -> Self {
        Self { flows: IndexMap::new() }
    }
}

impl<P> LookupQueue<P> {
    /// Adds a packet, unless the queue is full. Returns whether the other entries have to be asked:
    /// it is the flow's first packet.
    pub fn push(&mut self, now: Timestamp, flow: FlowKey, packet: P) -> bool {
        self.flows.retain(|_, (queued_at, _)| !is_expired(now, *queued_at));
        if let Some((_, packets)) = self.flows.get_mut(&flow) {
            if packets.len() < MAX_PACKETS_PER_FLOW {
                packets.push(packet);
            }
            return false;
        }
        let has_room = self.flows.len() < MAX_FLOWS;
        if has_room {
            self.flows.insert(flow, (now, vec![packet]));
        }
        has_room
    }

    /// Removes the packets of a flow whose upstream is known now, in the order of their arrival.
    pub fn take(&mut self, now: Timestamp, flow: &FlowKey) -> Vec<P> {
        match self.flows.swap_remove(flow) {
            Some((queued_at, packets)) if !is_expired(now, queued_at) => packets,
            _ => Vec::new(),
        }
    }

    /// Whether no packet is queued.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}

fn is_expired(now: Timestamp, queued_at: Timestamp) -> bool {
    now.since(queued_at) > MAX_LOOKUP_TIME
}
