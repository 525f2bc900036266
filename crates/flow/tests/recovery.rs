//! Recovery of flows whose state was lost.

mod support;

use std::time::Duration;

use balance::Share;
use flow::{Action, Counter, Engine, Message, Origin};
use packet::Protocol;
use support::{NOW, PEER, SELF, U1, U2, U3};

/// An engine that has just become the home of all slots.
fn new_home(protocol: Protocol, members: &[flow::Id]) -> Engine {
    let mut engine = Engine::new(NOW, support::settings());
    engine.set_services(NOW, support::services([support::service(protocol)]));
    engine.set_members(NOW, members, Share { entries: 2 });
    engine
}

fn sorted(mut upstreams: Vec<std::net::Ipv4Addr>) -> Vec<std::net::Ipv4Addr> {
    upstreams.sort_unstable();
    upstreams
}

/// No entry knows the flow: its packet is sent to all upstreams, their resets are dropped, and the
/// last remaining upstream gets the flow.
#[test]
fn probe_by_elimination() {
    let mut engine = new_home(Protocol::Tcp, &[SELF]);
    let out = support::handle(&mut engine, NOW, Origin::Caller, &support::data());
    assert_eq!(sorted(support::upstreams(&out)), [U1, U2, U3]);
    for upstream in [U1, U3] {
        let reset = support::reset_from_service();
        assert_eq!(support::handle(&mut engine, NOW, Origin::Upstream(upstream), &reset), []);
    }
    let out = support::handle(&mut engine, NOW, Origin::Caller, &support::data());
    assert_eq!(support::upstreams(&out), [U2]);
    assert_eq!(engine.counters().get(Counter::Recovered), 1);
}

#[test]
fn probe_answered() {
    let mut engine = new_home(Protocol::Tcp, &[SELF]);
    support::handle(&mut engine, NOW, Origin::Caller, &support::data());
    let out = support::handle(&mut engine, NOW, Origin::Upstream(U3), &support::answer());
    assert!(support::forwards_to_caller(&out));
    let out = support::handle(&mut engine, NOW, Origin::Caller, &support::data());
    assert_eq!(support::upstreams(&out), [U3]);
}

/// The reset of the last upstream is forwarded when no upstream has the connection.
#[test]
fn probe_refused_by_all() {
    let mut engine = new_home(Protocol::Tcp, &[SELF]);
    support::handle(&mut engine, NOW, Origin::Caller, &support::data());
    let reset = support::reset_from_service();
    for upstream in [U1, U2] {
        assert_eq!(support::handle(&mut engine, NOW, Origin::Upstream(upstream), &reset), []);
    }
    let out = support::handle(&mut engine, NOW, Origin::Upstream(U3), &reset);
    assert!(support::forwards_to_caller(&out), "caller gets no reset");
}

/// A stale answer of a peer does not break the flow: the reset of a recovered but unconfirmed
/// upstream is dropped, and the flow is removed so that the next packet starts a new recovery.
#[test]
fn ask_answered_stale() {
    let mut engine = new_home(Protocol::Tcp, &[SELF, PEER]);
    let key = support::key(Protocol::Tcp);
    let out = support::handle(&mut engine, NOW, Origin::Caller, &support::data());
    assert_eq!(out, [Action::SendMessage { to: PEER, message: Message::Ask(key) }]);

    let mut out = Vec::new();
    let known = Message::Known { key, upstream: U2, opening: false };
    engine.on_message(NOW, PEER, known, &mut out);
    assert_eq!(support::upstreams(&out), [U2]);

    let reset = support::reset_from_service();
    let out = support::handle(&mut engine, NOW, Origin::Upstream(U2), &reset);
    assert!(!support::forwards_to_caller(&out));
    assert_eq!(engine.flow_count(), 0);
}

/// A datagram of a service that is not repeatable is never sent to several upstreams.
#[test]
fn datagram_not_probed() {
    let mut engine = new_home(Protocol::Udp, &[SELF]);
    let order = support::datagram(support::CALLER, support::SERVICE, b"order");
    let out = support::handle(&mut engine, NOW, Origin::Caller, &order);
    assert_eq!(support::upstreams(&out).len(), 1);
}

/// After the idle timeout since the slot moved, an unknown segment gets a reset and is not probed.
#[test]
fn unknown_after_idle_timeout() {
    let mut engine = new_home(Protocol::Tcp, &[SELF]);
    let after_timeout = NOW + Duration::from_hours(3);
    let out = support::handle(&mut engine, after_timeout, Origin::Caller, &support::data());
    assert!(support::upstreams(&out).is_empty());
    assert!(support::resets_caller(&out));
}

/// Without probe budget the packet is dropped without a reset, as an upstream may have the
/// connection.
#[test]
fn probe_without_budget() {
    let mut cfg = support::settings();
    cfg.probes_per_s = 0;
    let mut engine = Engine::new(NOW, cfg);
    engine.set_services(NOW, support::services([support::service(Protocol::Tcp)]));
    engine.set_members(NOW, &[SELF], Share::SOLE);
    assert_eq!(support::handle(&mut engine, NOW, Origin::Caller, &support::data()), []);
    assert_eq!(engine.counters().get(Counter::RecoveryBusy), 1);
}

/// A late SYN-ACK does not show that its upstream has the connection, because another upstream's
/// answer may have been accepted first.
///
/// Guards against a fault that the fault matrix found with seed 1: cut entries and a killed entry
/// during the step Opening.
#[test]
fn late_answer_to_opening() {
    let mut engine = new_home(Protocol::Tcp, &[SELF]);
    support::handle(&mut engine, NOW, Origin::Upstream(U2), &support::syn_ack(77));
    support::handle(&mut engine, NOW, Origin::Caller, &support::data());
    let reset = support::reset_from_service();
    let out = support::handle(&mut engine, NOW, Origin::Upstream(U2), &reset);
    assert!(!support::forwards_to_caller(&out), "reset a flow of another upstream");
}
