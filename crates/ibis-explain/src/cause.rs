//! Derives the cause of a failed flow from the log lines about it.

use std::fmt;

use crate::line::Line;

/// Kinds of log lines about failures. Lines about successes are samples, so that some of them are
/// suppressed all the time, which does not explain a flow without log lines.
const FAILURE_KINDS: [&str; 4] =
    ["opening unanswered", "opening refused", "flow reset", "answer failed"];

/// Longest time that clients wait for an answer. Lines no further apart than this may be about the
/// same request.
const MAX_CLIENT_WAIT_US: u64 = 10_000_000;

/// Why a flow failed, or that it opened. Holds the upstream as `id@address/zone`, the zone's name
/// or the entry's name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cause {
    /// Refused: the table in force has no route for its address.
    NoRoute,
    /// Refused: no upstream of its service accepted new flows.
    NoneEligible,
    /// Refused: no upstream of its service accepted new flows, shortly after the store came back from
    /// an older copy, whose lost words this entry holds for a while.
    NoneEligibleAfterStep(String),
    /// Refused: all upstreams of its service were cold and at their limit.
    AllAtLimit,
    /// Reset: its upstream was removed as planned.
    UpstreamEnded(String),
    /// Reset: a configuration change removed its route.
    RouteDropped,
    /// Reset: its upstream's zone could not be reached, and the client could repeat the request.
    StrandedInZone(String),
    /// Reset: its upstream answered neither openings nor requests.
    StrandedAtSilentUpstream(String),
    /// Reset: the flow had stalled, and its upstream's record had been removed without notice.
    StrandedAtUnlistedUpstream(String),
    /// Unanswered: the entry got no answer from any upstream in the zone.
    ZoneUnresponsive(String),
    /// Unanswered: no upstream that was tried answered; holds the last one.
    UpstreamUnresponsive(String),
    /// Opened; its upstream stopped answering openings afterwards.
    UpstreamFailedLater(String),
    /// Opened; its upstream did not answer the request.
    NoAnswer(String),
    /// Opened; its upstream's answer was far shorter than usual.
    ShortAnswer(String),
    /// Opened; the logs show no failure of its upstream.
    Opened(String),
    /// Not logged; this entry started at the time without a table, as the store was unavailable.
    StoreUnavailable(String),
    /// Not logged; this entry started at the time.
    EntryStarted(String),
    /// Not logged; this entry's process was paused at the time.
    EntryPaused(String),
    /// Not logged; this entry's rate limit suppressed lines about failures at the time.
    LinesSuppressed(String),
    /// Not logged, and nothing at the time explains it.
    Unknown,
}

/// The log lines relevant to a flow, ordered by time, and the cause derived from them.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation<'a> {
    /// Lines about the flow, and those about its upstreams and their zones at the time.
    pub lines: Vec<&'a Line>,
    /// The cause that the lines show.
    pub cause: Cause,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoRoute => write!(f, "refused: no route for its address in the version in force"),
            Self::NoneEligible => write!(f, "refused: no upstream of its service took new flows"),
            Self::NoneEligibleAfterStep(entry) => write!(
                f,
                "refused: no upstream of its service took new flows; the store came back from an older \
                 copy shortly before, and entry {entry} holds what it knew"
            ),
            Self::AllAtLimit => write!(f, "refused: all upstreams were cold and at their limit"),
            Self::UpstreamEnded(id) => write!(f, "reset: upstream {id} ended as planned"),
            Self::RouteDropped => write!(f, "reset: a configuration dropped its route"),
            Self::StrandedInZone(zone) => {
                write!(f, "reset to be repeated elsewhere: zone {zone} could not be reached")
            }
            Self::StrandedAtSilentUpstream(id) => {
                write!(f, "reset to be repeated elsewhere: upstream {id} was silent")
            }
            Self::StrandedAtUnlistedUpstream(id) => {
                write!(f, "reset to be repeated elsewhere: the record of upstream {id} had expired")
            }
            Self::ZoneUnresponsive(zone) => write!(f, "not answered: zone {zone} was silent"),
            Self::UpstreamUnresponsive(id) => write!(f, "not answered: upstream {id} was silent"),
            Self::UpstreamFailedLater(id) => {
                write!(f, "opened at upstream {id}, which then stopped answering")
            }
            Self::NoAnswer(id) => {
                write!(f, "opened at upstream {id}, which did not answer the request")
            }
            Self::ShortAnswer(id) => {
                write!(f, "upstream {id} turned it away or broke off: far fewer bytes than usual")
            }
            Self::Opened(id) => {
                write!(f, "opened at upstream {id}; look at the upstream's own logs")
            }
            Self::StoreUnavailable(entry) => {
                write!(f, "no entry wrote about it; entry {entry} started while the store was away")
            }
            Self::EntryStarted(entry) => {
                write!(
                    f,
                    "no entry wrote about it; entry {entry} started then: its packets were lost"
                )
            }
            Self::EntryPaused(entry) => {
                write!(f, "no entry wrote about it; entry {entry} was paused then")
            }
            Self::LinesSuppressed(entry) => {
                write!(f, "no line about it; entry {entry} left lines out then, see its metrics")
            }
            Self::Unknown => write!(f, "no entry wrote about it"),
        }
    }
}

