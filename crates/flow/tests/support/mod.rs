//! Packet builders and engines for the tests of this crate.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use balance::{Limits, Share};
use etherparse::PacketBuilder;
use flow::key::HashKey;
use flow::service::{Address, AdminState, Upstream};
use flow::{Action, Engine, Id, Key, Origin, Service, Services, Settings, Target};
use packet::{Protocol, View};
use stdx::time::Timestamp;

pub const NOW: Timestamp = Timestamp::from_secs(100_000);
pub const U1: Ipv4Addr = Ipv4Addr::new(127, 2, 0, 1);
pub const U2: Ipv4Addr = Ipv4Addr::new(127, 2, 0, 2);
pub const U3: Ipv4Addr = Ipv4Addr::new(127, 2, 0, 3);
pub const SELF: Id = Id(Ipv4Addr::new(127, 1, 0, 1));
pub const PEER: Id = Id(Ipv4Addr::new(127, 1, 0, 2));
pub const CALLER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, 1), 5000);
pub const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 10, 0, 1), 4000);

/// Longer than the grace period after a slot has moved.
pub const AFTER_HANDOVER: Duration = Duration::from_secs(4);

#[derive(Debug, Clone, Copy, Default)]
pub struct Tcp {
    pub syn: bool,
    pub ack: Option<u32>,
    pub fin: bool,
    pub rst: bool,
    pub seq: u32,
    pub payload: &'static [u8],
}

pub fn segment(src: SocketAddrV4, dst: SocketAddrV4, tcp: Tcp) -> Vec<u8> {
    let ip = PacketBuilder::ipv4(src.ip().octets(), dst.ip().octets(), 64);
    let mut builder = ip.tcp(src.port(), dst.port(), tcp.seq, 1_000);
    if tcp.syn {
        builder = builder.syn();
    }
    if tcp.fin {
        builder = builder.fin();
    }
    if tcp.rst {
        builder = builder.rst();
    }
    if let Some(ack) = tcp.ack {
        builder = builder.ack(ack);
    }
    let mut buf = Vec::new();
    builder.write(&mut buf, tcp.payload).expect("writing to a Vec succeeds");
    buf
}

pub fn datagram(src: SocketAddrV4, dst: SocketAddrV4, payload: &[u8]) -> Vec<u8> {
    let ip = PacketBuilder::ipv4(src.ip().octets(), dst.ip().octets(), 64);
    let builder = ip.udp(src.port(), dst.port());
    let mut buf = Vec::new();
    builder.write(&mut buf, payload).expect("writing to a Vec succeeds");
    buf
}

pub fn syn() -> Vec<u8> {
    segment(CALLER, SERVICE, Tcp { syn: true, seq: 1_000, ..Tcp::default() })
}

pub fn syn_ack(isn: u32) -> Vec<u8> {
    let tcp = Tcp { syn: true, ack: Some(1_001), seq: isn, ..Tcp::default() };
    segment(SERVICE, CALLER, tcp)
}

pub fn data() -> Vec<u8> {
    let tcp = Tcp { ack: Some(1), seq: 1_001, payload: b"order", ..Tcp::default() };
    segment(CALLER, SERVICE, tcp)
}

pub fn answer() -> Vec<u8> {
    let tcp = Tcp { ack: Some(1_006), seq: 1, payload: b"done", ..Tcp::default() };
    segment(SERVICE, CALLER, tcp)
}

pub fn reset_from_service() -> Vec<u8> {
    segment(SERVICE, CALLER, Tcp { rst: true, seq: 1, ..Tcp::default() })
}

pub fn service(protocol: Protocol) -> Service {
    let active = Upstream { admin_state: AdminState::Active, weight: 1 };
    Service {
        name: "desk".to_owned(),
        address: Address { protocol, socket: SERVICE },
        upstreams: [U1, U2, U3].into_iter().map(|ip| (ip, active.clone())).collect(),
        limits: Limits {
            flows: 1_000,
            cold_flows: 1_000,
            cold_opens_per_s: 100_000,
            ramp: Duration::from_secs(1),
        },
        repeatable: false,
        idle_timeout: Duration::from_hours(2),
        opening_timeout: Duration::from_millis(300),
    }
}

pub fn services(services: impl IntoIterator<Item = Service>) -> Services {
    services.into_iter().map(|service| (service.address, service)).collect()
}

pub fn settings() -> Settings {
    Settings {
        id: SELF,
        hash_key: HashKey(1, 2),
        seed: 1,
        max_flows: 1_000,
        max_learned: 1_000,
        max_openings: 100,
        max_recoveries: 100,
        probes_per_s: 1_000,
        retry_percent: 100,
    }
}

/// An engine that is the home of all slots, with the grace period elapsed at [`NOW`].
pub fn engine(protocol: Protocol) -> Engine {
    engine_with(settings(), service(protocol))
}

pub fn engine_with(cfg: Settings, service: Service) -> Engine {
    let start = Timestamp(NOW.0 - 10_000_000);
    let mut engine = Engine::new(start, cfg);
    engine.set_services(start, services([service]));
    engine.set_members(start, &[SELF], Share::SOLE);
    engine
}

/// Passes a packet to the engine and returns the actions.
pub fn handle(engine: &mut Engine, now: Timestamp, origin: Origin, bytes: &[u8]) -> Vec<Action> {
    let view = View::parse(bytes).expect("valid packet");
    let mut out = Vec::new();
    engine.on_packet(now, origin, &view, &mut out);
    out
}

pub fn tick(engine: &mut Engine, now: Timestamp) -> Vec<Action> {
    let mut out = Vec::new();
    engine.on_tick(now, &mut out);
    out
}

/// The upstreams that the actions send a packet to.
pub fn upstreams(actions: &[Action]) -> Vec<Ipv4Addr> {
    let target = |action: &Action| match action {
        Action::Forward(to) | Action::Emit { to, .. } => Some(*to),
        Action::SendMessage { .. } => None,
    };
    let upstream = |to| match to {
        Target::Upstream { ip, .. } => Some(ip),
        Target::Caller | Target::Peer { .. } => None,
    };
    actions.iter().filter_map(target).filter_map(upstream).collect()
}

/// Whether the actions forward the handled packet to the caller.
pub fn forwards_to_caller(actions: &[Action]) -> bool {
    actions.contains(&Action::Forward(Target::Caller))
}

/// Whether the actions send the caller a reset built by the engine.
pub fn resets_caller(actions: &[Action]) -> bool {
    actions.iter().any(|action| match action {
        Action::Emit { bytes, to: Target::Caller } => {
            View::parse(bytes).is_ok_and(|view| view.flags().rst)
        }
        _ => false,
    })
}

/// Opens a flow and returns its upstream.
pub fn open(engine: &mut Engine, now: Timestamp) -> Ipv4Addr {
    let upstream = upstreams(&handle(engine, now, Origin::Caller, &syn()))[0];
    let forwarded = handle(engine, now, Origin::Upstream(upstream), &syn_ack(0));
    assert!(forwards_to_caller(&forwarded));
    let sent = upstreams(&handle(engine, now, Origin::Caller, &data()));
    assert_eq!(sent, [upstream]);
    upstream
}

pub fn key(protocol: Protocol) -> Key {
    Key::new(protocol, CALLER, SERVICE)
}
