//! Slots that move to another home and back.

mod support;

use std::time::Duration;

use balance::Share;
use flow::{Action, Message, Origin};
use packet::Protocol;
use support::{AFTER_HANDOVER, NOW, PEER, SELF};

const BOTH: Share = Share { entries: 2 };

/// An opening whose slot moved is neither retried by the old home nor used when the slot moves
/// back.
///
/// Guards against a fault that the demo found: the old home retried the opening at a second
/// upstream, assigned the flow to it once the slot had moved back, and forwarded its reset to the
/// caller.
#[test]
fn opening_moved_away() {
    let mut engine = support::engine(Protocol::Tcp);
    let first = support::handle(&mut engine, NOW, Origin::Caller, &support::syn());
    let first = support::upstreams(&first)[0];

    engine.set_members(NOW, &[PEER], BOTH);
    let after_timeout = NOW + Duration::from_millis(400);
    assert_eq!(support::tick(&mut engine, after_timeout), [], "retried an opening of another home");

    let mut out = Vec::new();
    let key = support::key(Protocol::Tcp);
    engine.on_message(after_timeout, PEER, Message::Ask(key), &mut out);
    let known = Message::Known { key, upstream: first, opening: true };
    assert_eq!(out, [Action::SendMessage { to: PEER, message: known }]);

    let back = NOW + AFTER_HANDOVER;
    engine.set_members(back, &[SELF, PEER], BOTH);
    engine.set_members(back, &[SELF], BOTH);
    support::tick(&mut engine, back);
    let sent = support::handle(&mut engine, back, Origin::Caller, &support::data());
    assert!(!support::upstreams(&sent).contains(&first) || support::upstreams(&sent).len() > 1);
    assert_eq!(engine.flow_count(), 0, "used a stale opening");
}

/// The old home of an open flow answers the new home's question.
#[test]
fn open_flow_moved_away() {
    let mut engine = support::engine(Protocol::Tcp);
    let upstream = support::open(&mut engine, NOW);
    engine.set_members(NOW, &[PEER], BOTH);

    let mut out = Vec::new();
    let key = support::key(Protocol::Tcp);
    engine.on_message(NOW, PEER, Message::Ask(key), &mut out);
    let known = Message::Known { key, upstream, opening: false };
    assert_eq!(out, [Action::SendMessage { to: PEER, message: known }]);
    assert_eq!(engine.flow_count(), 0);
}

/// While membership views differ, the answer to an opening may be forwarded by another entry that
/// considers itself the home. The caller's next packet then completes the opening.
#[test]
fn opening_answered_elsewhere_request() {
    let mut engine = support::engine(Protocol::Tcp);
    let sent = support::handle(&mut engine, NOW, Origin::Caller, &support::syn());
    let upstream = support::upstreams(&sent)[0];

    let sent = support::handle(&mut engine, NOW, Origin::Caller, &support::data());
    assert_eq!(support::upstreams(&sent), [upstream]);
    let after_timeout = NOW + Duration::from_millis(400);
    assert_eq!(support::tick(&mut engine, after_timeout), [], "retried an open flow");
}

/// The same, but data of the upstream arrives first and completes the opening.
///
/// Guards against a fault that `rolling_restart_seeds` found: the home dropped the data of the
/// upstream that it had chosen and opened the flow at a second one.
#[test]
fn opening_answered_elsewhere_reply() {
    let mut engine = support::engine(Protocol::Tcp);
    let sent = support::handle(&mut engine, NOW, Origin::Caller, &support::syn());
    let upstream = support::upstreams(&sent)[0];

    let answer = support::answer();
    let forwarded = support::handle(&mut engine, NOW, Origin::Upstream(upstream), &answer);
    assert!(support::forwards_to_caller(&forwarded));
    let after_timeout = NOW + Duration::from_millis(400);
    assert_eq!(support::tick(&mut engine, after_timeout), [], "retried an open flow");
}

/// An opening is not retried after a peer has asked about it.
///
/// Guards against a fault that `kill_and_start_seeds` found with seed 5: the opening was retried
/// although the caller had received its answer through the peer, and the flow was then assigned to
/// the second upstream.
#[test]
fn opening_asked_for() {
    let mut engine = support::engine(Protocol::Tcp);
    support::handle(&mut engine, NOW, Origin::Caller, &support::syn());
    let ask = Message::Ask(support::key(Protocol::Tcp));
    engine.on_message(NOW, PEER, ask, &mut Vec::new());
    let after_timeout = NOW + Duration::from_millis(400);
    assert_eq!(support::tick(&mut engine, after_timeout), [], "retried an opening of a peer");
}

/// The caller accepted the answer of one upstream and this entry saw the answer of another: the
/// flow is reassigned to the upstream that sends data.
#[test]
fn half_open_answered_elsewhere() {
    let mut engine = support::engine(Protocol::Tcp);
    let sent = support::handle(&mut engine, NOW, Origin::Caller, &support::syn());
    let first = support::upstreams(&sent)[0];
    let after_timeout = NOW + Duration::from_millis(400);
    let second = support::upstreams(&support::tick(&mut engine, after_timeout))[0];
    assert_ne!(first, second);
    let from_second = Origin::Upstream(second);
    support::handle(&mut engine, after_timeout, from_second, &support::syn_ack(7));

    let forwarded =
        support::handle(&mut engine, after_timeout, Origin::Upstream(first), &support::answer());
    assert!(support::forwards_to_caller(&forwarded));
    let sent = support::handle(&mut engine, after_timeout, Origin::Caller, &support::data());
    assert_eq!(support::upstreams(&sent), [first]);
}

/// The caller acknowledges another upstream's answer than the one that this entry forwarded.
///
/// Guards against a fault that `found_late_seeds` found with seed 7, after a demo had broken 1 of
/// 1,556 flows: an entry that had just started assigned the flow to the second upstream, sent it
/// the caller's data and forwarded its reset.
#[test]
fn half_open_acknowledged_elsewhere() {
    let mut engine = support::engine(Protocol::Tcp);
    let sent = support::handle(&mut engine, NOW, Origin::Caller, &support::syn());
    let upstream = support::upstreams(&sent)[0];
    let forwarded =
        support::handle(&mut engine, NOW, Origin::Upstream(upstream), &support::syn_ack(900_000));
    assert!(support::forwards_to_caller(&forwarded));

    let sent = support::handle(&mut engine, NOW, Origin::Caller, &support::data());
    assert_ne!(support::upstreams(&sent), [upstream], "sent to an upstream without the connection");
    assert_eq!(engine.recovery_count(), 1, "no recovery started");
}
