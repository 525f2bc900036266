//! Growth of memory, message sizes and times with the numbers of members, upstreams and flows, as
//! used in docs/CAPACITY.md.
//!
//! Times depend on the machine and build; only their growth is comparable. Each is the shortest of
//! a few runs.

use std::fmt::Write;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use balance::{Pool, Share};
use config::{Document, Revision};
use flow::key::HashKey;
use flow::table::Table;
use flow::{Homes, Id, Key};
use membership::{Heartbeat, Members, Timing};
use packet::Protocol;
use peer_proto::v1;
use stdx::time::Timestamp;

use crate::measure::report::{Bound, Report};

const NOW: Timestamp = Timestamp::from_secs(1_000);

/// Runs all measurements of slopes.
pub fn run(report: &mut Report) {
    heartbeat_bytes(report);
    for members in [4_u32, 64, 512] {
        home_table_time(report, members);
        heartbeat_and_view_time(report, members);
    }
    for upstreams in [4_u32, 64, 512] {
        document_size_and_time(report, upstreams);
        choice_time(report, upstreams);
    }
    for flows in [10_000_u32, 100_000, 1_000_000] {
        lookup_time(report, flows);
    }
    bytes_per_flow::<2>(report, "learned");
    bytes_per_flow::<4>(report, "home");
}

/// Size of an encoded heartbeat, without and with cold upstreams.
fn heartbeat_bytes(report: &mut Report) {
    for cold in [0_u32, 14] {
        let cold_starts = (0..cold).map(|n| v1::ColdStart { upstream: n, since: NOW.as_micros() });
        let heartbeat = v1::Heartbeat {
            id: u32::MAX,
            zone: "hu-central-1a".to_owned(),
            incarnation: NOW.as_micros(),
            sequence: 1_000_000,
            ready: true,
            leaving: false,
            clock_micros: NOW.as_micros(),
            clock_counter: 3,
            documents: u64::MAX,
            cold_starts: cold_starts.collect(),
        };
        let bytes = peer_proto::encode_control(v1::control::Kind::Heartbeat(heartbeat)).len();
        let name = format!("slope.heartbeat_bytes.{cold}_cold");
        report.record(&name, bytes as f64, "bytes", Bound::None);
    }
}

/// Time to reassign all slots to the homes of a new view.
fn home_table_time(report: &mut Report, members: u32) {
    let all: Vec<Id> = (0..members).map(|n| Id(Ipv4Addr::from_bits(n + 1))).collect();
    let mut homes = Homes::new(NOW, HashKey(1, 2));
    let micros = shortest_us(3, || {
        homes.set_members(NOW, &all[1..]);
        homes.set_members(NOW, &all);
    }) / 2.0;
    report.record(&format!("slope.home_table_us.{members}_members"), micros, "us", Bound::None);
}

/// Time to process a heartbeat and to compute the view.
fn heartbeat_and_view_time(report: &mut Report, members: u32) {
    let timing = Timing {
        suspect_after: Duration::from_secs(1),
        dead_after: Duration::from_secs(10),
        pause_threshold: Duration::from_secs(1),
        confirm_timeout: Duration::from_secs(1),
    };
    let seeds: Vec<Ipv4Addr> = (1..=members).map(Ipv4Addr::from_bits).collect();
    let mut membership = Members::new(NOW, seeds[0], &seeds, timing);
    let mut sequence = 0;
    let micros = shortest_us(3, || {
        for _ in 0..100 {
            sequence += 1;
            let id = seeds[1 + sequence as usize % (seeds.len() - 1)];
            let heartbeat =
                Heartbeat { id, incarnation: NOW, sequence, ready: true, leaving: false };
            membership.on_heartbeat(NOW, heartbeat);
            black_box(membership.view(NOW));
        }
    }) / 100.0;
    report.record(
        &format!("slope.heartbeat_and_view_us.{members}_members"),
        micros,
        "us",
        Bound::None,
    );
}

