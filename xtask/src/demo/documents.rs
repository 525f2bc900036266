//! Renders the services' configuration documents with the changes of the demo's operators.

use std::fmt::Write;
use std::net::Ipv4Addr;

use crate::demo::topology::{Service, ZONES};

/// Zones and upstreams that operators have taken out of service.
#[derive(Debug, Clone, Default)]
pub struct OperatorState {
    /// Zones that are out of service, as indices into [`ZONES`].
    pub zones_out: Vec<usize>,
    /// Addresses of draining upstreams.
    pub draining: Vec<Ipv4Addr>,
}

/// The document of a service as TOML.
pub fn render(service: &Service, operator_state: &OperatorState) -> String {
    let in_service: Vec<String> = (0..ZONES.len())
        .filter(|zone| !operator_state.zones_out.contains(zone))
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
        let state =
            if operator_state.draining.contains(&upstream.ip) { "draining" } else { "active" };
        let _ = write!(
            text,
            "\n[[upstreams]]\naddress = \"{}\"\nzone = \"{}\"\nstate = \"{state}\"\n",
            upstream.ip, ZONES[upstream.zone],
        );
    }
    text
}
