//! Converts service documents to the engine's services.

use balance::Limits;
use config::revision::AppliedDocument;
use config::{Document, UpstreamState};
use flow::service::{Address, AdminState, Upstream};
use flow::{Service, Services};
use indexmap::IndexMap;

/// The services of all applied documents.
pub fn services(documents: &IndexMap<String, AppliedDocument>) -> Services {
    documents.values().map(|applied| service(&applied.document)).map(|s| (s.address, s)).collect()
}

fn service(document: &Document) -> Service {
    let upstream = |upstream: &config::Upstream| Upstream {
        admin_state: admin_state(document, upstream),
        weight: upstream.weight,
    };
    Service {
        name: document.service.clone(),
        address: Address { protocol: document.protocol, socket: document.address },
        upstreams: document.upstreams.iter().map(|(ip, u)| (*ip, upstream(u))).collect(),
        limits: Limits {
            flows: document.max_flows,
            cold_flows: document.cold_flows,
            cold_opens_per_s: document.cold_opens_per_s,
            ramp: document.cold_ramp,
        },
        repeatable: document.repeatable,
        idle_timeout: document.idle_timeout,
        opening_timeout: document.opening_timeout,
    }
}

fn admin_state(document: &Document, upstream: &config::Upstream) -> AdminState {
    if !document.serves_zone(&upstream.zone) {
        return AdminState::OutOfService;
    }
    match upstream.state {
        UpstreamState::Active => AdminState::Active,
        UpstreamState::Draining => AdminState::Draining,
    }
}
