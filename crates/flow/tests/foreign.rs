//! Foreign upstreams, unknown services, and upstreams that are draining or out of service.

mod support;

use std::net::Ipv4Addr;

use balance::Share;
use flow::service::AdminState;
use flow::{Action, Counter, Origin, Target};
use packet::Protocol;
use support::{NOW, PEER, SELF, U1};

const FOREIGN: Ipv4Addr = Ipv4Addr::new(127, 9, 0, 1);

/// A foreign reply is relayed to its home, which may have a newer configuration with the sender.
///
/// Guards against a fault that `measure zone` found: entries that did not know a new upstream yet
/// dropped its answers, the openings were retried at other upstreams, and the new upstream had more
/// connections than were counted.
#[test]
fn foreign_reply_at_other_entry() {
    let mut engine = support::engine(Protocol::Tcp);
    engine.set_members(NOW, &[PEER], Share { entries: 2 });
    let out = support::handle(&mut engine, NOW, Origin::Upstream(FOREIGN), &support::answer());
    let to = Target::Peer { to: PEER, upstream: Some(FOREIGN), hops: 1 };
    assert_eq!(out, [Action::Forward(to)]);
    assert_eq!(engine.learned_count(), 0, "learned from a foreign upstream");
}

#[test]
fn foreign_reply_at_home() {
    let mut engine = support::engine(Protocol::Tcp);
    support::open(&mut engine, NOW);
    let out = support::handle(&mut engine, NOW, Origin::Upstream(FOREIGN), &support::answer());
    assert_eq!(out, []);
    assert_eq!(engine.counters().get(Counter::ForeignUpstream), 1);
}

/// A packet for an address that is no service is dropped.
#[test]
fn unknown_service() {
    let mut engine = support::engine(Protocol::Udp);
    let out = support::handle(&mut engine, NOW, Origin::Caller, &support::syn());
    assert_eq!(out, []);
    assert_eq!(engine.counters().get(Counter::NoService), 1);
}

/// An upstream whose zone is out of service gets no packets, and its callers get resets.
#[test]
fn zone_out() {
    for home in [SELF, PEER] {
        let mut engine = support::engine(Protocol::Tcp);
        let upstream = support::open(&mut engine, NOW);
        engine.set_members(NOW, &[home], Share { entries: 2 });
        let mut service = support::service(Protocol::Tcp);
        service.upstreams[&upstream].admin_state = AdminState::OutOfService;
        engine.set_services(NOW, support::services([service]));

        let out = support::handle(&mut engine, NOW, Origin::Caller, &support::data());
        assert!(support::upstreams(&out).is_empty(), "home {home:?}");
        assert!(support::resets_caller(&out), "home {home:?}");
        let out = support::handle(&mut engine, NOW, Origin::Upstream(upstream), &support::answer());
        assert_eq!(out, [], "home {home:?}");
    }
}

/// A draining upstream keeps its open flows and gets no new ones.
#[test]
fn draining() {
    let mut engine = support::engine(Protocol::Tcp);
    let upstream = support::open(&mut engine, NOW);
    let mut service = support::service(Protocol::Tcp);
    for other in service.upstreams.values_mut() {
        other.admin_state = AdminState::Draining;
    }
    service.upstreams[&U1].admin_state = AdminState::Draining;
    engine.set_services(NOW, support::services([service]));

    let out = support::handle(&mut engine, NOW, Origin::Caller, &support::data());
    assert_eq!(support::upstreams(&out), [upstream]);
    let other_port = std::net::SocketAddrV4::new(*support::CALLER.ip(), 6_000);
    let tcp = support::Tcp { syn: true, seq: 9, ..support::Tcp::default() };
    let opening = support::segment(other_port, support::SERVICE, tcp);
    let out = support::handle(&mut engine, NOW, Origin::Caller, &opening);
    assert!(support::upstreams(&out).is_empty());
    assert!(support::resets_caller(&out), "not refused");
}
