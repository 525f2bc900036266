//! Starts the demo's processes and builds their command lines.

use std::net::Ipv4Addr;

use crate::demo::process::{Process, ProgramRunner};
use crate::demo::topology::{
    ADMIN_PORT, CONTROL_LISTEN_PORT, CONTROL_PORT, ENTRY_PORT, FABRIC_IP, Instance,
    PEER_LISTEN_PORT, PEER_PORT, PLATFORM, PLATFORM_ADMIN, Service, Topology, UPSTREAM_LISTEN_PORT,
    UPSTREAM_PORT, ZONES,
};
use crate::error::Result;
use crate::keys;

/// Key of the flow hash in the demo.
const HASH_KEY: &str = "000102030405060708090a0b0c0d0e0f";

/// Starts the processes of a topology.
#[derive(Debug, Clone)]
pub struct Launcher {
    /// Instances and services to start.
    pub topology: Topology,
    /// Runs the programs.
    pub runner: ProgramRunner,
}

impl Launcher {
    /// Starts the platform's service.
    pub fn platform(&self) -> Result<Process> {
        let args = [format!("--listen={PLATFORM}"), format!("--admin={PLATFORM_ADMIN}")];
        self.runner.start("platform", "standin-platform", &args)
    }

    /// Starts the fabric.
    pub fn fabric(&self) -> Result<Process> {
        let member = |entry: &Instance| format!("{}:{ENTRY_PORT}/{}", entry.ip, entry.admin());
        let members: Vec<String> = self.topology.entries.iter().map(member).collect();
        let args = [
            format!("--members={}", members.join(",")),
            format!("--links={}", self.links().join(",")),
            format!("--admin={FABRIC_IP}:{ADMIN_PORT}"),
        ];
        self.runner.start("fabric", "standin-fabric", &args)
    }

    /// Starts all upstreams.
    pub fn upstreams(&self) -> Result<Vec<Process>> {
        let all =
            self.topology.services.iter().flat_map(|service| {
                service.upstreams.iter().map(move |upstream| (service, upstream))
            });
        all.map(|(service, upstream)| {
            let name = format!("upstream-{}", upstream.ip);
            self.runner.start(&name, "standin-upstream", &upstream_args(service, upstream))
        })
        .collect()
    }

    /// Starts the entry with this index in the topology.
    pub fn entry(&self, index: usize) -> Result<Process> {
        let entry = self.topology.entries[index];
        let files = keys::files(&self.runner.dir().join("keys"), entry.ip);
        let peers: Vec<String> =
            self.topology.entry_ips().iter().map(Ipv4Addr::to_string).collect();
        let name = format!("entry-{}", entry.ip);
        let args = [
            format!("--name={name}"),
            format!("--zone={}", ZONES[entry.zone]),
            format!("--listen={}:{ENTRY_PORT}", entry.ip),
            format!("--admin={}", entry.admin()),
            format!("--peers={}", peers.join(",")),
            format!("--fabric={FABRIC_IP}:5555"),
            format!("--upstream-port={UPSTREAM_PORT}"),
            format!("--peer-port={PEER_LISTEN_PORT}"),
            format!("--peer-target={PEER_PORT}"),
            format!("--control-port={CONTROL_LISTEN_PORT}"),
            format!("--control-target={CONTROL_PORT}"),
            format!("--platform=http://{PLATFORM}"),
            format!("--ca={}", files.ca.display()),
            format!("--cert={}", files.cert.display()),
            format!("--key={}", files.key.display()),
            format!("--hash-key={HASH_KEY}"),
        ];
        self.runner.start(&name, "ibis-entry", &args)
    }

    /// Starts the caller process of a service.
    pub fn callers(&self, service: &Service) -> Result<Process> {
        let name = format!("caller-{}", service.name);
        self.runner.start(&name, "standin-caller", &caller_args(service))
    }

    fn links(&self) -> Vec<String> {
        let mut links = Vec::new();
        for entry in &self.topology.entries {
            links.push(format!("{}:{PEER_PORT}/{PEER_LISTEN_PORT}", entry.ip));
            links.push(format!("{}:{CONTROL_PORT}/{CONTROL_LISTEN_PORT}", entry.ip));
        }
        for upstream in self.topology.upstreams() {
            links.push(format!("{}:{UPSTREAM_PORT}/{UPSTREAM_LISTEN_PORT}", upstream.ip));
        }
        links
    }
}

fn upstream_args(service: &Service, upstream: &Instance) -> Vec<String> {
    vec![
        format!("--listen={}:{UPSTREAM_LISTEN_PORT}", upstream.ip),
        format!("--admin={}:{ADMIN_PORT}", upstream.ip),
        format!("--fabric={FABRIC_IP}:5556"),
        format!("--service={}", service.address),
    ]
}

fn caller_args(service: &Service) -> Vec<String> {
    vec![
        format!("--listen={}:0", service.caller_ip),
        format!("--fabric={FABRIC_IP}:7000"),
        format!("--service={}", service.address),
        format!("--first-host={}", service.first_host),
        format!("--hosts={}", service.hosts),
        format!("--sessions={}", service.sessions),
        format!("--think-ms={}", service.think_ms),
        format!("--idle-percent={}", service.idle_percent),
        format!("--requests={}", service.requests),
        format!("--ramp-ms={}", service.ramp_ms),
    ]
}
