//! From lines to a cause.

use std::fmt;

use crate::line::Line;

/// Kinds of lines about failures. Those about successes are samples, and left out all the time.
const FAILURES: [&str; 4] =
    ["opening unanswered", "opening refused", "flow reset", "answer failed"];

/// What became of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cause {
    /// Refused: its address is no service's in the version in force.
    NoRoute,
    /// Refused: no upstream of its service took new flows.
    NoneEligible,
    /// Refused: all upstreams of its service were cold and at their limit.
    AllAtLimit,
    /// Reset: its upstream ended as planned.
    UpstreamEnded(String),
    /// Reset: a configuration dropped its route.
    RouteDropped,
    /// Not answered: nothing in the upstream's zone answered that entry.
    ZoneSilent(String),
    /// Not answered by the upstreams that were tried.
    UpstreamsSilent(String),
    /// Open; its upstream stopped answering openings afterwards.
    UpstreamFailedLater(String),
    /// Open; its upstream did not answer the request.
    AnswerSilent(String),
    /// Open; its upstream answered with far fewer bytes than usual.
    AnswerShort(String),
    /// Open, and nothing is known against its upstream.
    Opened(String),
    /// No entry wrote about it, and this one had no table: the store was away when it started.
    StoreAway(String),
    /// No entry wrote about it, and this one started at the time.
    EntryStarted(String),
    /// This entry left lines out at the time.
    LinesLeftOut(String),
    /// No entry wrote about it.
    Unknown,
}

/// The lines that tell the course, in one order, and the cause that follows.
#[derive(Debug, Clone, PartialEq)]
pub struct Course<'a> {
    /// The lines.
    pub lines: Vec<&'a Line>,
    /// The cause.
    pub cause: Cause,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoRoute => write!(f, "refused: no route for its address in the version in force"),
            Self::NoneEligible => write!(f, "refused: no upstream of its service took new flows"),
            Self::AllAtLimit => write!(f, "refused: all upstreams were cold and at their limit"),
            Self::UpstreamEnded(id) => write!(f, "reset: upstream {id} ended as planned"),
            Self::RouteDropped => write!(f, "reset: a configuration dropped its route"),
            Self::ZoneSilent(zone) => write!(f, "not answered: zone {zone} was silent"),
            Self::UpstreamsSilent(id) => write!(f, "not answered: upstream {id} was silent"),
            Self::UpstreamFailedLater(id) => {
                write!(f, "opened at upstream {id}, which then stopped answering")
            }
            Self::AnswerSilent(id) => {
                write!(f, "opened at upstream {id}, which did not answer the request")
            }
            Self::AnswerShort(id) => {
                write!(f, "upstream {id} turned it away or broke off: far fewer bytes than usual")
            }
            Self::Opened(id) => {
                write!(f, "opened at upstream {id}; look at the upstream's own logs")
            }
            Self::StoreAway(entry) => {
                write!(f, "no entry wrote about it; entry {entry} started while the store was away")
            }
            Self::EntryStarted(entry) => {
                write!(
                    f,
                    "no entry wrote about it; entry {entry} started then: its packets were lost"
                )
            }
            Self::LinesLeftOut(entry) => {
                write!(f, "no line about it; entry {entry} left lines out then, see its metrics")
            }
            Self::Unknown => write!(f, "no entry wrote about it"),
        }
    }
}

/// Finds the lines about a flow, named by its client or by both ends, and the cause.
///
/// `at` is when the request was sent, in Unix microseconds, if that is known. It matters for a flow that
/// no line is about.
pub fn explain<'a>(lines: &'a [Line], flow: &str, at: Option<u64>) -> Course<'a> {
    let is_asked = |line: &&Line| line.flow.as_deref().is_some_and(|name| names(name, flow));
    let mut course: Vec<&Line> = lines.iter().filter(is_asked).collect();
    course.sort_by_key(|line| line.at);
    let cause = if course.is_empty() { untold(lines, at) } else { cause(lines, &course) };
    let upstreams: Vec<&str> = course.iter().filter_map(|line| line.upstream.as_deref()).collect();
    let about = |line: &&Line| {
        let zone = line.zone.as_deref();
        let upstream = line.upstream.as_deref().filter(|_| line.flow.is_none());
        upstream.is_some_and(|id| upstreams.contains(&id))
            || (line.message == "zone avoided" && upstreams.iter().any(|id| zone_of(id) == zone))
    };
    let then: Vec<&Line> = course.first().into_iter().chain(course.last()).copied().collect();
    let is_then = |line: &&Line| then.iter().any(|one| near(one, line));
    course.extend(lines.iter().filter(about).filter(is_then));
    course.sort_by_key(|line| line.at);
    Course { lines: course, cause }
}

