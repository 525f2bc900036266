//! Settings of an entry, read from flags and environment variables.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

use flow::key::HashKey;
use settings::{Problems, Reader, Setting};

use crate::logs::Format;

/// Exit code for invalid settings.
pub const EXIT_INVALID_SETTINGS: u8 = 2;

/// Valid numbers of source ports towards upstreams.
const VALID_SOURCE_PORT_COUNTS: std::ops::RangeInclusive<u8> = 1..=64;

const NAME: Setting = Setting {
    flag: "--name",
    env: "IBIS_NAME",
    help: "name of this instance in events and logs",
    default: None,
};
const ZONE: Setting = Setting {
    flag: "--zone",
    env: "IBIS_ZONE",
    help: "availability zone of this instance",
    default: None,
};
const LISTEN: Setting = Setting {
    flag: "--listen",
    env: "IBIS_LISTEN",
    help: "address and UDP port for packets from the fabric and upstreams",
    default: None,
};
const PEER_PORT: Setting = Setting {
    flag: "--peer-port",
    env: "IBIS_PEER_PORT",
    help: "UDP port for packets between entries, the same on all",
    default: Some("7100"),
};
const CONTROL_PORT: Setting = Setting {
    flag: "--control-port",
    env: "IBIS_CONTROL_PORT",
    help: "UDP port for control messages between entries, the same on all",
    default: Some("7101"),
};
const PEER_TARGET: Setting = Setting {
    flag: "--peer-target",
    env: "IBIS_PEER_TARGET",
    help: "UDP port to reach --peer-port of other entries; 0 for the same port",
    default: Some("0"),
};
const CONTROL_TARGET: Setting = Setting {
    flag: "--control-target",
    env: "IBIS_CONTROL_TARGET",
    help: "UDP port to reach --control-port of other entries; 0 for the same port",
    default: Some("0"),
};
const ADMIN: Setting = Setting {
    flag: "--admin",
    env: "IBIS_ADMIN",
    help: "address and TCP port for metrics, readiness and events",
    default: None,
};
const PEERS: Setting = Setting {
    flag: "--peers",
    env: "IBIS_PEERS",
    help: "IPv4 addresses of all entries, separated by commas",
    default: Some(""),
};
const FABRIC: Setting = Setting {
    flag: "--fabric",
    env: "IBIS_FABRIC",
    help: "address and UDP port of the fabric; packets from its address come from callers",
    default: None,
};
const UPSTREAM_PORT: Setting = Setting {
    flag: "--upstream-port",
    env: "IBIS_UPSTREAM_PORT",
    help: "UDP port at which upstreams receive encapsulated packets",
    default: Some("5555"),
};
const SOURCE_PORT_COUNT: Setting = Setting {
    flag: "--source-ports",
    env: "IBIS_SOURCE_PORTS",
    help: "UDP source ports used towards upstreams (1 to 64)",
    default: Some("8"),
};
const PLATFORM: Setting = Setting {
    flag: "--platform",
    env: "IBIS_PLATFORM",
    help: "URL of the platform's key-value service",
    default: Some("http://127.0.0.1:2379"),
};
const CA: Setting = Setting {
    flag: "--ca",
    env: "IBIS_CA",
    help: "PEM file with the certificate authority of all entries",
    default: None,
};
const CERT: Setting = Setting {
    flag: "--cert",
    env: "IBIS_CERT",
    help: "PEM file with this entry's certificate",
    default: None,
};
const KEY: Setting = Setting {
    flag: "--key",
    env: "IBIS_KEY",
    help: "PEM file with this entry's private key",
    default: None,
};
const HASH_KEY: Setting = Setting {
    flag: "--hash-key",
    env: "IBIS_HASH_KEY",
    help: "key of the flow hash, 32 hex digits, the same on all entries",
    default: None,
};
const MAX_FLOWS: Setting = Setting {
    flag: "--max-flows",
    env: "IBIS_MAX_FLOWS",
    help: "maximum number of flows whose home is this entry",
    default: Some("500000"),
};
const MAX_LEARNED: Setting = Setting {
    flag: "--max-learned",
    env: "IBIS_MAX_LEARNED",
    help: "maximum number of flows learned from replies",
    default: Some("1000000"),
};
const PROBES_PER_S: Setting = Setting {
    flag: "--probes-per-s",
    env: "IBIS_PROBES_PER_S",
    help: "maximum probe packets per second for flows whose state was lost",
    default: Some("50000"),
};
const RETRY_PERCENT: Setting = Setting {
    flag: "--retry-percent",
    env: "IBIS_RETRY_PERCENT",
    help: "percentage of openings that may be retried at a second upstream",
    default: Some("10"),
};
const LINGER: Setting = Setting {
    flag: "--linger-ms",
    env: "IBIS_LINGER_MS",
    help: "maximum time that a graceful stop continues to serve, in milliseconds",
    default: Some("5000"),
};
const LOG_FORMAT: Setting = Setting {
    flag: "--log-format",
    env: "IBIS_LOG_FORMAT",
    help: "log format: text or json",
    default: Some("text"),
};
const LOG_FILTER: Setting = Setting {
    flag: "--log",
    env: "IBIS_LOG",
    help: "log filter, such as info or ibis_entry=debug",
    default: Some("info"),
};

