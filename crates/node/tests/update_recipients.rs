//! Whom an entry tells of upstreams that fail.

use std::net::{Ipv4Addr, SocketAddrV4};

use directory::Member;
use indexmap::IndexMap;
use node::control;

fn fleet(count: u16) -> Vec<(String, Member)> {
    let member = |number| Member {
        addr: SocketAddrV4::new(Ipv4Addr::LOCALHOST, number),
        zone: "a".to_owned(),
        incarnation: 1,
        link_mbps: 10,
    };
    (0..count).map(|number| (format!("entry-{number}"), member(number))).collect()
}

fn told(fleet: &[(String, Member)], own: usize) -> Vec<SocketAddrV4> {
    let members = fleet.iter().map(|(name, member)| (name.as_str(), member));
    control::update_recipients(&fleet[own].0, members)
}

#[test]
fn to_be_told_small_fleet_is_everyone() {
    let fleet = fleet(38);
    assert!((0..38).all(|own| told(&fleet, own).len() == 37));
}

/// In a fleet of any size nobody is left out, and nobody is told by all.
#[test]
fn to_be_told_large_fleet_is_spread() {
    let fleet = fleet(300);
    let mut by = IndexMap::new();
    for own in 0..fleet.len() {
        for addr in told(&fleet, own) {
            *by.entry(addr).or_insert(0) += 1;
        }
    }
    assert_eq!(by.len(), 300);
    assert!(by.values().all(|count| *count == 48), "each is told by as many as it tells");
}
