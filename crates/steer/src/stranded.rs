//! Decides whether an open flow is stranded: its client waits for an upstream that has ended or
//! can't be reached.
//!
//! Only the client's packets pass by, so a missing answer alone proves nothing: a slow upstream, a
//! long queue and a lost packet look the same. A flow is reset on evidence about its upstream or
//! zone from openings and from other flows, as long as that is recent, and unless the upstream has ended only if the client
//! may repeat the request.

use std::time::Duration;

use stdx::time::Timestamp;

use crate::packet::Packet;

/// Time for which a zone has to be unreachable. Several of its entries are pinged meanwhile, and one
/// pong proves it reachable.
const MIN_ZONE_OUTAGE: Duration = Duration::from_millis(400);

/// Time without progress after which a flow counts as stalled. Clients retransmit after 200 ms; a
/// copy that arrives sooner was delayed here or in the network.
const MIN_STALL: Duration = Duration::from_millis(150);

stdx::value! {
    /// Condition of a flow's upstream as known to this entry.
    pub enum UpstreamCondition {
        /// There is no evidence against it.
        Reachable,
        /// Nothing that was sent to its zone since then has been answered, while other zones answer,
        /// openings there were tried of late, and a request to this upstream was not answered.
        ZoneUnreachable(Timestamp),
        /// Neither openings nor requests are answered, at this entry or at others.
        Silent,
        /// Its record was removed without notice. It may have lost the store only.
        Unlisted,
        /// It has ended for good.
        Ended,
    }

    /// What a packet shows about the flow's progress.
    pub enum Progress {
        /// This entry has no record of the flow.
        Unknown,
        /// The packet carries new data or a new acknowledgement.
        Advancing,
        /// The packet carries nothing new; time since the last one that did.
        Stalled(Duration),
        /// As above; it is a copy of what the upstream would have acknowledged, even from a queue.
        Unacknowledged(Duration),
    }

    /// Why an open flow is reset.
    pub enum ResetReason {
        /// A configuration change removed its route.
        RouteRemoved,
        /// Its upstream has ended for good.
        UpstreamEnded,
        /// Its upstream's zone can't be reached.
        ZoneUnreachable,
        /// Its upstream answers neither openings nor requests.
        UpstreamSilent,
        /// The flow has stalled, and its upstream's record was removed without notice.
        UpstreamUnlisted,
    }
}

impl UpstreamCondition {
    /// Whether flows at the upstream may be reset before their clients send anything.
    pub fn strands_flows(self, now: Timestamp) -> bool {
        match self {
            Self::ZoneUnreachable(since) => now.since(since) >= MIN_ZONE_OUTAGE,
            Self::Silent | Self::Ended => true,
            Self::Reachable | Self::Unlisted => false,
        }
    }
}

/// Returns why a flow is reset before its client sends anything.
///
/// At an upstream that has surely ended, that saves the next request, unless one that can't be
/// repeated and may have run is under way. Elsewhere only requests under way are helped.
pub fn assess_idle(
    now: Timestamp,
    repeatable: bool,
    condition: UpstreamCondition,
    waits_for_answer: bool,
) -> Option<ResetReason> {
    if !condition.strands_flows(now) {
        return None;
    }
    match condition {
        UpstreamCondition::Ended => {
            (repeatable || !waits_for_answer).then_some(ResetReason::UpstreamEnded)
        }
        UpstreamCondition::Silent => {
            (repeatable && waits_for_answer).then_some(ResetReason::UpstreamSilent)
        }
        UpstreamCondition::ZoneUnreachable(_) => {
            (repeatable && waits_for_answer).then_some(ResetReason::ZoneUnreachable)
        }
        UpstreamCondition::Reachable | UpstreamCondition::Unlisted => None,
    }
}

/// Returns why the flow of `packet` is stranded; `None` if the packet is to be forwarded.
///
/// `repeatable` says that clients may repeat the flow's requests.
pub fn assess(
    now: Timestamp,
    packet: &Packet,
    repeatable: bool,
    condition: UpstreamCondition,
    progress: Progress,
) -> Option<ResetReason> {
    if packet.rst {
        return None;
    }
    if condition == UpstreamCondition::Ended {
        return Some(ResetReason::UpstreamEnded);
    }
    if !repeatable || packet.fin {
        return None;
    }
    let (stalled_for, unacknowledged) = match progress {
        Progress::Stalled(time) => (time, false),
        Progress::Unacknowledged(time) => (time, true),
        Progress::Unknown | Progress::Advancing => (Duration::ZERO, false),
    };
    let stalled = stalled_for >= MIN_STALL;
    let has_data = packet.data_len > 0;
    match condition {
        UpstreamCondition::ZoneUnreachable(_) if condition.strands_flows(now) => {
            (has_data || stalled).then_some(ResetReason::ZoneUnreachable)
        }
        UpstreamCondition::Silent if has_data => Some(ResetReason::UpstreamSilent),
        UpstreamCondition::Unlisted if has_data && stalled && unacknowledged => {
            Some(ResetReason::UpstreamUnlisted)
        }
        _ => None,
    }
}
