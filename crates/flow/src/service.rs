//! Services as the engine needs them.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use balance::{Limits, Spec};
use indexmap::IndexMap;
use packet::Protocol;

stdx::value! {
    /// What may be sent to an upstream.
    pub enum AdminState {
        /// New and established flows.
        Active,
        /// Established flows only.
        Draining,
        /// Nothing: its availability zone is out of service.
        OutOfService,
    }

    /// The address that callers use.
    pub struct Address {
        /// Transport protocol.
        pub protocol: Protocol,
        /// Address and port.
        pub socket: SocketAddrV4,
    }
}

stdx::record! {
    /// One upstream of a service.
    pub struct Upstream {
        /// What may be sent to it.
        pub admin_state: AdminState,
        /// Relative share of flows.
        pub weight: u32,
    }

    /// One service.
    pub struct Service {
        /// Its name, for counters and events.
        pub name: String,
        /// The address that callers use.
        pub address: Address,
        /// Its upstreams by address.
        pub upstreams: IndexMap<Ipv4Addr, Upstream>,
        /// Limits of each upstream.
        pub limits: Limits,
        /// Whether an opening that carries payload may be tried at a second upstream.
        pub repeatable: bool,
        /// Time after which a silent flow is forgotten.
        pub idle_timeout: Duration,
        /// Time without an answer after which an opening is tried elsewhere.
        pub opening_timeout: Duration,
    }
}

impl Service {
    /// The upstreams as the choice needs them.
    pub fn specs(&self) -> Vec<Spec> {
        let spec = |(ip, upstream): (&Ipv4Addr, &Upstream)| Spec {
            upstream: *ip,
            weight: upstream.weight,
            eligible: upstream.admin_state == AdminState::Active,
            limits: self.limits,
        };
        self.upstreams.iter().map(spec).collect()
    }

    /// What may be sent to an address; `None` if it is not an upstream of this service.
    pub fn admin_state(&self, upstream: Ipv4Addr) -> Option<AdminState> {
        self.upstreams.get(&upstream).map(|upstream| upstream.admin_state)
    }
}

/// All services by address.
pub type Services = IndexMap<Address, Service>;
