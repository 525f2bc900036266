//! The engine's settings, actions, events and counters.

use std::net::SocketAddrV4;
use std::time::Duration;

use health::OutlierState;

use crate::packet::{FlowKey, RawPacket};
use crate::request::AnswerFailure;
use crate::stranded::ResetReason;
use crate::table::{Token, UpstreamId, ZoneId};

/// Minimum delay of a hedged request. Shorter delays are within the jitter of the timers.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(8);

/// Maximum delay of a hedged request, also used before the first sample. It is well below the
/// clients' first retransmission timeout.
const MAX_HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Upstreams per opening that the entry tries without a retransmit of the client.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// Capacity of the table of openings; a record has about 200 bytes.
const MAX_OPENINGS: usize = 20_000;

/// A longer time between two timer runs of the traffic thread counts as a stall.
const STALL_THRESHOLD: Duration = Duration::from_millis(15);

/// Lifetime of evidence of an outage if the deployment doesn't say how soon after its end a flow may
/// not be reset any more.
const OUTAGE_EVIDENCE_LIFETIME: Duration = Duration::from_secs(2);

stdx::value! {
    /// Limits and delays of the engine.
    pub struct Settings {
        /// Minimum delay of a hedged request.
        pub min_hedge_delay: Duration,
        /// Maximum delay of a hedged request, also used before the first sample.
        pub max_hedge_delay: Duration,
        /// Maximum number of upstreams that the entry tries for one opening without a retransmit of
        /// the client.
        pub max_attempts: u32,
        /// Maximum number of tracked openings.
        pub max_openings: usize,
        /// A longer time between two timer runs counts as a stall of the process.
        pub stall_threshold: Duration,
        /// Time after an upstream's recovery during which it may be cold although its record does
        /// not say so yet.
        pub possibly_cold_period: Duration,
        /// Time after its last observation for which evidence of an outage justifies resets of open
        /// flows. An outage that has ended can't be told from one that nothing tests any more.
        pub outage_evidence_lifetime: Duration,
        /// Whether new flows are placed by expected completion, rather than by latency ratios that
        /// are far above the usual only.
        pub placement: bool,
        /// Differs between entries, so that entries that start together do not all choose the same
        /// upstream first.
        pub seed: u64,
    }

    /// What to do with a packet.
    pub enum Action {
        /// Forward it to an upstream, with the upstream's token.
        Forward(Hop),
        /// Answer the client with a reset.
        Reset(Reset),
        /// Queue it until the table is loaded.
        Hold,
        /// Queue it and ask the other entries for the flow's upstream. If none knows it, the packet
        /// is dropped.
        LookUp(FlowKey),
        /// Queue it until [`Engine::next_settled`](crate::Engine::next_settled) returns its flow, which
        /// another entry may know.
        Await(FlowKey),
        /// Drop it without an answer.
        Drop(Drop),
    }

    /// The upstream that a packet is forwarded to.
    pub struct Hop {
        /// The upstream.
        pub upstream: UpstreamId,
        /// The upstream's availability zone.
        pub zone: ZoneId,
        /// The upstream's token.
        pub token: Token,
        /// The address at which the upstream receives packets.
        pub addr: SocketAddrV4,
    }

    /// A hedged request: an opening packet that is also sent to another upstream.
    pub struct Hedge {
        /// The flow.
        pub flow: FlowKey,
        /// The upstream.
        pub hop: Hop,
        /// The opening packet.
        pub raw: RawPacket,
    }

    /// A reset that is sent to a client.
    pub struct Reset {
        /// The flow.
        pub flow: FlowKey,
        /// The reset's sequence number, inside the client's window.
        pub seq: u32,
    }

    /// Why a packet was dropped.
    pub enum Drop {
        /// No route has or had its address.
        NoRoute,
        /// Its token names no upstream of the services that the route has named.
        UnknownToken,
        /// A retransmit of the opening of a flow that is open already or closed.
        LateRetransmit,
        /// The other entries are asked about too many flows to ask about its own.
        TooManyInquiries,
    }

    /// Why an opening was refused. It was not sent to any upstream.
    pub enum Refusal {
        /// No route has its address.
        NoRoute,
        /// The service has no upstream that accepts new flows.
        NoneEligible,
        /// All eligible upstreams are cold and at their limit of new flows.
        AllAtLimit,
    }

    /// A decision, reported for logs and metrics.
    pub enum Event {
        /// An opening was sent to an upstream.
        OpeningSent {
            /// The flow.
            flow: FlowKey,
            /// The upstream.
            upstream: UpstreamId,
            /// Number of attempts before this one.
            attempt: u32,
            /// Time since the first packet of the opening.
            waited: Duration,
        },
        /// The client acknowledged an upstream's answer to the opening.
        Accepted {
            /// The flow.
            flow: FlowKey,
            /// The upstream.
            upstream: UpstreamId,
            /// Time since the opening was sent to this upstream.
            took: Duration,
        },
        /// A flow that another entry opened has moved to this entry with its first packets.
        Adopted {
            /// The flow.
            flow: FlowKey,
            /// The upstream.
            upstream: UpstreamId,
        },
        /// No upstream's answer to an opening was acknowledged, and the client has given up.
        Unanswered {
            /// The flow.
            flow: FlowKey,
            /// The upstream of the last attempt.
            upstream: UpstreamId,
            /// Number of attempts.
            attempts: u32,
        },
        /// An opening was refused.
        Refused {
            /// The flow.
            flow: FlowKey,
            /// The reason.
            reason: Refusal,
        },
        /// An open flow was reset.
        FlowReset {
            /// The flow.
            flow: FlowKey,
            /// The flow's upstream; `None` if the route was removed.
            upstream: Option<UpstreamId>,
            /// The reason.
            reason: ResetReason,
        },
        /// An upstream is avoided because consecutive openings were not answered in time.
        UpstreamAvoided {
            /// The upstream.
            upstream: UpstreamId,
        },
        /// A zone is avoided because several of its upstreams did not answer in time.
        ZoneAvoided {
            /// The zone.
            zone: ZoneId,
        },
        /// The client's packets show that an answer on an open flow failed.
        AnswerFailed {
            /// The flow.
            flow: FlowKey,
            /// The upstream.
            upstream: UpstreamId,
            /// The kind of failure.
            failure: AnswerFailure,
            /// Time since the request arrived.
            waited: Duration,
        },
        /// The outlier state of an upstream changed, because of the outcomes of answers.
        OutlierStateChanged {
            /// The upstream.
            upstream: UpstreamId,
            /// The new state.
            state: OutlierState,
        },
        /// An avoided upstream has answered an opening.
        UpstreamRecovered {
            /// The upstream.
            upstream: UpstreamId,
        },
    }
}

