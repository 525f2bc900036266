//! What the decision code costs on the platform: a packet of an open flow, and an opening.
//!
//! Times are of this machine and build; only their growth with the number of upstreams matters.
//! Instructions are counted by valgrind, where it is installed, and are the same in each run.

use std::env;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

use stdx::time::Timestamp;
use steer::table::{ServiceId, Target};
use steer::{
    Action, Engine, FlowKey, Packet, Route, Service, Settings, Table, Token, Upstream, UpstreamId,
    ZoneId,
};

use crate::measure::report::{Bound, Report};

const NOW: Timestamp = Timestamp::from_secs(1_000);
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const OPENINGS: u32 = 20_000;
const PACKETS_A_FLOW: u32 = 20;

/// Prints the times for some numbers of upstreams.
pub fn run(report: &mut Report) {
    for upstreams in [18, 150, 1_500] {
        let mut engine = engine(upstreams);
        let (mut opening_time, mut packet_time) = (Duration::ZERO, Duration::ZERO);
        for number in 0..OPENINGS {
            let now = NOW + Duration::from_millis(u64::from(number));
            let start = Instant::now();
            let action = engine.on_packet(now, &opening(number), &[0; 36]);
            opening_time += start.elapsed();
            let Action::Forward(hop) = action else { continue };
            let start = Instant::now();
            for step in 0..PACKETS_A_FLOW {
                black_box(engine.on_packet(now, &later(number, hop.token, step), &[]));
            }
            packet_time += start.elapsed();
            let fin = Packet { fin: true, ..later(number, hop.token, PACKETS_A_FLOW) };
            engine.on_packet(now, &fin, &[]);
            engine.on_timer(now, false);
            engine.take_events().for_each(drop);
        }
        let packets = f64::from(OPENINGS * PACKETS_A_FLOW);
        let per_packet = packet_time.as_secs_f64() * 1e9 / packets;
        let per_opening = opening_time.as_secs_f64() * 1e9 / f64::from(OPENINGS);
        report.line(&format!("path.packet_ns.{upstreams}"), per_packet, "ns", Bound::None);
        report.line(&format!("path.opening_ns.{upstreams}"), per_opening, "ns", Bound::None);
        if let Some((packet, opening)) = instructions(upstreams) {
            let name = format!("path.packet_instructions.{upstreams}");
            report.line(&name, packet, "instructions", Bound::None);
            let name = format!("path.opening_instructions.{upstreams}");
            report.line(&name, opening, "instructions", Bound::None);
        }
    }
}

/// A course of `flows` flows with `packets` packets each, for counting its instructions.
pub fn course(upstreams: u32, flows: u32, packets: u32) {
    let mut engine = engine(upstreams);
    for number in 0..flows {
        let now = NOW + Duration::from_millis(u64::from(number));
        let Action::Forward(hop) = engine.on_packet(now, &opening(number), &[0; 36]) else {
            continue;
        };
        for step in 0..packets {
            black_box(engine.on_packet(now, &later(number, hop.token, step), &[]));
        }
        engine.take_events().for_each(drop);
    }
}

/// Instructions of a packet of an open flow and of an opening, from the differences of courses; `None`
/// where valgrind is not installed.
fn instructions(upstreams: u32) -> Option<(f64, f64)> {
    const FLOWS: u32 = 1_000;
    let few = counted(upstreams, FLOWS, PACKETS_A_FLOW)?;
    let more_packets = counted(upstreams, FLOWS, 2 * PACKETS_A_FLOW)?;
    let packet = (more_packets - few) / f64::from(FLOWS * PACKETS_A_FLOW);
    let openings = counted(upstreams, FLOWS, 0)?;
    let more_openings = counted(upstreams, 2 * FLOWS, 0)?;
    Some((packet, (more_openings - openings) / f64::from(FLOWS)))
}

/// Instructions of one course, as valgrind counts them.
fn counted(upstreams: u32, flows: u32, packets: u32) -> Option<f64> {
    let numbers = [upstreams, flows, packets].map(|number| number.to_string());
    let output = Command::new("valgrind")
        .args(["--tool=callgrind", "--callgrind-out-file=/dev/null"])
        .arg(env::current_exe().ok()?)
        .arg("course")
        .args(numbers)
        .output()
        .ok()?;
    let text = String::from_utf8(output.stderr).ok()?;
    text.rsplit_once("Collected : ")?.1.split_whitespace().next()?.parse().ok()
}

fn engine(upstreams: u32) -> Engine {
    let settings = Settings::new(Duration::from_secs(2), 1);
    let service = ServiceId(0);
    let mut table = Table {
        synced: true,
        zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
        services: vec![Service { name: "s".to_owned(), cold_opens_per_s: 5 }],
        entries: vec![1],
        own_entry: 1,
        ..Table::default()
    };
    let route = Route { targets: vec![Target { service, weight: 1 }], all_services: vec![service] };
    table.routes.insert(ROUTE, route);
    for number in 1..=upstreams {
        let id = UpstreamId(u64::from(number));
        let upstream = Upstream {
            id,
            addr: SocketAddrV4::new(Ipv4Addr::from(0x0A00_0000 + number), 80),
            zone: ZoneId((number % 3) as u16),
            service,
            accepts_new: true,
            cold_until: Timestamp::default(),
            started_ms: None,
            ended: false,
        };
        table.upstreams.insert(id, upstream);
    }
    let mut engine = Engine::new(NOW, settings);
    engine.apply(Arc::new(table), "a");
    engine
}

fn opening(number: u32) -> Packet {
    let client = SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + number), 4_000);
    Packet {
        flow: FlowKey { client, service: ROUTE },
        token: Token(0),
        seq: number,
        ack: 0,
        syn: true,
        has_ack: false,
        fin: false,
        rst: false,
        data_len: 0,
    }
}

fn later(number: u32, token: Token, step: u32) -> Packet {
    Packet { token, ack: 1 + step * 1_200, syn: false, has_ack: true, ..opening(number) }
}