/// Finds the lines about a flow, given as `client` or `client>service`, and derives the cause.
///
/// `at` is when the request was sent, in Unix microseconds, if that is known. It only matters for
/// a flow without log lines.
pub fn explain<'a>(lines: &'a [Line], flow: &str, at: Option<u64>) -> Explanation<'a> {
    let is_of_flow = |line: &&Line| line.flow.as_deref().is_some_and(|key| matches_flow(key, flow));
    let mut relevant: Vec<&Line> = lines.iter().filter(is_of_flow).collect();
    relevant.sort_by_key(|line| line.at);
    let cause = if relevant.is_empty() {
        cause_without_lines(lines, at)
    } else {
        cause_from_lines(lines, &relevant)
    };
    let upstreams: Vec<&str> =
        relevant.iter().filter_map(|line| line.upstream.as_deref()).collect();
    let is_of_upstream = |line: &&Line| {
        let zone = line.zone.as_deref();
        let upstream = line.upstream.as_deref().filter(|_| line.flow.is_none());
        upstream.is_some_and(|id| upstreams.contains(&id))
            || (line.message == "zone avoided" && upstreams.iter().any(|id| zone_of(id) == zone))
    };
    let ends: Vec<&Line> = relevant.first().into_iter().chain(relevant.last()).copied().collect();
    let is_concurrent = |line: &&Line| ends.iter().any(|end| are_concurrent(end, line));
    relevant.extend(lines.iter().filter(is_of_upstream).filter(is_concurrent));
    relevant.sort_by_key(|line| line.at);
    Explanation { lines: relevant, cause }
}

/// Whether a logged flow key is the flow `query`, given as `client` or `client>service`.
fn matches_flow(key: &str, query: &str) -> bool {
    key == query || key.split_once('>').is_some_and(|(client, _)| client == query)
}