const ALL: [Setting; 24] = [
    NAME,
    ZONE,
    LISTEN,
    PEER_PORT,
    CONTROL_PORT,
    PEER_TARGET,
    CONTROL_TARGET,
    ADMIN,
    PEERS,
    FABRIC,
    UPSTREAM_PORT,
    SOURCE_PORT_COUNT,
    PLATFORM,
    CA,
    CERT,
    KEY,
    HASH_KEY,
    MAX_FLOWS,
    MAX_LEARNED,
    PROBES_PER_S,
    RETRY_PERCENT,
    LINGER,
    LOG_FORMAT,
    LOG_FILTER,
];

/// The validated settings of an entry.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this instance.
    pub name: String,
    /// Availability zone of this instance.
    pub zone: String,
    /// Address for packets from the fabric and upstreams. Its IP address identifies this entry.
    pub listen: SocketAddrV4,
    /// Port for packets between entries.
    pub peer_port: u16,
    /// Port for control messages between entries.
    pub control_port: u16,
    /// Port to which packets for other entries are sent.
    pub peer_target: u16,
    /// Port to which control connections to other entries are opened.
    pub control_target: u16,
    /// Address of the admin port.
    pub admin: SocketAddr,
    /// Addresses of all entries.
    pub peers: Vec<Ipv4Addr>,
    /// Address of the fabric.
    pub fabric: SocketAddrV4,
    /// Port at which upstreams receive encapsulated packets.
    pub upstream_port: u16,
    /// Number of source ports towards upstreams.
    pub source_ports: u8,
    /// URL of the platform's service.
    pub platform: String,
    /// PEM file of the certificate authority.
    pub ca: PathBuf,
    /// PEM file of this entry's certificate.
    pub cert: PathBuf,
    /// PEM file of this entry's private key.
    pub key: PathBuf,
    /// Key of the flow hash; must be the same on all entries.
    pub hash_key: HashKey,
    /// Maximum number of flows whose home is this entry.
    pub max_flows: usize,
    /// Maximum number of flows learned from replies.
    pub max_learned: usize,
    /// Maximum probe packets per second.
    pub probes_per_s: u32,
    /// Percentage of openings that may be retried at a second upstream.
    pub retry_percent: u32,
    /// Maximum time that a graceful stop continues to serve.
    pub linger: Duration,
    /// Log format.
    pub log_format: Format,
    /// Log filter, in the syntax of `EnvFilter`.
    pub log_filter: String,
}

