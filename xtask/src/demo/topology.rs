//! The demo's instances, their addresses and ports, and its services.

use std::net::{Ipv4Addr, SocketAddr};

/// UDP port at which upstreams are addressed.
pub const UPSTREAM_PORT: u16 = 5555;

/// UDP port that upstreams listen on, behind the fabric's link.
pub const UPSTREAM_LISTEN_PORT: u16 = 5655;

/// UDP port at which entries address each other for relayed packets.
pub const PEER_PORT: u16 = 7200;

/// UDP port that entries listen on for relayed packets, behind the fabric's link.
pub const PEER_LISTEN_PORT: u16 = 7100;

/// UDP port at which entries address each other for control messages.
pub const CONTROL_PORT: u16 = 7201;

/// UDP port that entries listen on for control messages, behind the fabric's link.
pub const CONTROL_LISTEN_PORT: u16 = 7101;

/// TCP port of each process's admin server.
pub const ADMIN_PORT: u16 = 9000;

/// UDP port at which entries receive packets from the fabric.
pub const ENTRY_PORT: u16 = 5555;

/// Address of the platform's service.
pub const PLATFORM: &str = "127.0.2.1:2379";

/// Address of the admin server of the platform's service, which injects faults.
pub const PLATFORM_ADMIN: &str = "127.0.2.1:2380";

/// Address of the fabric.
pub const FABRIC_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);

/// The availability zones.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Size of the demo.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scale {
    /// Few processes, for a quick trial.
    Small,
    /// The size of the present deployment.
    Today,
}

impl std::str::FromStr for Scale {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "small" => Ok(Self::Small),
            "today" => Ok(Self::Today),
            _ => Err("expected small or today"),
        }
    }
}

/// An entry or upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Instance {
    /// Index into [`ZONES`].
    pub zone: usize,
    /// IP address.
    pub ip: Ipv4Addr,
}

impl Instance {
    /// Address of the admin server.
    pub fn admin(&self) -> SocketAddr {
        SocketAddr::from((self.ip, ADMIN_PORT))
    }
}

/// A service with its upstreams and callers.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name in the documents and logs.
    pub name: &'static str,
    /// Address that callers use.
    pub address: SocketAddr,
    /// Upstreams in the document.
    pub upstreams: Vec<Instance>,
    /// Address of the first caller; the others follow it.
    pub first_host: Ipv4Addr,
    /// Address that the caller process listens on.
    pub caller_ip: Ipv4Addr,
    /// Number of callers.
    pub hosts: u32,
    /// Sessions per caller.
    pub sessions: u32,
    /// Mean time between requests of a session in milliseconds.
    pub think_ms: u32,
    /// Percentage of sessions that stay idle after their first request and send one last request at
    /// shutdown.
    pub idle_percent: u32,
    /// Requests after which a session is closed; 0 for no limit.
    pub requests: u32,
    /// Time over which the sessions are opened, in milliseconds.
    pub ramp_ms: u32,
    /// Priority in the document.
    pub priority: u8,
    /// Maximum number of open flows per upstream.
    pub max_flows: u32,
}

/// The entries, and the services with their upstreams and callers.
#[derive(Debug, Clone)]
pub struct Topology {
    /// Entries: two in the first zone, one in each other zone.
    pub entries: Vec<Instance>,
    /// Services, each with its upstreams and callers.
    pub services: Vec<Service>,
}

impl Topology {
    /// The topology for a scale.
    pub fn new(scale: Scale) -> Self {
        let entry =
            |zone: usize, n: u8| Instance { zone, ip: Ipv4Addr::new(127, 1, zone as u8 + 1, n) };
        let entries = vec![entry(0, 1), entry(0, 2), entry(1, 1), entry(2, 1)];
        let (desk, catalogue) = match scale {
            Scale::Small => ((6, 16, 25, 500, 2_000), (3, 8, 25, 500, 2_000)),
            Scale::Today => ((14, 560, 50, 30_000, 10_000), (4, 160, 50, 30_000, 10_000)),
        };
        let service = |index: u8, name, size: (u8, u32, u32, u32, u32), requests, priority| {
            let (upstreams, hosts, sessions, think_ms, ramp_ms) = size;
            Service {
                name,
                address: SocketAddr::from(([10, 10, 0, index], 4000)),
                upstreams: (0..upstreams).map(|n| upstream(index, n)).collect(),
                first_host: Ipv4Addr::new(10, 20 + index, 0, 1),
                caller_ip: Ipv4Addr::new(127, 3, 0, index),
                hosts,
                sessions,
                think_ms,
                idle_percent: 50,
                requests,
                ramp_ms,
                priority,
                max_flows: 8_000,
            }
        };
        let services =
            vec![service(1, "order-desk", desk, 0, 0), service(2, "catalogue", catalogue, 4, 1)];
        Self { entries, services }
    }

    /// All upstreams of all services.
    pub fn upstreams(&self) -> impl Iterator<Item = Instance> + '_ {
        self.services.iter().flat_map(|service| service.upstreams.iter().copied())
    }

    /// Addresses of all entries.
    pub fn entry_ips(&self) -> Vec<Ipv4Addr> {
        self.entries.iter().map(|entry| entry.ip).collect()
    }
}

fn upstream(service: u8, n: u8) -> Instance {
    let zone = usize::from(n) % ZONES.len();
    Instance { zone, ip: Ipv4Addr::new(127, 2, zone as u8 + 1, service * 32 + n) }
}
