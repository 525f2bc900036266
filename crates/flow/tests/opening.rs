//! Openings: retries, refusals and answers.

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use flow::{Action, Counter, Engine, Origin, Target};
use packet::{Protocol, View};
use stdx::time::Timestamp;
use support::{NOW, SERVICE};

fn after(millis: u64) -> Timestamp {
    NOW + Duration::from_millis(millis)
}

/// An unanswered opening is retried at another upstream. The first answer is used; the other
/// upstream gets a reset.
#[test]
fn retry_first_answer_wins() {
    let mut engine = support::engine(Protocol::Tcp);
    let out = support::handle(&mut engine, NOW, Origin::Caller, &support::syn());
    let first = support::upstreams(&out)[0];
    assert_eq!(support::tick(&mut engine, after(299)), []);
    let second = support::upstreams(&support::tick(&mut engine, after(301)))[0];
    assert_ne!(first, second);

    let answer = support::syn_ack(0);
    let out = support::handle(&mut engine, after(302), Origin::Upstream(first), &answer);
    assert!(support::forwards_to_caller(&out));
    let answer = support::syn_ack(9);
    let out = support::handle(&mut engine, after(303), Origin::Upstream(second), &answer);
    assert!(!support::forwards_to_caller(&out));
    assert_eq!(support::upstreams(&out), [second], "the other upstream gets no reset");
    let out = support::handle(&mut engine, after(304), Origin::Caller, &support::data());
    assert_eq!(support::upstreams(&out), [first]);
}

/// An opening with payload is sent to one upstream only.
#[test]
fn retry_with_payload() {
    let mut engine = support::engine(Protocol::Tcp);
    let tcp = support::Tcp { syn: true, seq: 1_000, payload: b"order", ..Default::default() };
    let opening = support::segment(support::CALLER, SERVICE, tcp);
    support::handle(&mut engine, NOW, Origin::Caller, &opening);
    for millis in [400, 1_000, 5_000] {
        assert_eq!(support::tick(&mut engine, after(millis)), []);
    }
}

/// A refusal is forwarded only when no other upstream is left to try.
#[test]
fn refused_by_all_upstreams() {
    let mut engine = support::engine(Protocol::Tcp);
    let out = support::handle(&mut engine, NOW, Origin::Caller, &support::syn());
    let mut upstream = support::upstreams(&out)[0];
    let mut tried = vec![upstream];
    let reset = support::reset_from_service();
    loop {
        let out = support::handle(&mut engine, NOW, Origin::Upstream(upstream), &reset);
        if support::forwards_to_caller(&out) {
            break;
        }
        upstream = support::upstreams(&out)[0];
        tried.push(upstream);
    }
    tried.sort_unstable();
    tried.dedup();
    assert_eq!(tried.len(), 3);
    assert_eq!(engine.flow_count(), 0);
}

/// Once the burst is used up, retries stay within their percentage of openings.
#[test]
fn retry_budget() {
    let mut cfg = support::settings();
    cfg.retry_percent = 10;
    cfg.max_openings = 10_000;
    cfg.max_flows = 10_000;
    let mut engine = support::engine_with(cfg, support::service(Protocol::Tcp));
    for n in 0..1_000_u16 {
        let caller = SocketAddrV4::new(Ipv4Addr::new(10, 4, 0, 1), 1_000 + n);
        let tcp = support::Tcp { syn: true, seq: 1, ..Default::default() };
        support::handle(&mut engine, NOW, Origin::Caller, &support::segment(caller, SERVICE, tcp));
    }
    support::tick(&mut engine, after(400));
    let retried = engine.counters().get(Counter::OpeningRetried);
    assert!((32..=132).contains(&retried), "{retried} retries of 1,000 openings");
}

/// Openings are refused only at the flow limit, and then immediately.
#[test]
fn refuse_at_limit() {
    let mut service = support::service(Protocol::Tcp);
    service.limits.flows = 2;
    service.limits.cold_flows = 2;
    let mut engine = support::engine_with(support::settings(), service);
    let mut refused = 0;
    for n in 0..9_u16 {
        let caller = SocketAddrV4::new(Ipv4Addr::new(10, 4, 0, 1), 1_000 + n);
        let tcp = support::Tcp { syn: true, seq: 1, ..Default::default() };
        let opening = support::segment(caller, SERVICE, tcp);
        let out = support::handle(&mut engine, NOW, Origin::Caller, &opening);
        refused += u32::from(support::resets_caller(&out));
    }
    assert_eq!(refused, 3);
    assert_eq!(engine.counters().get(Counter::Refused), 3);
}

/// A datagram of a service that is not repeatable is sent to one upstream only.
#[test]
fn datagram_unanswered() {
    let mut engine = support::engine(Protocol::Udp);
    let order = support::datagram(support::CALLER, SERVICE, b"order");
    let first = support::upstreams(&support::handle(&mut engine, NOW, Origin::Caller, &order));
    assert_eq!(support::tick(&mut engine, after(5_000)), []);
    let again = support::handle(&mut engine, after(5_000), Origin::Caller, &order);
    assert_eq!(support::upstreams(&again), first);
}

/// An upstream that does not answer gets one failure per timeout, not one per tick, and is then
/// avoided.
#[test]
fn silent_upstream_avoided() {
    let mut service = support::service(Protocol::Tcp);
    service.upstreams.truncate(2);
    let mut engine = support::engine_with(support::settings(), service);
    let mut to_silent = 0;
    for n in 0..40 {
        let now = after(u64::from(n) * 100);
        for action in support::tick(&mut engine, now) {
            let Action::Emit { bytes, to: Target::Upstream { ip: support::U2, .. } } = action
            else {
                continue;
            };
            accept(&mut engine, now, &bytes);
        }
        let caller = SocketAddrV4::new(Ipv4Addr::new(10, 4, 0, 1), 1_000 + n);
        let tcp = support::Tcp { syn: true, seq: 1, ..Default::default() };
        let opening = support::segment(caller, SERVICE, tcp);
        let out = support::handle(&mut engine, now, Origin::Caller, &opening);
        if support::upstreams(&out) == [support::U1] {
            to_silent += 1;
        } else {
            accept(&mut engine, now, &opening);
        }
    }
    assert!((1..=10).contains(&to_silent), "{to_silent} of 40 sent to the silent upstream");
}

/// Lets U2 accept an opening.
fn accept(engine: &mut Engine, now: Timestamp, opening: &[u8]) {
    let view = View::parse(opening).expect("valid packet");
    let tcp = support::Tcp { syn: true, ack: Some(2), seq: 9, ..Default::default() };
    let answer = support::segment(SERVICE, view.src, tcp);
    let out = support::handle(engine, now, Origin::Upstream(support::U2), &answer);
    assert!(support::forwards_to_caller(&out));
}