/// Counters since the engine was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Openings, without retransmits.
    pub openings: u64,
    /// Hedged requests that were sent.
    pub hedges: u64,
    /// Retransmits of openings that clients sent before an answer was acknowledged.
    pub retransmits: u64,
    /// Openings whose answer a client acknowledged.
    pub accepted: u64,
    /// Packets of open flows that were forwarded.
    pub steered: u64,
    /// Packets that were sent to their flow's upstream although their token named another one.
    pub corrected: u64,
    /// Flows that another entry opened and that moved to this entry with their first packets.
    pub adopted: u64,
    /// Flows whose upstream was pinned.
    pub pinned: u64,
    /// Packets for whose flow the other entries were asked.
    pub lookups: u64,
    /// Flows that began at another entry and whose upstream was asked for before the token of their
    /// first packet was followed.
    pub inquiries: u64,
    /// Those of them that another entry had pinned.
    pub inquiries_pinned: u64,
    /// Those of them that not all of the other entries answered in time.
    pub inquiries_timed_out: u64,
    /// Openings that were refused.
    pub refusals: u64,
    /// Open flows that were reset.
    pub resets: u64,
    /// Those of them that were reset before their client sent anything.
    pub resets_ahead: u64,
    /// Copies of requests that clients sent.
    pub request_copies: u64,
    /// Those of them whose request the upstream would have acknowledged, even from a queue.
    pub unacknowledged_requests: u64,
    /// Slow answers to requests that the upstream had acknowledged before.
    pub acknowledged_at_once: u64,
    /// Answers to requests of which the client had sent one copy.
    pub acknowledged_late: u64,
    /// Searches of all flows for those of upstreams that have ended or fallen silent.
    pub stranded_searches: u64,
    /// Answers that failed.
    pub answers_failed: u64,
}

impl Settings {
    /// The default limits and delays. `possibly_cold_period` and `seed` depend on the deployment.
    pub const fn new(possibly_cold_period: Duration, seed: u64) -> Self {
        Self {
            min_hedge_delay: MIN_HEDGE_DELAY,
            max_hedge_delay: MAX_HEDGE_DELAY,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            max_openings: MAX_OPENINGS,
            stall_threshold: STALL_THRESHOLD,
            possibly_cold_period,
            outage_evidence_lifetime: OUTAGE_EVIDENCE_LIFETIME,
            placement: true,
            seed,
        }
    }
}
