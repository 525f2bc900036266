//! Configuration of services and their upstreams.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use balance::{Limits, Spec};
use indexmap::IndexMap;
use packet::Protocol;

stdx::value! {
    /// Which traffic an upstream may get.
    pub enum AdminState {
        /// Gets new and established flows.
        Active,
        /// Gets established flows only.
        Draining,
        /// Gets no traffic, because its availability zone is out of service.
        OutOfService,
    }

    /// The address of a service, used by callers.
    pub struct Address {
        /// Transport protocol.
        pub protocol: Protocol,
        /// IP address and port.
        pub socket: SocketAddrV4,
    }
}

stdx::record! {
    /// An upstream of a service.
    pub struct Upstream {
        /// Which traffic it may get.
        pub admin_state: AdminState,
        /// Relative weight in the choice of an upstream.
        pub weight: u32,
    }

    /// A service and its upstreams.
    pub struct Service {
        /// The name, used in metrics and events.
        pub name: String,
        /// The address that callers use.
        pub address: Address,
        /// The upstreams by address.
        pub upstreams: IndexMap<Ipv4Addr, Upstream>,
        /// Limits that apply to each upstream.
        pub limits: Limits,
        /// Whether an opening that carries payload may be retried at another upstream.
        pub repeatable: bool,
        /// Time without packets after which a flow is removed.
        pub idle_timeout: Duration,
        /// Time without an answer after which an opening is retried at another upstream.
        pub opening_timeout: Duration,
    }
}

impl Service {
    /// The upstreams in the form that [`balance::Pool::apply`] takes.
    pub fn specs(&self) -> Vec<Spec> {
        let spec = |(ip, upstream): (&Ipv4Addr, &Upstream)| Spec {
            upstream: *ip,
            weight: upstream.weight,
            eligible: upstream.admin_state == AdminState::Active,
            limits: self.limits,
        };
        self.upstreams.iter().map(spec).collect()
    }

    /// The state of an upstream; `None` if the address is not an upstream of this service.
    pub fn admin_state(&self, upstream: Ipv4Addr) -> Option<AdminState> {
        self.upstreams.get(&upstream).map(|upstream| upstream.admin_state)
    }
}

/// All services by address.
pub type Services = IndexMap<Address, Service>;
