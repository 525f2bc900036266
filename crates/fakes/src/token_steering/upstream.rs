//! An upstream: concurrent requests, a queue, cold start and draining.

use std::net::SocketAddrV4;
use std::time::Duration;

use directory::UpstreamSpec;
use indexmap::IndexMap;
use stdx::time::Timestamp;
use steer::{FlowKey, Token, UpstreamId};

/// Number of requests that run concurrently.
const SLOTS: usize = 2;

/// Maximum number of queued requests; further requests are rejected.
const MAX_QUEUED: usize = 8;

stdx::value! {
    /// A flow at an upstream.
    pub struct UpstreamFlow {
        /// Sequence number of the answer to the opening.
        pub seq: u32,
        /// Number of requests received.
        pub requests: u32,
        /// Token of the last packet received, which answers carry.
        pub token: Token,
        /// Whether the client has acknowledged the answer to the opening.
        pub acked: bool,
    }
}

/// An upstream and its flows.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Its id.
    pub id: UpstreamId,
    /// Its address.
    pub addr: SocketAddrV4,
    /// Its zone.
    pub zone: usize,
    /// Its service.
    pub service: String,
    /// Whether it runs.
    pub alive: bool,
    /// Time at which its record in the store was marked as leaving.
    pub leaving_since: Option<Timestamp>,
    /// Time until which it delays its answers to openings.
    pub slow_until: Timestamp,
    /// Time until which it accepts requests but does not answer them.
    pub hung_until: Timestamp,
    /// Time until which it sheds all requests.
    pub shedding_until: Timestamp,
    /// Time until which it is cold.
    pub cold_until: Timestamp,
    /// Flows that it accepted and that have not ended.
    pub flows: IndexMap<FlowKey, UpstreamFlow>,
    /// Time that it takes for a request relative to what is usual, in thousandths.
    pub slowness_milli: u32,
    busy_until: [Timestamp; SLOTS],
    /// When each queued or running request is completed.
    completions: Vec<Timestamp>,
    next_seq: u32,
}

impl Upstream {
    /// Creates a running, warm upstream.
    pub fn new(id: UpstreamId, addr: SocketAddrV4, zone: usize, service: &str) -> Self {
        Self {
            id,
            addr,
            zone,
            service: service.to_owned(),
            alive: true,
            leaving_since: None,
            slow_until: Timestamp::default(),
            hung_until: Timestamp::default(),
            shedding_until: Timestamp::default(),
            cold_until: Timestamp::default(),
            flows: IndexMap::new(),
            slowness_milli: 1_000,
            busy_until: [Timestamp::default(); SLOTS],
            completions: Vec::new(),
            next_seq: (id.0 as u32).wrapping_mul(0x1000_0001),
        }
    }

    /// Its record in the store.
    pub fn spec(&self, now: Timestamp, zone: &str) -> UpstreamSpec {
        UpstreamSpec {
            id: self.id,
            service: self.service.clone(),
            addr: self.addr,
            zone: zone.to_owned(),
            slots: SLOTS as u32,
            leaving: self.leaving_since.is_some(),
            cold_left: self.cold_until.since(now),
            started_ms: None,
        }
    }

    /// Accepts an opening that carried `token`. Returns the flow's state.
    pub fn accept(&mut self, flow: FlowKey, token: Token) -> &mut UpstreamFlow {
        self.next_seq = self.next_seq.wrapping_add(0x0100_0000);
        let seq = self.next_seq;
        let new = UpstreamFlow { seq, requests: 0, token, acked: false };
        let flow = self.flows.entry(flow).or_insert(new);
        flow.token = token;
        flow
    }

    /// Starts or queues a request. Returns its completion time.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request is rejected: none if the queue is full, otherwise
    /// `max_queue_time`.
    pub fn run_request(
        &mut self,
        now: Timestamp,
        run_time: Duration,
        max_queue_time: Option<Duration>,
    ) -> Result<Timestamp, Duration> {
        self.completions.retain(|completion| *completion > now);
        if self.completions.len() >= SLOTS + MAX_QUEUED {
            return Err(Duration::ZERO);
        }
        let slot = self.busy_until.iter_mut().min().ok_or(Duration::ZERO)?;
        if let Some(max_queue_time) = max_queue_time
            && slot.since(now) > max_queue_time
        {
            self.completions.push(now + max_queue_time);
            return Err(max_queue_time);
        }
        *slot = now.max(*slot) + run_time;
        self.completions.push(*slot);
        Ok(*slot)
    }
}