fn names(name: &str, asked: &str) -> bool {
    name == asked || name.split_once('>').is_some_and(|(client, _)| client == asked)
}

fn cause(lines: &[Line], course: &[&Line]) -> Cause {
    let last = |message: &str| course.iter().rev().find(|line| line.message == message).copied();
    if let Some(line) = last("opening refused") {
        return match line.reason.as_deref() {
            Some("none_eligible") => Cause::NoneEligible,
            Some("all_at_limit") => Cause::AllAtLimit,
            _ => Cause::NoRoute,
        };
    }
    if let Some(line) = last("flow reset") {
        return line.upstream.clone().map_or(Cause::RouteDropped, Cause::UpstreamEnded);
    }
    if let Some(line) = last("opening unanswered") {
        let upstream = line.upstream.clone().unwrap_or_default();
        let silent = |other: &Line| {
            other.message == "zone avoided"
                && other.instance == line.instance
                && other.zone.as_deref() == zone_of(&upstream)
                && near(other, line)
        };
        return match zone_of(&upstream).filter(|_| lines.iter().any(silent)) {
            Some(zone) => Cause::ZoneSilent(zone.to_owned()),
            None => Cause::UpstreamsSilent(upstream),
        };
    }
    if let Some(line) = last("answer failed") {
        let upstream = line.upstream.clone().unwrap_or_default();
        return match line.reason.as_deref() {
            Some("short") => Cause::AnswerShort(upstream),
            _ => Cause::AnswerSilent(upstream),
        };
    }
    if let Some(line) = last("flow open") {
        let upstream = line.upstream.clone().unwrap_or_default();
        let failed = |other: &Line| {
            other.message == "upstream avoided"
                && other.upstream.as_deref() == Some(upstream.as_str())
                && other.at >= line.at
                && near(other, line)
        };
        let failed = lines.iter().any(failed);
        return if failed { Cause::UpstreamFailedLater(upstream) } else { Cause::Opened(upstream) };
    }
    Cause::Unknown
}

/// Why no line is about a flow.
fn untold(lines: &[Line], at: Option<u64>) -> Cause {
    let then = |line: &&Line| at.is_none_or(|at| line.at.is_some_and(|line| is_near(line, at)));
    let last = |message: &str| lines.iter().filter(then).rfind(|line| line.message == message);
    let hides_failures = |line: &&Line| {
        line.message == "lines left out"
            && line.kind.as_deref().is_some_and(|kind| FAILURES.contains(&kind))
    };
    if let Some(line) = lines.iter().filter(then).rfind(hides_failures) {
        return Cause::LinesLeftOut(line.instance.clone());
    }
    if let Some(started) = last("started") {
        let instance = started.instance.clone();
        let loses_store = |line: &&Line| {
            line.message == "store lost" && line.instance == instance && line.at >= started.at
        };
        let is_away = lines.iter().filter(then).any(|line| loses_store(&line));
        return if is_away { Cause::StoreAway(instance) } else { Cause::EntryStarted(instance) };
    }
    Cause::Unknown
}

/// Whether two lines lie within ten seconds, the longest that clients wait for an answer.
fn near(one: &Line, other: &Line) -> bool {
    one.at.zip(other.at).is_some_and(|(one, other)| is_near(one, other))
}

fn is_near(one_us: u64, other_us: u64) -> bool {
    const NEAR_US: u64 = 10_000_000;
    one_us.abs_diff(other_us) <= NEAR_US
}

fn zone_of(upstream: &str) -> Option<&str> {
    upstream.rsplit_once('/').map(|(_, zone)| zone)
}
