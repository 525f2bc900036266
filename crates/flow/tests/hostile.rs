//! Random and invalid input: the engine does not panic and no table exceeds its limit.

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use flow::{Id, Message, Origin};
use packet::Protocol;
use proptest::prelude::*;
use support::{PEER, SERVICE, Tcp, U1, U2};

/// One input of an engine.
#[derive(Debug, Clone)]
enum Step {
    Packet { origin: u8, caller: u16, tcp: (bool, Option<u32>, bool, bool, u32), reply: bool },
    Datagram { origin: u8, caller: u16, reply: bool },
    Message { kind: u8, caller: u16 },
    Tick { millis: u16 },
    Members { own: bool, peer: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let flags = (any::<bool>(), any::<Option<u32>>(), any::<bool>(), any::<bool>(), any::<u32>());
    prop_oneof![
        8 => (0_u8..4, 0_u16..40, flags, any::<bool>()).prop_map(|(origin, caller, tcp, reply)| {
            Step::Packet { origin, caller, tcp, reply }
        }),
        2 => (0_u8..4, 0_u16..40, any::<bool>())
            .prop_map(|(origin, caller, reply)| Step::Datagram { origin, caller, reply }),
        2 => (0_u8..4, 0_u16..40).prop_map(|(kind, caller)| Step::Message { kind, caller }),
        2 => (0_u16..20_000).prop_map(|millis| Step::Tick { millis }),
        1 => (any::<bool>(), any::<bool>()).prop_map(|(own, peer)| Step::Members { own, peer }),
    ]
}

fn caller(n: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, 1), 1_000 + n)
}

fn origin(n: u8) -> Origin {
    let relay = |upstream| flow::action::Relay { from: PEER, upstream, hops: 1 };
    match n {
        0 => Origin::Caller,
        1 => Origin::Upstream(U1),
        2 => Origin::Peer(relay(None)),
        _ => Origin::Peer(relay(Some(U2))),
    }
}

fn message(kind: u8, key: flow::Key) -> Message {
    match kind {
        0 => Message::Ask(key),
        1 => Message::Known { key, upstream: U2, opening: false },
        2 => Message::Unknown(key),
        _ => Message::Forget { key, upstream: U1 },
    }
}

fn ends(n: u16, reply: bool) -> (SocketAddrV4, SocketAddrV4) {
    if reply { (SERVICE, caller(n)) } else { (caller(n), SERVICE) }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn engine_random(steps in proptest::collection::vec(step(), 1..300)) {
        let mut cfg = support::settings();
        (cfg.max_flows, cfg.max_learned, cfg.max_openings, cfg.max_recoveries) = (8, 8, 4, 4);
        let mut engine = support::engine_with(cfg, support::service(Protocol::Tcp));
        let mut services = support::services([support::service(Protocol::Tcp)]);
        let udp = support::service(Protocol::Udp);
        services.insert(udp.address, udp);
        let mut now = support::NOW;
        engine.set_services(now, services);
        for step in steps {
            let mut out = Vec::new();
            match step {
                Step::Packet { origin: from, caller, tcp: (syn, ack, fin, rst, seq), reply } => {
                    let (src, dst) = ends(caller, reply);
                    let (fin, rst) = (fin && !syn, rst && !syn);
                    let tcp = Tcp { syn, ack, fin, rst, seq, payload: b"" };
                    support::handle(
                        &mut engine,
                        now,
                        origin(from),
                        &support::segment(src, dst, tcp),
                    );
                }
                Step::Datagram { origin: from, caller, reply } => {
                    let (src, dst) = ends(caller, reply);
                    let bytes = support::datagram(src, dst, b"order");
                    support::handle(&mut engine, now, origin(from), &bytes);
                }
                Step::Message { kind, caller: n } => {
                    let key = flow::Key::new(Protocol::Tcp, caller(n), SERVICE);
                    engine.on_message(now, PEER, message(kind, key), &mut out);
                }
                Step::Tick { millis } => {
                    now = now + Duration::from_millis(millis.into());
                    engine.on_tick(now, &mut out);
                }
                Step::Members { own, peer } => {
                    let own = own.then_some(support::SELF);
                    let members: Vec<Id> = own.into_iter().chain(peer.then_some(PEER)).collect();
                    engine.set_members(now, &members, balance::Share { entries: 2 });
                }
            }
            prop_assert!(engine.flow_count() <= 8, "{} flows", engine.flow_count());
            prop_assert!(engine.learned_count() <= 8);
            prop_assert!(engine.opening_count() <= 4);
            prop_assert!(engine.recovery_count() <= 4);
        }
        let counted: u32 = engine.pools().flat_map(|(_, pool)| pool.counts()).map(|c| c.1).sum();
        prop_assert!(counted as usize <= 8 * 3, "pools count {counted} for at most 8 flows");
    }
}
