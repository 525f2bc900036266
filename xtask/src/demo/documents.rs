//! The services' documents as the demo's operators edit them.

use std::fmt::Write;
use std::net::Ipv4Addr;

use crate::demo::topology::{Service, ZONES};

/// What operators have decided so far.
#[derive(Debug, Clone, Default)]
pub struct Decisions {
    /// Zones that are out of service, by index.
    pub zones_out: Vec<usize>,
    /// Upstreams that are draining.
    pub draining: Vec<Ipv4Addr>,
}

/// The document of a service.
pub fn text(service: &Service, decisions: &Decisions) -> String {
    let in_service: Vec<String> = (0..ZONES.len())
        .filter(|zone| !decisions.zones_out.contains(zone))
        .map(|zone| format!("\"{}\"", ZONES[zone]))
        .collect();
    let mut text = format!(
        "version = 1\nservice = \"{}\"\naddress = \"{}\"\nprotocol = \"tcp\"\nzones = [{}]\n\
         priority = {}\n\n[limits]\nflows = {}\ncold_flows = {}\ncold_opens_per_s = 2000\n\
         cold_ramp = \"3s\"\n\n[timeouts]\nidle = \"2h\"\nopening = \"300ms\"\n",
        service.name,
        service.address,
        in_service.join(", "),
        service.priority,
        service.max_flows,
        service.max_flows / 4,
    );
    for upstream in &service.upstreams {
        let state = if decisions.draining.contains(&upstream.ip) { "draining" } else { "active" };
        let _ = write!(
            text,
            "\n[[upstreams]]\naddress = \"{}\"\nzone = \"{}\"\nstate = \"{state}\"\n",
            upstream.ip, ZONES[upstream.zone],
        );
    }
    text
}
