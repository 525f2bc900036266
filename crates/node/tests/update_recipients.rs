//! The entries to which an entry sends outcome updates.

mod support;

use std::net::SocketAddrV4;

use directory::Member;
use indexmap::IndexMap;
use node::control;
use support::fleet;

fn recipients(fleet: &[(String, Member)], own: usize) -> Vec<SocketAddrV4> {
    let members = fleet.iter().map(|(name, member)| (name.as_str(), member));
    control::update_recipients(&fleet[own].0, members)
}

#[test]
fn update_recipients_small_fleet() {
    let fleet = fleet(38);
    assert!((0..38).all(|own| recipients(&fleet, own).len() == 37));
}

/// Every entry of a large fleet is a recipient, and each receives updates from 48 others.
#[test]
fn update_recipients_large_fleet() {
    let fleet = fleet(300);
    let mut senders = IndexMap::new();
    for own in 0..fleet.len() {
        for addr in recipients(&fleet, own) {
            *senders.entry(addr).or_insert(0) += 1;
        }
    }
    assert_eq!(senders.len(), 300);
    assert!(senders.values().all(|count| *count == 48), "each entry has 48 senders");
}