impl Settings {
    /// Reads and validates all settings.
    ///
    /// # Errors
    ///
    /// Returns all invalid and missing settings.
    pub fn read(mut reader: Reader) -> Result<Self, Problems> {
        let unspecified = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        let hash_key: String = reader.value(&HASH_KEY, String::new());
        let mut cfg = Self {
            name: reader.value(&NAME, String::new()),
            zone: reader.value(&ZONE, String::new()),
            listen: reader.value(&LISTEN, unspecified),
            peer_port: reader.value(&PEER_PORT, 0),
            control_port: reader.value(&CONTROL_PORT, 0),
            peer_target: 0,
            control_target: 0,
            admin: reader.value(&ADMIN, unspecified.into()),
            peers: reader.list(&PEERS),
            fabric: reader.value(&FABRIC, unspecified),
            upstream_port: reader.value(&UPSTREAM_PORT, 0),
            source_ports: reader.value(&SOURCE_PORT_COUNT, 1),
            platform: reader.value(&PLATFORM, String::new()),
            ca: reader.value(&CA, PathBuf::new()),
            cert: reader.value(&CERT, PathBuf::new()),
            key: reader.value(&KEY, PathBuf::new()),
            hash_key: parse_hash_key(&hash_key).unwrap_or_default(),
            max_flows: reader.value(&MAX_FLOWS, 1),
            max_learned: reader.value(&MAX_LEARNED, 1),
            probes_per_s: reader.value(&PROBES_PER_S, 0),
            retry_percent: reader.value(&RETRY_PERCENT, 0),
            linger: Duration::from_millis(reader.value(&LINGER, 0)),
            log_format: reader.value(&LOG_FORMAT, Format::Text),
            log_filter: reader.value(&LOG_FILTER, String::new()),
        };
        cfg.peer_target = target_port(reader.value(&PEER_TARGET, 0), cfg.peer_port);
        cfg.control_target = target_port(reader.value(&CONTROL_TARGET, 0), cfg.control_port);
        if !hash_key.is_empty() && parse_hash_key(&hash_key).is_none() {
            reader.report(HASH_KEY.flag, "expected 32 hex digits");
        }
        cfg.validate(&mut reader);
        reader.finish()?;
        Ok(cfg)
    }

    fn validate(&self, reader: &mut Reader) {
        if !VALID_SOURCE_PORT_COUNTS.contains(&self.source_ports) {
            reader.report(SOURCE_PORT_COUNT.flag, "expected 1 to 64");
        }
        if self.retry_percent > 100 {
            reader.report(RETRY_PERCENT.flag, "expected at most 100");
        }
        if self.max_flows == 0 {
            reader.report(MAX_FLOWS.flag, "expected at least 1");
        }
        if self.max_learned == 0 {
            reader.report(MAX_LEARNED.flag, "expected at least 1");
        }
        if self.peer_port == self.control_port {
            reader.report(CONTROL_PORT.flag, "must differ from --peer-port");
        }
        if kv::Client::validate_address(&self.platform).is_err() {
            reader.report(PLATFORM.flag, format!("\"{}\" is not a URL", self.platform));
        }
        let files = [(CA, &self.ca), (CERT, &self.cert), (KEY, &self.key)];
        for (setting, path) in files {
            if !path.as_os_str().is_empty() && !path.is_file() {
                reader.report(setting.flag, format!("no file at {}", path.display()));
            }
        }
    }
}

/// The text of `--help`.
pub fn help() -> String {
    settings::help("ibis-entry: forwards packets of flows to upstreams", &ALL)
}

/// The port at which other entries are reached: their own port unless another is configured.
fn target_port(configured: u16, local: u16) -> u16 {
    if configured == 0 { local } else { configured }
}

fn parse_hash_key(text: &str) -> Option<HashKey> {
    let bits = u128::from_str_radix(text, 16).ok()?;
    (text.len() == 32).then_some(HashKey((bits >> 64) as u64, bits as u64))
}
