//! Which processes the demo consists of and where they listen.

use std::net::{Ipv4Addr, SocketAddr};

/// UDP port at which upstreams are reached, and their own port behind the link.
pub const UPSTREAM_PORT: u16 = 5555;
pub const UPSTREAM_OWN_PORT: u16 = 5655;

/// UDP ports at which entries reach each other, and their own ports behind the links.
pub const PEER_PORT: u16 = 7200;
pub const PEER_OWN_PORT: u16 = 7100;
pub const CONTROL_PORT: u16 = 7201;
pub const CONTROL_OWN_PORT: u16 = 7101;

/// TCP port of each admin page.
pub const ADMIN_PORT: u16 = 9000;

/// UDP port at which entries take packets.
pub const ENTRY_PORT: u16 = 5555;

/// Address of the platform's service and of its faults.
pub const PLATFORM: &str = "127.0.2.1:2379";
pub const PLATFORM_ADMIN: &str = "127.0.2.1:2380";

/// Address of the fabric.
pub const FABRIC_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);

/// The availability zones.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// How large the demo is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scale {
    /// Few processes, for a quick look.
    Small,
    /// The brief's size of today.
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

/// An instance in a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Index into [`ZONES`].
    pub zone: usize,
    /// Its address.
    pub ip: Ipv4Addr,
}

impl Place {
    /// Its admin port.
    pub fn admin(&self) -> SocketAddr {
        SocketAddr::from((self.ip, ADMIN_PORT))
    }
}

/// A service with its upstreams and callers.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: &'static str,
    /// Address that callers use.
    pub address: SocketAddr,
    /// Its upstreams.
    pub upstreams: Vec<Place>,
    /// Address of the first caller.
    pub first_host: Ipv4Addr,
    /// Address of the caller process.
    pub caller_ip: Ipv4Addr,
    /// Callers.
    pub hosts: u32,
    /// Sessions of each caller.
    pub sessions: u32,
    /// Mean time between requests in milliseconds.
    pub think_ms: u32,
    /// Sessions in a hundred that stay silent.
    pub idle_percent: u32,
    /// Requests before a session is closed; 0 for never.
    pub requests: u32,
    /// Time over which sessions are opened, in milliseconds.
    pub ramp_ms: u32,
    /// Priority in the document.
    pub priority: u8,
    /// Open flows an upstream may hold.
    pub max_flows: u32,
}

/// All processes.
#[derive(Debug, Clone)]
pub struct Topology {
    /// Entries, 2 + 1 + 1 over the zones.
    pub entries: Vec<Place>,
    /// Services.
    pub services: Vec<Service>,
}

impl Topology {
    /// The processes of a scale.
    pub fn new(scale: Scale) -> Self {
        let entry =
            |zone: usize, n: u8| Place { zone, ip: Ipv4Addr::new(127, 1, zone as u8 + 1, n) };
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
    pub fn upstreams(&self) -> impl Iterator<Item = Place> + '_ {
        self.services.iter().flat_map(|service| service.upstreams.iter().copied())
    }

    /// Addresses of all entries.
    pub fn entry_ips(&self) -> Vec<Ipv4Addr> {
        self.entries.iter().map(|entry| entry.ip).collect()
    }
}

fn upstream(service: u8, n: u8) -> Place {
    let zone = usize::from(n) % ZONES.len();
    Place { zone, ip: Ipv4Addr::new(127, 2, zone as u8 + 1, service * 32 + n) }
}
