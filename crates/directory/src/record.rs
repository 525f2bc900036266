//! Records of the store, decoded and independent of its encoding.

use std::net::SocketAddrV4;
use std::time::Duration;

use steer::UpstreamId;

stdx::value! {
    /// Order of what the store tells. Revisions are given out again when the store comes back from
    /// an older copy, so the era comes first. The era is that of the answer, which may tell a record
    /// that was written in an earlier one.
    #[derive(Default)]
    pub struct Revision {
        /// Number of times that the store has come back from an older copy.
        pub era: u64,
        /// The store's revision.
        pub number: u64,
    }
}

stdx::record! {
    /// Key of a record; the store has at most one record per key.
    #[derive(Hash)]
    pub enum RecordKey {
        /// The configuration.
        Config,
        /// An upstream.
        Upstream(UpstreamId),
        /// A zone that is out of service.
        ZoneOut(String),
        /// An entry, which may be this one.
        Member(String),
    }

    /// A route in the configuration.
    pub struct RouteSpec {
        /// Address and port that clients use.
        pub addr: SocketAddrV4,
        /// Services for new flows, with their weights.
        pub targets: Vec<(String, u32)>,
        /// Whether clients may repeat requests that may have run.
        pub repeatable: bool,
    }

    /// An upstream as registered in the store.
    pub struct UpstreamSpec {
        /// Identifier of the upstream.
        pub id: UpstreamId,
        /// Name of the upstream's service.
        pub service: String,
        /// Address and port at which the upstream receives packets.
        pub addr: SocketAddrV4,
        /// Availability zone of the upstream.
        pub zone: String,
        /// Requests that it runs at a time; 0 if unknown.
        pub slots: u32,
        /// Whether the upstream is draining before it stops.
        pub leaving: bool,
        /// Remaining cold time when the upstream wrote the record.
        pub cold_left: Duration,
        /// Start of the upstream in Unix milliseconds, if known.
        pub started_ms: Option<u64>,
    }

    /// An entry as registered in the store.
    pub struct Member {
        /// Address for messages between entries.
        pub addr: SocketAddrV4,
        /// Availability zone of the entry.
        pub zone: String,
        /// Start of the entry's process in Unix milliseconds.
        pub incarnation: u64,
        /// Capacity of the entry's link in Mbit/s; 0 if unknown.
        pub link_mbps: u32,
    }
}

impl Revision {
    /// Revision `number` in `era`.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

/// Whether anything can be sent to an address.
pub fn is_usable_addr(addr: &SocketAddrV4) -> bool {
    let ip = addr.ip();
    addr.port() != 0 && !ip.is_unspecified() && !ip.is_broadcast() && !ip.is_multicast()
}

/// A service in the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Time for which an upstream is cold after its start.
    pub cold: Duration,
    /// Maximum new flows per second to a cold upstream.
    pub cold_opens_per_s: f64,
}

/// The complete configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Version of the configuration; higher is newer.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteSpec>,
    /// All services.
    pub services: Vec<ServiceSpec>,
}

/// Value of a record.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordValue {
    /// The configuration.
    Config(Config),
    /// An upstream.
    Upstream(UpstreamSpec),
    /// The zone in the key is out of service.
    ZoneOut,
    /// An entry.
    Member(Member),
}

/// A record of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Key of the record.
    pub key: RecordKey,
    /// Revision of the last change.
    pub revision: Revision,
    /// Revision of the creation.
    pub created: Revision,
    /// Value; `None` if the record was removed or can't be decoded.
    pub value: Option<RecordValue>,
}
