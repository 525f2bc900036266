//! Members of a fleet for tests.

use std::net::{Ipv4Addr, SocketAddrV4};

use directory::Member;

/// Members `entry-0` and so on, whose ports are their numbers.
pub fn fleet(count: u16) -> Vec<(String, Member)> {
    let member = |number| Member {
        addr: SocketAddrV4::new(Ipv4Addr::LOCALHOST, number),
        zone: "a".to_owned(),
        incarnation: 1,
        link_mbps: 10,
    };
    (0..count).map(|number| (format!("entry-{number}"), member(number))).collect()
}
