//! Routing table: routes, services, zones and upstreams. It is immutable and replaced as a whole.

use std::net::SocketAddrV4;

use indexmap::{IndexMap, IndexSet};
use stdx::hash;
use stdx::time::Timestamp;

/// Keeps the binding of sequence number 0 from being 0.
const BINDING_SEED: u64 = 0x9E37_79B9_7F4A_7C15;

stdx::value! {
    /// Identifies an upstream for its whole lifetime.
    pub struct UpstreamId(pub u64);

    /// The steering token in a flow's packets, which names the upstream; in openings it is bound to
    /// the client's initial sequence number. Zero names none.
    #[derive(Default)]
    pub struct Token(pub u32);

    /// An availability zone, as an index into [`Table::zones`].
    pub struct ZoneId(pub u16);

    /// A service, as an index into [`Table::services`].
    pub struct ServiceId(pub u16);

    /// A weighted target of a route.
    pub struct Target {
        /// The service that receives the flows.
        pub service: ServiceId,
        /// Weight relative to the route's other targets.
        pub weight: u32,
    }
}

stdx::record! {
    /// The services behind an address.
    pub struct Route {
        /// Targets of new flows; more than one if the route is split.
        pub targets: Vec<Target>,
        /// Every service that the route has named since this process started. Open flows may still
        /// be at any of them.
        pub all_services: Vec<ServiceId>,
        /// Whether clients may repeat its requests, so that a reset costs them nothing but time.
        pub repeatable: bool,
    }

    /// An upstream.
    pub struct Upstream {
        /// The upstream's identifier.
        pub id: UpstreamId,
        /// The address at which it receives packets.
        pub addr: SocketAddrV4,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Its service.
        pub service: ServiceId,
        /// Requests that it runs at a time; 0 if unknown.
        pub slots: u32,
        /// Whether it is eligible for new flows.
        pub accepts_new: bool,
        /// End of its warm-up; in the past if it is warm.
        pub cold_until: Timestamp,
        /// Unix time of its start in milliseconds, if reported. A different value is a new process.
        pub started_ms: Option<u64>,
        /// Whether it has stopped for good: by a planned shutdown, or because another upstream has
        /// its address.
        pub ended: bool,
        /// Whether its record was removed without notice. It may still serve its open flows.
        pub unlisted: bool,
    }
}

stdx::record! {
    /// A service and its limit for cold upstreams.
    pub struct Service {
        /// The service's name.
        pub name: String,
        /// Maximum number of new flows that all entries together open at a cold upstream in any
        /// second.
        pub cold_opens_per_s: u32,
    }
}

/// The routing table.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Whether the configuration and at least one upstream have been read, so that flows can be
    /// opened.
    pub synced: bool,
    /// Version of the configuration.
    pub version: u64,
    /// Routes by the address and port that clients connect to.
    pub routes: IndexMap<SocketAddrV4, Route>,
    /// Addresses whose route the configuration has removed since this process started.
    pub removed_routes: IndexSet<SocketAddrV4>,
    /// Services, indexed by [`ServiceId`].
    pub services: Vec<Service>,
    /// Names of the zones, indexed by [`ZoneId`].
    pub zones: Vec<String>,
    /// Upstreams that accept new flows or may have open ones.
    pub upstreams: IndexMap<UpstreamId, Upstream>,
    /// Identifiers of the entries that may open flows, including this one.
    pub entries: Vec<u64>,
    /// This entry's identifier.
    pub own_entry: u64,
}

impl Table {
    /// This entry's share of a limit of `total` new flows per second at an upstream.
    ///
    /// A hash orders the entries, identically at all of them and differently for each upstream. The
    /// remainder of the division goes to the first entries in this order, so that small limits are
    /// used and never exceeded.
    pub fn own_share(&self, total: u32, upstream: UpstreamId) -> u32 {
        let weight = |entry: u64| hash::mix(entry ^ hash::mix(upstream.0));
        let own = weight(self.own_entry);
        let rank = self.entries.iter().filter(|entry| weight(**entry) < own).count() as u32;
        let count = self.entries.len().max(1) as u32;
        total / count + u32::from(rank < total % count)
    }
}

impl From<UpstreamId> for u64 {
    fn from(id: UpstreamId) -> Self {
        id.0
    }
}

impl UpstreamId {
    /// The upstream's token. It depends on the identifier alone, so all entries agree without
    /// communication.
    pub const fn token(self) -> Token {
        Token((self.0 ^ (self.0 >> 32)) as u32)
    }
}

impl Token {
    /// The token's form in an opening of a client whose sequence numbers start at `initial_seq`.
    /// Binding a bound token again restores it.
    ///
    /// An upstream that lost a hedged opening may answer it at any time, and the client then
    /// returns the token of that opening. Only a client's first packets acknowledge an opening, and
    /// their sequence number reverts the binding. In any later packet the token names no upstream.
    #[must_use]
    pub const fn bound_to(self, initial_seq: u32) -> Self {
        Self(self.0 ^ hash::mix(BINDING_SEED ^ initial_seq as u64) as u32)
    }
}

impl Route {
    /// The service of a new flow; `split_key` selects among the weighted targets.
    pub fn service_for(&self, split_key: u64) -> Option<ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut rest = split_key.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if rest < weight {
                return Some(target.service);
            }
            rest -= weight;
        }
        None
    }
}
