//! What can be decided, and what is told about it.

use std::net::SocketAddrV4;
use std::time::Duration;

use health::OutlierState;

use crate::packet::{FlowKey, RawPacket};
use crate::request::AnswerFailure;
use crate::table::{Token, UpstreamId, ZoneId};

/// Wait before a second upstream is tried, at the least: under it lies the jitter of a timer.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(8);

/// The same while nothing was measured, and at the most: well before a client's first copy.
const MAX_HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Upstreams that one opening is tried at by itself.
const DEFAULT_ATTEMPTS: u32 = 3;

/// Openings that are remembered, about 200 bytes each.
const MAX_OPENINGS: usize = 20_000;

/// A gap between two turns of the traffic thread that shows that it was held up.
const STALL_THRESHOLD: Duration = Duration::from_millis(15);

stdx::value! {
    /// Bounds of the decisions.
    pub struct Settings {
        /// Wait before a second upstream is tried, at the least.
        pub min_hedge_delay: Duration,
        /// The same while nothing was measured, and at the most.
        pub max_hedge_delay: Duration,
        /// Upstreams that this entry tries by itself for one opening.
        pub max_attempts: u32,
        /// Openings that are remembered.
        pub max_openings: usize,
        /// A gap between two looks at the clock that shows that this process was held up.
        pub stall_threshold: Duration,
        /// Time after its return during which an upstream may be cold without its record saying
        /// so.
        pub possibly_cold_period: Duration,
        /// Another number at each entry, so that entries that start together do not all begin with
        /// the same upstream.
        pub seed: u64,
    }

    /// What to do with a packet.
    pub enum Action {
        /// Send it to an upstream, with this token.
        Forward(Hop),
        /// Tell the client that its flow is over.
        Reset(Reset),
        /// Keep it until the table is there.
        Hold,
        /// Say nothing.
        Drop(Drop),
    }

    /// Where a packet goes.
    pub struct Hop {
        /// The upstream.
        pub upstream: UpstreamId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Its token.
        pub token: Token,
        /// Where it receives packets.
        pub addr: SocketAddrV4,
    }

    /// An opening packet that is sent again, to a further upstream.
    pub struct Hedge {
        /// The flow.
        pub flow: FlowKey,
        /// Where the packet goes.
        pub hop: Hop,
        /// The packet.
        pub raw: RawPacket,
    }

    /// A reset for a client.
    pub struct Reset {
        /// The flow.
        pub flow: FlowKey,
        /// A sequence number inside the client's window.
        pub seq: u32,
    }

    /// Why a packet was dropped.
    pub enum Drop {
        /// Its address is no service's and never was.
        NoRoute,
        /// Its token names no upstream that its address may go to.
        UnknownToken,
        /// A copy of an opening whose flow is open already.
        LateRetransmit,
        /// A packet of a flow that this entry has refused.
        AfterRefusal,
    }

    /// Why an opening was refused. Nothing was sent to an upstream for it.
    pub enum Refusal {
        /// No such service.
        NoRoute,
        /// No upstream takes new flows.
        NoneEligible,
        /// All upstreams that could take it are cold and at their limit.
        AllAtLimit,
    }

    /// A decision, for the log.
    pub enum Event {
        /// An opening went to an upstream.
        OpeningSent {
            /// The flow.
            flow: FlowKey,
            /// The upstream.
            upstream: UpstreamId,
            /// Upstreams tried before.
            attempt: u32,
            /// Time since the first packet of the opening.
            waited: Duration,
        },
        /// The client took an upstream's answer.
        Accepted {
            /// The flow.
            flow: FlowKey,
            /// The upstream.
            upstream: UpstreamId,
            /// Time since it was tried.
            took: Duration,
        },
        /// No upstream's answer to an opening was acknowledged, and the client has given up.
        Unanswered {
            /// The flow.
            flow: FlowKey,
            /// The upstream that was tried last.
            upstream: UpstreamId,
            /// Upstreams tried.
            attempts: u32,
        },
        /// An opening was refused.
        Refused {
            /// The flow.
            flow: FlowKey,
            /// Why.
            reason: Refusal,
        },
        /// An open flow was reset, because it can't go on.
        FlowReset {
            /// The flow.
            flow: FlowKey,
            /// Its upstream, if it was the upstream that ended and not the route.
            upstream: Option<UpstreamId>,
        },
        /// An upstream is avoided, because it does not answer.
        UpstreamAvoided {
            /// The upstream.
            upstream: UpstreamId,
        },
        /// A zone is avoided, because nothing in it answers.
        ZoneAvoided {
            /// The zone.
            zone: ZoneId,
        },
        /// An answer on an open flow failed, as far as the client's packets show.
        AnswerFailed {
            /// The flow.
            flow: FlowKey,
            /// The upstream.
            upstream: UpstreamId,
            /// How.
            failure: AnswerFailure,
            /// Time since the request.
            waited: Duration,
        },
        /// An upstream's answers fail more than those of the others, or no longer do.
        OutlierStateChanged {
            /// The upstream.
            upstream: UpstreamId,
            /// How far it is trusted now.
            state: OutlierState,
        },
        /// An avoided upstream answers again.
        UpstreamRecovered {
            /// The upstream.
            upstream: UpstreamId,
        },
    }
}

/// What was counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Openings seen, copies not counted.
    pub openings: u64,
    /// Second and further upstreams tried by this entry.
    pub hedges: u64,
    /// Copies of openings that clients sent.
    pub retransmits: u64,
    /// Openings that a client acknowledged.
    pub accepted: u64,
    /// Packets forwarded by their token.
    pub steered: u64,
    /// Packets whose token was not their flow's upstream and was put right.
    pub corrected: u64,
    /// Refusals.
    pub refusals: u64,
    /// Resets of open flows.
    pub resets: u64,
    /// Answers that failed.
    pub answers_failed: u64,
}

impl Settings {
    /// The usual bounds. `possibly_cold_period` and `seed` depend on the place.
    pub const fn new(possibly_cold_period: Duration, seed: u64) -> Self {
        Self {
            min_hedge_delay: MIN_HEDGE_DELAY,
            max_hedge_delay: MAX_HEDGE_DELAY,
            max_attempts: DEFAULT_ATTEMPTS,
            max_openings: MAX_OPENINGS,
            stall_threshold: STALL_THRESHOLD,
            possibly_cold_period,
            seed,
        }
    }
}
