//! Addresses and settings of a small deployment on loopback.

use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::path::PathBuf;

use crate::wire;

pub const DATA_PORT: u16 = 8_172;
pub const READY_PORT: u16 = 8_167;
pub const STORE_PORT: u16 = 8_169;

pub struct Site {
    net: u8,
    pub folder: PathBuf,
    pub zones: Vec<String>,
    /// Bounds as in the site's settings.
    pub bounds: &'static [(&'static str, &'static str)],
}

impl Site {
    pub fn new(zones: usize, bounds: &'static [(&'static str, &'static str)]) -> Self {
        let is_free = |net: &u8| {
            UdpSocket::bind(SocketAddrV4::new(Ipv4Addr::new(127, *net, 0, 1), DATA_PORT)).is_ok()
        };
        let net = (0..50).map(|_| 20 + (wire::random() % 200) as u8).find(is_free);
        let Some(net) = net else { crate::cannot_run("addresses") };
        let folder = std::env::temp_dir().join(format!("ibis-review-{}", std::process::id()));
        if fs::create_dir_all(&folder).is_err() {
            crate::cannot_run("folder");
        }
        let zones =
            (0..zones).map(|zone| format!("zone-{}", (b'a' + zone as u8) as char)).collect();
        Self { net, folder, zones, bounds }
    }

    pub fn ip(&self, group: u8, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, group, number as u8)
    }

    pub fn store(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(0, 1), STORE_PORT)
    }

    pub fn settings(&self, name: &str, ip: Ipv4Addr, zone: &str) -> String {
        let mut lines = vec![
            format!("node_name={name}"),
            "role=entry".to_owned(),
            "machine_class=edge".to_owned(),
            "serves=edge".to_owned(),
            format!("ip={ip}"),
            format!("zone={zone}"),
            "region=region-a".to_owned(),
        ];
        lines.extend(self.zones.iter().map(|zone| format!("zones.{zone}=region-a")));
        lines.extend([
            format!("listen.data_addr={ip}:{DATA_PORT}"),
            format!("listen.ready_addr={ip}:{READY_PORT}"),
            "internal_ports=7720,7735".to_owned(),
            "seeds=".to_owned(),
            "bootstrap=true".to_owned(),
            "counts_as_loss=false".to_owned(),
            "limits.cpu_share=0.055".to_owned(),
            "limits.cpus=1".to_owned(),
            "limits.memory_mb=260".to_owned(),
            "limits.max_fds=4100".to_owned(),
            "limits.link_mbps=1000.0".to_owned(),
            "limits.disk_mb=0".to_owned(),
            "discovery=platform".to_owned(),
            "entry=advertise".to_owned(),
            "heartbeat_ms=1200".to_owned(),
            "fault_tolerance.machines=2".to_owned(),
            "fault_tolerance.zones=1".to_owned(),
        ]);
        lines.extend(self.bounds.iter().map(|(name, value)| format!("bounds.{name}={value}")));
        lines.extend([
            "hash=steady".to_owned(),
            "mode=echo".to_owned(),
            format!("platform.addr={}", self.store()),
            "platform.mode=kv".to_owned(),
            "platform.writes_per_s=400".to_owned(),
            "platform.reads_per_s=2000".to_owned(),
            "platform.history_s=20".to_owned(),
            "platform.value_bytes=1048576".to_owned(),
            "platform.ttl_min_ms=1000".to_owned(),
        ]);
        lines.join("\n") + "\n"
    }
}
