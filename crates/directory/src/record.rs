//! What the store says, in the project's own words.

use std::net::SocketAddrV4;
use std::time::Duration;

use steer::UpstreamId;

stdx::record! {
    /// What a fact is about. There is one fact a subject.
    #[derive(Hash)]
    pub enum RecordKey {
        /// The configuration.
        Config,
        /// An upstream.
        Upstream(UpstreamId),
        /// A zone that was taken out of service.
        ZoneOut(String),
        /// Another entry, or this one.
        Member(String),
    }

    /// A route of the configuration.
    pub struct RouteSpec {
        /// Address and port that clients use.
        pub addr: SocketAddrV4,
        /// Services of new flows with their weights.
        pub targets: Vec<(String, u32)>,
    }

    /// What an upstream says of itself.
    pub struct UpstreamSpec {
        /// Its number.
        pub id: UpstreamId,
        /// Its service.
        pub service: String,
        /// Where it receives packets.
        pub addr: SocketAddrV4,
        /// Its availability zone.
        pub zone: String,
        /// Whether it is about to stop.
        pub leaving: bool,
        /// How long it stays cold, counted from when it wrote this.
        pub cold_left: Duration,
        /// Unix milliseconds of its start, if it says so.
        pub started_ms: Option<u64>,
    }

    /// What an entry says of itself.
    pub struct Member {
        /// Where it talks to other entries.
        pub addr: SocketAddrV4,
        /// Its availability zone.
        pub zone: String,
        /// Start of its process, Unix milliseconds.
        pub incarnation: u64,
        /// Capacity of its link in Mbit/s; 0 if it does not say.
        pub link_mbps: u32,
    }
}

/// A service of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// How long an upstream is cold after its start.
    pub cold: Duration,
    /// New flows a second that a cold upstream bears.
    pub cold_opens_per_s: f64,
}

/// The configuration in full.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Its version; higher is newer.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteSpec>,
    /// Services.
    pub services: Vec<ServiceSpec>,
}

/// A fact.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordValue {
    /// The configuration.
    Config(Config),
    /// An upstream.
    Upstream(UpstreamSpec),
    /// The zone of the subject is out of service.
    ZoneOut,
    /// An entry.
    Member(Member),
}

/// A fact as the store holds it.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// What it is about.
    pub key: RecordKey,
    /// The revision of its last change.
    pub revision: u64,
    /// The revision of its creation.
    pub created: u64,
    /// The fact; `None` if it was removed, or can't be read and so names nothing to use.
    pub value: Option<RecordValue>,
}