/// The cause of a flow that has log lines; `flow_lines` are those of `lines` about it.
fn cause_from_lines(lines: &[Line], flow_lines: &[&Line]) -> Cause {
    let last =
        |message: &str| flow_lines.iter().rev().find(|line| line.message == message).copied();
    if let Some(line) = last("opening refused") {
        return match line.reason.as_deref() {
            Some("none_eligible") if has_stepped(lines, line) => {
                Cause::NoneEligibleAfterStep(line.instance.clone())
            }
            Some("none_eligible") => Cause::NoneEligible,
            Some("all_at_limit") => Cause::AllAtLimit,
            _ => Cause::NoRoute,
        };
    }
    if let Some(line) = last("flow reset") {
        let Some(upstream) = line.upstream.clone() else {
            return Cause::RouteDropped;
        };
        return match line.reason.as_deref() {
            Some("zone_unreachable") => {
                Cause::StrandedInZone(zone_of(&upstream).unwrap_or_default().to_owned())
            }
            Some("upstream_silent") => Cause::StrandedAtSilentUpstream(upstream),
            Some("upstream_unlisted") => Cause::StrandedAtUnlistedUpstream(upstream),
            _ => Cause::UpstreamEnded(upstream),
        };
    }
    // The entry that sent the opening sees no answer if the flow has moved to another entry.
    let adopted = last("flow adopted");
    if let Some(line) = last("opening unanswered").filter(|_| adopted.is_none()) {
        let upstream = line.upstream.clone().unwrap_or_default();
        let zone_failed = |other: &Line| {
            other.message == "zone avoided"
                && other.instance == line.instance
                && other.zone.as_deref() == zone_of(&upstream)
                && are_concurrent(other, line)
        };
        return match zone_of(&upstream).filter(|_| lines.iter().any(zone_failed)) {
            Some(zone) => Cause::ZoneUnresponsive(zone.to_owned()),
            None => Cause::UpstreamUnresponsive(upstream),
        };
    }
    if let Some(line) = last("answer failed") {
        let upstream = line.upstream.clone().unwrap_or_default();
        return match line.reason.as_deref() {
            Some("short") => Cause::ShortAnswer(upstream),
            _ => Cause::NoAnswer(upstream),
        };
    }
    if let Some(line) = last("flow open").or(adopted) {
        let upstream = line.upstream.clone().unwrap_or_default();
        let failed = |other: &Line| {
            other.message == "upstream avoided"
                && other.upstream.as_deref() == Some(upstream.as_str())
                && other.at >= line.at
                && are_concurrent(other, line)
        };
        let failed = lines.iter().any(failed);
        return if failed { Cause::UpstreamFailedLater(upstream) } else { Cause::Opened(upstream) };
    }
    Cause::Unknown
}

/// The cause of a flow that has no log lines.
fn cause_without_lines(lines: &[Line], at: Option<u64>) -> Cause {
    let is_concurrent =
        |line: &&Line| at.is_none_or(|at| line.at.is_some_and(|line_at| is_near(line_at, at)));
    let last =
        |message: &str| lines.iter().filter(is_concurrent).rfind(|line| line.message == message);
    let hides_failures = |line: &&Line| {
        line.message == "lines left out"
            && line.kind.as_deref().is_some_and(|kind| FAILURE_KINDS.contains(&kind))
    };
    if let Some(line) = lines.iter().filter(is_concurrent).rfind(hides_failures) {
        return Cause::LinesSuppressed(line.instance.clone());
    }
    if let Some(paused) = lines.iter().rfind(|line| at.is_some_and(|at| line.covers(at))) {
        return Cause::EntryPaused(paused.instance.clone());
    }
    if let Some(started) = last("started") {
        let instance = started.instance.clone();
        let is_store_loss = |line: &&Line| {
            line.message == "store lost" && line.instance == instance && line.at >= started.at
        };
        let store_lost = lines.iter().filter(is_concurrent).any(|line| is_store_loss(&line));
        // Facts that others gave it before the request stand for the store.
        let is_given = |line: &Line| {
            line.message == "facts received"
                && line.instance == instance
                && line.at >= started.at
                && at.is_some_and(|at| line.at.is_some_and(|given_at| given_at <= at))
        };
        return if store_lost && !lines.iter().any(is_given) {
            Cause::StoreUnavailable(instance)
        } else {
            Cause::EntryStarted(instance)
        };
    }
    Cause::Unknown
}

/// Whether the store came back from an older copy shortly before.
fn has_stepped(lines: &[Line], refusal: &Line) -> bool {
    lines.iter().any(|line| {
        line.message == "store came back from an older copy"
            && line.instance == refusal.instance
            && line.at <= refusal.at
            && are_concurrent(line, refusal)
    })
}

fn are_concurrent(a: &Line, b: &Line) -> bool {
    a.at.zip(b.at).is_some_and(|(a, b)| is_near(a, b))
}

fn is_near(a_us: u64, b_us: u64) -> bool {
    a_us.abs_diff(b_us) <= MAX_CLIENT_WAIT_US
}

fn zone_of(upstream: &str) -> Option<&str> {
    upstream.rsplit_once('/').map(|(_, zone)| zone)
}
