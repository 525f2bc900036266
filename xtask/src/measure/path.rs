//! CPU cost of the steering decision for a packet of an open flow and for an opening.
//!
//! Times depend on the machine and build; only their growth with the number of upstreams is
//! comparable. Instructions are counted by valgrind, if it is installed, and are the same in each
//! run.

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
const SERVICE_ADDR: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const OPENINGS: u32 = 20_000;
const PACKETS_PER_FLOW: u32 = 20;

/// Measures times and instructions with 18, 150 and 1,500 upstreams.
pub fn run(report: &mut Report) {
    for upstreams in [18, 150, 1_500] {
        let mut engine = engine(upstreams);
        let (mut opening_time, mut packet_time) = (Duration::ZERO, Duration::ZERO);
        for n in 0..OPENINGS {
            let now = NOW + Duration::from_millis(u64::from(n));
            let opening_start = Instant::now();
            let action = engine.on_packet(now, &opening(n), &[0; 36]);
            opening_time += opening_start.elapsed();
            let Action::Forward(hop) = action else { continue };
            let packets_start = Instant::now();
            for step in 0..PACKETS_PER_FLOW {
                black_box(engine.on_packet(now, &data_packet(n, hop.token, step), &[]));
            }
            packet_time += packets_start.elapsed();
            let fin = Packet { fin: true, ..data_packet(n, hop.token, PACKETS_PER_FLOW) };
            engine.on_packet(now, &fin, &[]);
            engine.on_timer(now, false);
            engine.take_events().for_each(drop);
        }
        let packets = f64::from(OPENINGS * PACKETS_PER_FLOW);
        let packet_ns = packet_time.as_secs_f64() * 1e9 / packets;
        let opening_ns = opening_time.as_secs_f64() * 1e9 / f64::from(OPENINGS);
        report.record(&format!("path.packet_ns.{upstreams}"), packet_ns, "ns", Bound::None);
        report.record(&format!("path.opening_ns.{upstreams}"), opening_ns, "ns", Bound::None);
        if let Some((packet, opening)) = instructions_per_packet_and_opening(upstreams) {
            let name = format!("path.packet_instructions.{upstreams}");
            report.record(&name, packet, "instructions", Bound::None);
            let name = format!("path.opening_instructions.{upstreams}");
            report.record(&name, opening, "instructions", Bound::None);
        }
    }
}

/// Opens `flows` flows and sends `packets` packets in each, to count the instructions.
pub fn run_flows(upstreams: u32, flows: u32, packets: u32) {
    let mut engine = engine(upstreams);
    for n in 0..flows {
        let now = NOW + Duration::from_millis(u64::from(n));
        let Action::Forward(hop) = engine.on_packet(now, &opening(n), &[0; 36]) else {
            continue;
        };
        for step in 0..packets {
            black_box(engine.on_packet(now, &data_packet(n, hop.token, step), &[]));
        }
        engine.take_events().for_each(drop);
    }
}

/// Instructions per packet of an open flow and per opening, from the differences between runs of
/// different length, which cancel the cost of the start; `None` if valgrind is not installed.
fn instructions_per_packet_and_opening(upstreams: u32) -> Option<(f64, f64)> {
    const FLOWS: u32 = 1_000;
    let base = count_instructions(upstreams, FLOWS, PACKETS_PER_FLOW)?;
    let more_packets = count_instructions(upstreams, FLOWS, 2 * PACKETS_PER_FLOW)?;
    let packet = (more_packets - base) / f64::from(FLOWS * PACKETS_PER_FLOW);
    let openings = count_instructions(upstreams, FLOWS, 0)?;
    let more_openings = count_instructions(upstreams, 2 * FLOWS, 0)?;
    Some((packet, (more_openings - openings) / f64::from(FLOWS)))
}

/// Instructions of a process that executes [`run_flows`], as valgrind counts them.
fn count_instructions(upstreams: u32, flows: u32, packets: u32) -> Option<f64> {
    let args = [upstreams, flows, packets].map(|n| n.to_string());
    let output = Command::new("valgrind")
        .args(["--tool=callgrind", "--callgrind-out-file=/dev/null"])
        .arg(env::current_exe().ok()?)
        .arg("course")
        .args(args)
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
    let targets = vec![Target { service, weight: 1 }];
    let route = Route { targets, all_services: vec![service], repeatable: true };
    table.routes.insert(SERVICE_ADDR, route);
    for n in 1..=upstreams {
        let id = UpstreamId(u64::from(n));
        let upstream = Upstream {
            id,
            addr: SocketAddrV4::new(Ipv4Addr::from(0x0A00_0000 + n), 80),
            zone: ZoneId((n % 3) as u16),
            service,
            slots: 2,
            accepts_new: true,
            cold_until: Timestamp::default(),
            started_ms: None,
            ended: false,
            unlisted: false,
        };
        table.upstreams.insert(id, upstream);
    }
    let mut engine = Engine::new(NOW, settings);
    engine.apply(Arc::new(table), "a");
    engine
}

/// The opening of the `n`th client's flow.
fn opening(n: u32) -> Packet {
    let client = SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + n), 4_000);
    Packet {
        flow: FlowKey { client, service: SERVICE_ADDR },
        token: Token(0),
        seq: n,
        ack: 0,
        syn: true,
        has_ack: false,
        fin: false,
        rst: false,
        data_len: 0,
    }
}

/// A packet of an open flow, which carries its steering token.
fn data_packet(n: u32, token: Token, step: u32) -> Packet {
    Packet { token, ack: 1 + step * 1_200, syn: false, has_ack: true, ..opening(n) }
}
