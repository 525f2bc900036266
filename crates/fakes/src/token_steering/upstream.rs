//! An upstream: slots, a queue, a cold start, draining.

use std::net::SocketAddrV4;
use std::time::Duration;

use directory::UpstreamSpec;
use indexmap::IndexMap;
use stdx::time::Timestamp;
use steer::{FlowKey, UpstreamId};

/// Requests that are worked on at once.
const SLOTS: usize = 2;

/// Requests that wait at most; more are turned away.
const QUEUE: usize = 8;

/// An upstream and its flows.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Its number.
    pub id: UpstreamId,
    /// Its address.
    pub addr: SocketAddrV4,
    /// Its zone.
    pub zone: usize,
    /// Its service.
    pub service: String,
    /// Whether it runs.
    pub alive: bool,
    /// Since when the store knows that it is leaving.
    pub leaving_since: Option<Timestamp>,
    /// Until when it answers openings late.
    pub slow_until: Timestamp,
    /// Until when it takes requests and does not answer them.
    pub hangs_until: Timestamp,
    /// Until when it turns requests away.
    pub sheds_until: Timestamp,
    /// Until when it is cold.
    pub cold_until: Timestamp,
    /// Flows by their own sequence number, and whether the client has acknowledged it.
    pub flows: IndexMap<FlowKey, (u32, bool)>,
    busy_until: [Timestamp; SLOTS],
    next_seq: u32,
}

impl Upstream {
    /// One that runs and is warm.
    pub fn new(id: UpstreamId, addr: SocketAddrV4, zone: usize, service: &str) -> Self {
        Self {
            id,
            addr,
            zone,
            service: service.to_owned(),
            alive: true,
            leaving_since: None,
            slow_until: Timestamp::default(),
            hangs_until: Timestamp::default(),
            sheds_until: Timestamp::default(),
            cold_until: Timestamp::default(),
            flows: IndexMap::new(),
            busy_until: [Timestamp::default(); SLOTS],
            next_seq: (id.0 as u32).wrapping_mul(0x1000_0001),
        }
    }

    /// What it says of itself.
    pub fn spec(&self, now: Timestamp, zone: &str) -> UpstreamSpec {
        UpstreamSpec {
            id: self.id,
            service: self.service.clone(),
            addr: self.addr,
            zone: zone.to_owned(),
            leaving: self.leaving_since.is_some(),
            cold_left: self.cold_until.since(now),
            started_ms: None,
        }
    }

    /// Takes an opening. Returns the sequence number of its answer.
    pub fn open(&mut self, flow: FlowKey) -> u32 {
        self.next_seq = self.next_seq.wrapping_add(0x0100_0000);
        let seq = self.next_seq;
        self.flows.entry(flow).or_insert((seq, false)).0
    }

    /// Begins to work on a request; `None` if there is no room. Returns when it is done.
    pub fn work(&mut self, now: Timestamp, work: Duration) -> Option<Timestamp> {
        let slot = self.busy_until.iter_mut().min()?;
        let waits = slot.since(now);
        if waits > work * (QUEUE / SLOTS) as u32 {
            return None;
        }
        *slot = now.max(*slot) + work;
        Some(*slot)
    }
}
