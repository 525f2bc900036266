//! Whether an entry serves while zones are silent.

use std::net::{Ipv4Addr, SocketAddrV4};

use health::Reachability;
use stdx::time::Timestamp;

const A: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 7720);
const B: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 2, 0, 1), 7720);
const MEMBERS: [(&str, SocketAddrV4); 2] = [("a", A), ("b", B)];

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + millis)
}

fn cut_off() -> Reachability {
    let mut reach = Reachability::default();
    reach.on_silent_zones(&["a", "b"], Some(at(0)));
    reach
}

#[test]
fn serves_with_all_zones() {
    assert!(Reachability::default().should_serve(at(0)));
}

#[test]
fn serves_with_one_silent_zone() {
    let mut reach = Reachability::default();
    reach.on_silent_zones(&["a"], None);
    reach.pings(at(0), &MEMBERS);
    assert!(reach.should_serve(at(5_000)));
}

/// The day that was lost: the zone was cut off and its own upstreams were out of service.
#[test]
fn serves_cut_off_until_answered() {
    let mut reach = cut_off();
    assert_eq!(reach.pings(at(0), &MEMBERS).len(), 2);
    assert!(reach.should_serve(at(100)), "an answer may still come");
    for second in 1..30 {
        reach.pings(at(second * 1_000), &MEMBERS);
        assert!(!reach.should_serve(at(second * 1_000 + 1)), "second {second}");
    }
    let pings = reach.pings(at(31_000), &MEMBERS);
    let to_a = pings.iter().find(|ping| ping.to == A).unwrap();
    assert_eq!(reach.on_pong(at(31_002), A, to_a.nonce), Some("a"));
    assert!(reach.should_serve(at(31_003)));
}

/// Upstreams that are down for everybody are no reason to send clients elsewhere.
#[test]
fn serves_when_others_answer() {
    let mut reach = cut_off();
    let pings = reach.pings(at(0), &MEMBERS);
    reach.on_pong(at(3), pings[0].to, pings[0].nonce);
    assert!(reach.should_serve(at(1_000)));
}

#[test]
fn on_pong_forged_changes_nothing() {
    let mut reach = cut_off();
    let pings = reach.pings(at(0), &MEMBERS);
    assert_eq!(reach.on_pong(at(1), B, pings[0].nonce), None, "another sender");
    assert_eq!(reach.on_pong(at(1), A, 999), None, "another number");
    assert!(!reach.should_serve(at(200)));
}

#[test]
fn on_pong_counts_once() {
    let mut reach = cut_off();
    let pings = reach.pings(at(0), &MEMBERS);
    assert!(reach.on_pong(at(1), pings[0].to, pings[0].nonce).is_some());
    assert!(reach.on_pong(at(1), pings[0].to, pings[0].nonce).is_none());
}

#[test]
fn serves_with_nobody_to_ask() {
    let mut reach = cut_off();
    assert!(reach.pings(at(0), &[]).is_empty());
    assert!(reach.should_serve(at(100)) && !reach.should_serve(at(200)));
    assert!(reach.should_serve(at(2_200)), "clients are let in to find out");
    assert!(!reach.should_serve(at(2_400)));
}

#[test]
fn pings_are_paced() {
    let mut reach = cut_off();
    let sent: usize = (0..1_000).map(|step| reach.pings(at(step), &MEMBERS).len()).sum();
    assert_eq!(sent, 2 * 5);
}

#[test]
fn on_traffic_zone_back() {
    let mut reach = cut_off();
    reach.pings(at(0), &MEMBERS);
    reach.on_silent_zones(&[], None);
    assert!(reach.should_serve(at(500)) && !reach.is_probing());
}