/// Size of a document and the time to validate and apply it.
fn document_size_and_time(report: &mut Report, upstreams: u32) {
    let mut text = "version = 1\nservice = \"desk\"\naddress = \"10.10.0.1:4000\"\n\
        protocol = \"tcp\"\nzones = [\"a\"]\n[limits]\nflows = 2000\ncold_flows = 100\n\
        cold_opens_per_s = 50\ncold_ramp = \"30s\"\n"
        .to_owned();
    for n in 0..upstreams {
        let ip = Ipv4Addr::from_bits(Ipv4Addr::new(127, 2, 0, 0).to_bits() + n);
        let _ = write!(text, "[[upstreams]]\naddress = \"{ip}\"\nzone = \"a\"\n");
    }
    let parsed = Document::parse(&text).is_ok();
    debug_assert!(parsed);
    let mut revision = 0;
    let mut documents = config::DocumentSet::default();
    let micros = shortest_us(5, || {
        revision += 1;
        black_box(documents.offer("desk", Revision(revision), &text));
    });
    let bytes = text.len() as f64;
    report.record(
        &format!("slope.document_bytes.{upstreams}_upstreams"),
        bytes,
        "bytes",
        Bound::None,
    );
    report.record(
        &format!("slope.document_apply_us.{upstreams}_upstreams"),
        micros,
        "us",
        Bound::None,
    );
}

/// Time to choose an upstream for a flow.
fn choice_time(report: &mut Report, upstreams: u32) {
    let limits = balance::Limits {
        flows: 1_000_000,
        cold_flows: 1_000_000,
        cold_opens_per_s: 1_000_000,
        ramp: Duration::from_millis(1),
    };
    let spec = |n| balance::Spec {
        upstream: Ipv4Addr::from_bits(n + 1),
        weight: 1,
        eligible: true,
        limits,
    };
    let specs: Vec<_> = (0..upstreams).map(spec).collect();
    let mut pool = Pool::default();
    pool.apply(Timestamp::default(), &specs);
    let micros = shortest_us(3, || {
        for _ in 0..1_000 {
            let _ = black_box(pool.open(NOW, Share { entries: 4 }, &[]));
        }
    }) / 1_000.0;
    report.record(&format!("slope.choice_us.{upstreams}_upstreams"), micros, "us", Bound::None);
}

/// Time of a lookup in a flow table.
fn lookup_time(report: &mut Report, flows: u32) {
    let mut table = Table::new(flows as usize);
    for n in 0..flows {
        table.insert(key(n), [0_u32; 4], |value| value[0]);
    }
    let micros = shortest_us(3, || {
        for n in 0..10_000_u32 {
            black_box(table.get(&key(n.wrapping_mul(7_919) % flows)));
        }
    }) / 10_000.0;
    report.record(&format!("slope.lookup_us.{flows}_flows"), micros, "us", Bound::None);
}

/// Memory per flow in a table with values of `WORDS` words of 4 bytes, from the growth of the
/// process's resident memory.
fn bytes_per_flow<const WORDS: usize>(report: &mut Report, name: &str) {
    const FLOWS: u32 = 500_000;
    let start_bytes = resident_bytes();
    let mut table = Table::new(FLOWS as usize);
    for n in 0..FLOWS {
        table.insert(key(n), [0_u32; WORDS], |value| value[0]);
    }
    let growth_bytes = resident_bytes() - start_bytes;
    black_box(&table);
    let name = format!("slope.bytes_per_flow.{name}");
    report.record(&name, growth_bytes / f64::from(FLOWS), "bytes", Bound::None);
}

/// Resident memory of this process, from `/proc`.
fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn key(n: u32) -> Key {
    let caller = SocketAddrV4::new(Ipv4Addr::from_bits(0x0a00_0000 + n), 5_000);
    Key::new(Protocol::Tcp, caller, SocketAddrV4::new(Ipv4Addr::new(10, 10, 0, 1), 4_000))
}

/// The shortest of `runs` run times of `f` in microseconds.
fn shortest_us(runs: u32, mut f: impl FnMut()) -> f64 {
    let time = |_| {
        let start = Instant::now();
        f();
        start.elapsed().as_secs_f64() * 1e6
    };
    (0..runs).map(time).fold(f64::INFINITY, f64::min)
}
