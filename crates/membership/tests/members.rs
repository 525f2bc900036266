//! Views of the failure detector.

use std::net::Ipv4Addr;
use std::time::Duration;

use membership::{Heartbeat, Members, Status, Timing};
use stdx::time::Timestamp;

const A: Ipv4Addr = Ipv4Addr::new(127, 1, 0, 1);
const B: Ipv4Addr = Ipv4Addr::new(127, 1, 0, 2);
const C: Ipv4Addr = Ipv4Addr::new(127, 1, 0, 3);
const START: Timestamp = Timestamp::from_secs(1_000);

const TIMING: Timing = Timing {
    suspect_after: Duration::from_secs(1),
    dead_after: Duration::from_secs(10),
    pause_threshold: Duration::from_millis(750),
    confirm_timeout: Duration::from_millis(1_500),
};

fn at(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

fn heartbeat(id: Ipv4Addr, sequence: u64) -> Heartbeat {
    Heartbeat { id, incarnation: START, sequence, ready: true, leaving: false }
}

/// State of A after heartbeats of B and C at the start.
fn members() -> Members {
    let mut members = Members::new(START, A, &[A, B, C], TIMING);
    members.set_ready(true);
    members.on_heartbeat(START, heartbeat(B, 1));
    members.on_heartbeat(START, heartbeat(C, 1));
    members.tick(START);
    members
}

/// Advances time with the ticks of a running entry.
fn tick_until(members: &mut Members, from: u64, to: u64) {
    for millis in (from..=to).step_by(50) {
        members.tick(at(millis));
    }
}

#[test]
fn view_all_alive() {
    let view = members().view(START);
    assert_eq!(view.homes, [A, B, C]);
    assert_eq!(view.possibly_alive, 3);
}

/// A silent entry is no home after a second, but counts for shares until `dead_after`.
#[test]
fn view_silent_entry() {
    let mut members = members();
    tick_until(&mut members, 50, 900);
    members.on_heartbeat(at(900), heartbeat(B, 2));
    let view = members.view(at(1_000));
    assert_eq!((view.homes, view.possibly_alive), (vec![A, B], 3));
    assert_eq!(members.status(at(1_000), C), Some(Status::Suspect));
    assert_eq!(members.view(at(9_999)).possibly_alive, 3);
    assert_eq!(members.view(at(10_000)).possibly_alive, 2);
}

/// A leaving entry is no longer a home at once, but still counts for shares.
#[test]
fn view_leaving_entry() {
    let mut members = members();
    members.on_heartbeat(at(10), Heartbeat { leaving: true, ..heartbeat(C, 2) });
    let view = members.view(at(10));
    assert_eq!((view.homes, view.possibly_alive), (vec![A, B], 3));
    members.leave();
    assert_eq!(members.view(at(10)).homes, [B]);
}

#[test]
fn view_starting_entry() {
    let mut members = members();
    members.on_heartbeat(at(10), Heartbeat { ready: false, ..heartbeat(C, 2) });
    assert_eq!(members.view(at(10)).homes, [A, B]);
    assert_eq!(members.status(at(10), C), Some(Status::Starting));
}

/// A started entry is no home before a peer's heartbeat or `confirm_timeout`.
#[test]
fn view_without_peers() {
    let mut members = Members::new(START, A, &[A, B], TIMING);
    members.set_ready(true);
    tick_until(&mut members, 0, 1_500);
    assert!(members.view(at(1_500)).homes.is_empty());
    members.tick(at(1_550));
    assert_eq!(members.view(at(1_550)).homes, [A]);
    assert_eq!(members.view(at(1_550)).possibly_alive, 2);
}

/// After a process pause, an entry is no home until the next heartbeat of a peer.
#[test]
fn view_after_pause() {
    let mut members = members();
    members.tick(at(5_000));
    assert!(!members.view(at(5_000)).homes.contains(&A));
    members.on_heartbeat(at(5_010), heartbeat(B, 2));
    assert!(members.view(at(5_010)).homes.contains(&A));
}

/// Reordered and repeated heartbeats are ignored, also those of an earlier process of the entry.
/// Heartbeats of a new process are accepted.
#[test]
fn on_heartbeat_old() {
    let mut members = members();
    let leaving = Heartbeat { leaving: true, ..heartbeat(C, 5) };
    members.on_heartbeat(at(10), leaving);
    assert!(!members.on_heartbeat(at(20), heartbeat(C, 4)));
    assert_eq!(members.status(at(20), C), Some(Status::Leaving));
    let restarted = Heartbeat { incarnation: at(100), ..heartbeat(C, 1) };
    assert!(members.on_heartbeat(at(110), restarted));
    assert_eq!(members.status(at(110), C), Some(Status::Alive));
    assert!(
        !members.on_heartbeat(at(120), leaving),
        "heartbeat of an earlier process was accepted"
    );
}

/// The platform's list may lag: only silent entries that are not listed are removed.
#[test]
fn on_platform_list_removes_silent_only() {
    let mut members = members();
    tick_until(&mut members, 50, 1_500);
    members.on_heartbeat(at(1_500), heartbeat(B, 2));
    members.on_platform_list(at(1_500), &[A]);
    let view = members.view(at(1_500));
    assert_eq!((view.homes, view.possibly_alive), (vec![A, B], 2));
}
