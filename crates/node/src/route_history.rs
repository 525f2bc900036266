//! Exchange of the services that routes have named: an entry that starts after a route has moved to
//! another service asks the other entries, because flows may be open at the earlier one.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use peer_proto::v1;
use peer_proto::v1::reach::Kind;
use stdx::time::Timestamp;

/// Routes per message; a message has to fit into a datagram.
const MAX_ROUTES_PER_MESSAGE: usize = 8;

/// Entries that are asked at once.
pub const LOOKUP_RECIPIENTS: usize = 3;

/// Interval of lookups without an answer. Other entries ignore an entry that they don't know yet.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(500);

/// Lookups after which there is nobody who knows.
const MAX_LOOKUPS: u32 = 10;

/// Decides when other entries are asked for the services of routes.
#[derive(Debug, Clone)]
pub struct RouteLookup {
    remaining: u32,
    next_at: Timestamp,
}

impl Default for RouteLookup {
    fn default() -> Self {
        Self { remaining: MAX_LOOKUPS, next_at: Timestamp::default() }
    }
}

impl RouteLookup {
    /// Returns the number of the lookup to send now, if one is due.
    pub fn next(&mut self, now: Timestamp) -> Option<u32> {
        if self.remaining == 0 || now < self.next_at {
            return None;
        }
        self.remaining -= 1;
        self.next_at = now + LOOKUP_INTERVAL;
        Some(MAX_LOOKUPS - 1 - self.remaining)
    }

    /// Another entry has answered.
    pub fn on_answer(&mut self) {
        self.remaining = 0;
    }

    /// Whether this entry knows what others can tell, so that it can answer lookups itself.
    pub fn is_done(&self) -> bool {
        self.remaining == 0
    }
}

/// The message that asks for the services of routes.
pub fn encode_lookup() -> Vec<u8> {
    peer_proto::encode_reach(Kind::RouteLookup(v1::RouteLookup {}))
}

/// Messages with the services of routes; at least one, so that the sender of the lookup stops.
pub fn encode<'a>(routes: impl Iterator<Item = (SocketAddrV4, &'a [String])>) -> Vec<Vec<u8>> {
    let routes: Vec<v1::RouteHistory> = routes
        .map(|(addr, services)| v1::RouteHistory {
            service_ip: (*addr.ip()).into(),
            service_port: addr.port().into(),
            services: services.to_vec(),
        })
        .collect();
    let encode = |routes: &[v1::RouteHistory]| {
        let routes = routes.to_vec();
        peer_proto::encode_reach(Kind::RouteServices(v1::RouteServices { routes }))
    };
    if routes.is_empty() {
        return vec![encode(&[])];
    }
    routes.chunks(MAX_ROUTES_PER_MESSAGE).map(encode).collect()
}

/// The valid routes of a message.
pub fn decode(msg: &v1::RouteServices) -> impl Iterator<Item = (SocketAddrV4, &[String])> {
    msg.routes.iter().filter_map(|route| {
        let port = u16::try_from(route.service_port).ok()?;
        let addr = SocketAddrV4::new(Ipv4Addr::from(route.service_ip), port);
        Some((addr, route.services.as_slice()))
    })
}
