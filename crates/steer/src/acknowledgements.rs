//! Whether the upstreams of a service acknowledge requests before they work on them.
//!
//! A receiver owes an acknowledgement for every second packet only. It may acknowledge a request of
//! one packet with its answer, so that the client of a request that waits in a queue sends a copy.
//! Copies are then no evidence against the upstream. The client of an upstream that acknowledges at
//! once sends none, however long the answer takes.

use std::hash::Hash;
use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;

/// Time after which clients send a copy of what was not acknowledged, with a margin for the network.
const COPY_DUE: Duration = Duration::from_millis(300);

/// As above if the acknowledgement of the answer may itself be due to a copy, which the upstream sends
/// after as long.
const SINGLE_PACKET_COPY_DUE: Duration = Duration::from_millis(500);

/// Largest payload of a packet. An acknowledgement of more bytes answers a second packet at once.
const MAX_PACKET_BYTES: u32 = 1_460;

/// Answers that have to be observed at a service.
const MIN_SAMPLES: u32 = 8;

/// Requests acknowledged at once for each late one. Where every second packet of a flow is acknowledged,
/// whatever was sent in between, there are as many; late ones are also due to lost packets.
const MIN_RATIO: u32 = 4;

/// Number of samples from which on both kinds are halved, so that recent ones count more.
const MAX_SAMPLES: u32 = 64;

/// Interval at which the other entries are told, and that for the first samples of a service.
const TELL_INTERVAL: Duration = Duration::from_secs(5);
const FIRST_TELL_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of services in one message.
const MAX_TOLD: usize = 32;

stdx::value! {
    /// How a request was acknowledged that waited for its answer for longer than a client waits for
    /// an acknowledgement.
    pub enum Acknowledgement {
        /// Before the answer: the client sent no copy.
        AtOnce,
        /// With the answer or after a copy.
        Late,
    }

    /// The first acknowledged bytes of the answer to a request of one packet.
    pub struct Answer {
        /// Time since the request.
        pub waited: Duration,
        /// Copies of the request. The second copy was not acknowledged either, so it was lost.
        pub copies: u32,
        /// Number of these bytes.
        pub first_bytes: u32,
        /// Whether the client may have sent the packet that acknowledges them at any time after the answer.
        pub at_any_time: bool,
    }

    /// Numbers of observed acknowledgements of one service's upstreams.
    #[derive(Default)]
    pub struct AcknowledgementTally {
        /// Requests that were acknowledged at once.
        pub at_once: u32,
        /// Requests that were acknowledged late.
        pub late: u32,
    }
}

/// What all entries have observed of all services. `K` identifies a service.
#[derive(Debug, Clone)]
pub struct Acknowledgements<K> {
    services: IndexMap<K, Observed>,
    told_at: Timestamp,
}

#[derive(Debug, Clone, Copy, Default)]
struct Observed {
    recent: AcknowledgementTally,
    /// What the other entries have not been told yet.
    untold: AcknowledgementTally,
    /// Number of samples that they have been told.
    told: u32,
}

impl Answer {
    /// What the answer shows, if anything.
    pub fn acknowledgement(&self) -> Option<Acknowledgement> {
        let is_one_packet = self.first_bytes <= MAX_PACKET_BYTES;
        let copy_due = if is_one_packet { SINGLE_PACKET_COPY_DUE } else { COPY_DUE };
        match self.copies {
            0 => (!self.at_any_time && self.waited >= copy_due).then_some(Acknowledgement::AtOnce),
            1 => Some(Acknowledgement::Late),
            _ => None,
        }
    }
}

impl AcknowledgementTally {
    fn add(&mut self, other: Self) {
        self.at_once += other.at_once.min(MAX_SAMPLES);
        self.late += other.late.min(MAX_SAMPLES);
        while self.at_once + self.late > MAX_SAMPLES {
            self.at_once /= 2;
            self.late /= 2;
        }
    }

    fn is_at_once(self) -> bool {
        self.at_once >= MIN_SAMPLES && self.at_once >= self.late * MIN_RATIO
    }
}

impl<K: Copy + Eq + Hash> Acknowledgements<K> {
    /// No observations.
    pub fn new(now: Timestamp) -> Self {
        Self { services: IndexMap::new(), told_at: now }
    }

    /// Forgets services that are not configured any more.
    pub fn retain(&mut self, is_configured: impl Fn(K) -> bool) {
        self.services.retain(|service, _| is_configured(*service));
    }

    /// Adds an acknowledgement that this entry has observed.
    pub fn observe(&mut self, service: K, acknowledgement: Acknowledgement) {
        let tally = match acknowledgement {
            Acknowledgement::AtOnce => AcknowledgementTally { at_once: 1, late: 0 },
            Acknowledgement::Late => AcknowledgementTally { at_once: 0, late: 1 },
        };
        let observed = self.services.entry(service).or_default();
        observed.recent.add(tally);
        observed.untold.add(tally);
    }

    /// Adds what another entry has observed at a configured service.
    pub fn merge(&mut self, service: K, tally: AcknowledgementTally) {
        self.services.entry(service).or_default().recent.add(tally);
    }

    /// What the other entries are to be told now.
    pub fn take_untold(&mut self, now: Timestamp) -> Vec<(K, AcknowledgementTally)> {
        let is_untold = |observed: &Observed| observed.untold != AcknowledgementTally::default();
        let mut untold = self.services.values().filter(|observed| is_untold(observed));
        let has_first = untold.any(|observed| observed.told < MIN_SAMPLES);
        let interval = if has_first { FIRST_TELL_INTERVAL } else { TELL_INTERVAL };
        if now.since(self.told_at) < interval {
            return Vec::new();
        }
        self.told_at = now;
        let untold = self.services.iter_mut().filter(|(_, observed)| is_untold(observed));
        let tell = |(service, observed): (&K, &mut Observed)| {
            let tally = std::mem::take(&mut observed.untold);
            observed.told = observed.told.saturating_add(tally.at_once + tally.late);
            (*service, tally)
        };
        untold.take(MAX_TOLD).map(tell).collect()
    }

    /// Whether the upstreams of a service acknowledge requests before they work on them. A request of
    /// which the client sends a copy was lost then, or its upstream has ended.
    pub fn are_at_once(&self, service: K) -> bool {
        self.services.get(&service).is_some_and(|observed| observed.recent.is_at_once())
    }
}
