//! Requests that fail in each known way on the emulated platform: the lines that the entries write
//! are enough to name the cause.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fakes::token_steering::{Config, Failure, Fault, Simulation};
use ibis_explain::{Cause, Line, explain, read};
use indexmap::IndexMap;
use tracing::Dispatch;

#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl io::Write for Log {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn config(seed: u64) -> Config {
    Config { seed, entries: 4, upstreams: 9, per_s: 25, loss_milli: 0, outcome_updates: true }
}

/// Plays faults at their times in milliseconds. Returns the cause of each failed try of a kind.
fn causes(cfg: Config, faults: &[(u64, Fault)], kind: Failure) -> Vec<Cause> {
    let logs: Mutex<IndexMap<String, Log>> = Mutex::default();
    let mut world = Simulation::with_logs(cfg, |name| {
        let log = Log::default();
        logs.lock().unwrap().insert(name.to_owned(), log.clone());
        let subscriber = tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_target(false)
            .with_writer(move || log.clone())
            .finish();
        Dispatch::new(subscriber)
    });
    world.run_for(Duration::from_secs(3));
    let mut passed = 0;
    for (at, fault) in faults {
        world.run_for(Duration::from_millis(at - passed));
        passed = *at;
        world.inject(*fault);
    }
    world.run_for(Duration::from_secs(6));
    world.finish();
    // Entries forget what clients have given up.
    world.run_for(Duration::from_secs(4));
    let mut lines: Vec<Line> = Vec::new();
    for (name, log) in logs.lock().unwrap().iter() {
        lines.extend(read(name, std::str::from_utf8(&log.0.lock().unwrap()).unwrap()));
    }
    lines.sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
    let failures = world.stats.failures.iter().filter(|(_, _, how)| *how == kind);
    failures
        .map(|(sent, flow, _)| {
            explain(&lines, &flow.client.to_string(), Some(sent.as_micros())).cause
        })
        .collect()
}

/// All failed tries of a kind have a cause that `is_it` accepts, and there are some.
fn check(cfg: Config, faults: &[(u64, Fault)], kind: Failure, is_it: impl Fn(&Cause) -> bool) {
    let causes = causes(cfg, faults, kind);
    let others: Vec<&Cause> = causes.iter().filter(|cause| !is_it(cause)).collect();
    assert!(!causes.is_empty(), "nothing failed so");
    assert!(
        others.is_empty(),
        "{} of {}: {:?}",
        others.len(),
        causes.len(),
        &others[..others.len().min(5)]
    );
}

#[test]
fn refused_no_route() {
    let dropped = [(0, Fault::RouteRemoved(Duration::from_secs(3)))];
    check(config(1), &dropped, Failure::Refused, |cause| *cause == Cause::NoRoute);
}

#[test]
fn refused_none_eligible() {
    let out = [(0, Fault::AllZonesOut(Duration::from_secs(20)))];
    check(config(2), &out, Failure::Refused, |cause| *cause == Cause::NoneEligible);
}

/// All zones come back at once, and all their upstreams are cold.
#[test]
fn refused_at_cold_limit() {
    let out = [(0, Fault::AllZonesOut(Duration::from_secs(3)))];
    let causes = causes(Config { per_s: 60, ..config(3) }, &out, Failure::Refused);
    let at_limit = causes.iter().filter(|cause| **cause == Cause::AllAtLimit).count();
    assert!(at_limit > 20, "{at_limit} of {}", causes.len());
    // Clients that are refused try again at once: more lines than an entry writes in a second.
    let known = |cause: &&Cause| {
        matches!(cause, Cause::AllAtLimit | Cause::NoneEligible | Cause::LinesLeftOut(_))
    };
    assert_eq!(causes.iter().filter(known).count(), causes.len());
}

/// One upstream in one zone, so that its silence is not its zone's.
#[test]
fn upstream_crashed_before_opening() {
    let cfg = Config { upstreams: 1, per_s: 12, ..config(4) };
    check(cfg, &[(0, Fault::AllUpstreamsCrash)], Failure::Unanswered, |cause| {
        matches!(cause, Cause::UpstreamsSilent(_))
    });
}

#[test]
fn upstream_crashed_after_opening() {
    let crashes: Vec<(u64, Fault)> =
        (0..4).map(|step| (step * 300, Fault::UpstreamCrashes)).collect();
    check(Config { per_s: 400, ..config(5) }, &crashes, Failure::DeadlineExceeded, |cause| {
        matches!(cause, Cause::AnswerSilent(_) | Cause::UpstreamFailedLater(_))
    });
}

#[test]
fn upstream_hangs() {
    let hangs = [(0, Fault::UpstreamHangs(Duration::from_secs(5)))];
    check(config(6), &hangs, Failure::DeadlineExceeded, |cause| {
        matches!(cause, Cause::AnswerSilent(_))
    });
}

#[test]
fn reset_upstream_gone() {
    let leaves: Vec<(u64, Fault)> =
        (0..5).map(|step| (step * 900, Fault::UpstreamStopsBeforeDrained)).collect();
    check(Config { per_s: 800, ..config(7) }, &leaves, Failure::Reset, |cause| {
        matches!(cause, Cause::UpstreamEnded(_))
    });
}

#[test]
fn entry_killed() {
    let cfg = Config { per_s: 200, ..config(8) };
    check(cfg, &[(0, Fault::EntryKilled)], Failure::Unanswered, |cause| {
        matches!(cause, Cause::EntryStarted(_))
    });
}

/// Its entries reach no upstream that they may use until routers have moved on.
#[test]
fn zone_cut() {
    let mut seen = 0;
    for seed in 0..8 {
        let faults = [
            (0, Fault::ZoneOut(Duration::from_secs(14))),
            (4_000, Fault::ZonePartitioned(Duration::from_secs(4))),
        ];
        let causes = causes(Config { per_s: 80, ..config(seed) }, &faults, Failure::Unanswered);
        let others: Vec<&Cause> =
            causes.iter().filter(|cause| !matches!(cause, Cause::ZoneSilent(_))).collect();
        assert!(others.is_empty(), "seed {seed}: {others:?}");
        seen += causes.len();
    }
    assert!(seen > 20, "{seen}");
}

#[test]
fn store_away_at_start() {
    let faults =
        [(0, Fault::StoreUnavailable(Duration::from_secs(5))), (500, Fault::AllEntriesKilled)];
    check(config(9), &faults, Failure::Unanswered, |cause| matches!(cause, Cause::StoreAway(_)));
}
