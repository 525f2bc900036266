//! Whether an entry should serve while zones are unreachable.

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
    reach.set_unreachable_zones(&["a", "b"], Some(at(0)));
    reach
}

#[test]
fn should_serve_all_zones_answer() {
    assert!(Reachability::default().should_serve(at(0)));
}

#[test]
fn should_serve_one_unreachable_zone() {
    let mut reach = Reachability::default();
    reach.set_unreachable_zones(&["a"], None);
    reach.pings(at(0), &MEMBERS);
    assert!(reach.should_serve(at(5_000)));
}

/// An entry whose zone is cut off while its own upstreams are out of service must not serve until a
/// pinged entry answers.
#[test]
fn should_serve_cut_off_until_answered() {
    let mut reach = cut_off();
    assert_eq!(reach.pings(at(0), &MEMBERS).len(), 2);
    assert!(reach.should_serve(at(100)), "a pong may still arrive");
    for second in 1..30 {
        reach.pings(at(second * 1_000), &MEMBERS);
        assert!(!reach.should_serve(at(second * 1_000 + 1)), "second {second}");
    }
    let pings = reach.pings(at(31_000), &MEMBERS);
    let to_a = pings.iter().find(|ping| ping.to == A).unwrap();
    assert_eq!(reach.on_pong(at(31_002), A, to_a.nonce), Some("a"));
    assert!(reach.should_serve(at(31_003)));
}

/// Upstreams that are down for all entries are no reason to send clients to another entry.
#[test]
fn should_serve_peer_answers() {
    let mut reach = cut_off();
    let pings = reach.pings(at(0), &MEMBERS);
    reach.on_pong(at(3), pings[0].to, pings[0].nonce);
    assert!(reach.should_serve(at(1_000)));
}

#[test]
fn on_pong_forged_is_ignored() {
    let mut reach = cut_off();
    let pings = reach.pings(at(0), &MEMBERS);
    assert_eq!(reach.on_pong(at(1), B, pings[0].nonce), None, "wrong sender");
    assert_eq!(reach.on_pong(at(1), A, 999), None, "wrong nonce");
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
fn should_serve_without_peers() {
    let mut reach = cut_off();
    assert!(reach.pings(at(0), &[]).is_empty());
    assert!(reach.should_serve(at(100)) && !reach.should_serve(at(200)));
    assert!(reach.should_serve(at(2_200)), "clients are accepted again after the backoff");
    assert!(!reach.should_serve(at(2_400)));
}

/// Guards against an entry that stays out of rotation: the entries that it pinged are gone for good,
/// so that no pong can show that their zones are back.
#[test]
fn should_serve_pinged_entries_are_gone() {
    let mut reach = cut_off();
    reach.pings(at(0), &MEMBERS);
    assert!(!reach.should_serve(at(1_000)));
    reach.pings(at(10_000), &[]);
    assert!(reach.should_serve(at(10_001)), "clients are accepted to test the upstreams");
    reach.pings(at(10_400), &[]);
    assert!(!reach.should_serve(at(10_401)), "and sent elsewhere if these don't answer");
}

#[test]
fn pings_rate_is_limited() {
    let mut reach = cut_off();
    let sent: usize = (0..1_000).map(|step| reach.pings(at(step), &MEMBERS).len()).sum();
    assert_eq!(sent, 2 * 5);
}

#[test]
fn set_unreachable_zones_zone_answers_again() {
    let mut reach = cut_off();
    reach.pings(at(0), &MEMBERS);
    reach.set_unreachable_zones(&[], None);
    assert!(reach.should_serve(at(500)) && !reach.is_probing());
}

/// The entries that are pinged first may be down while their zone can be reached.
#[test]
fn pings_take_other_entries_each_time() {
    let addr = |n: u8| SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, n), 7720);
    let members: Vec<(&str, SocketAddrV4)> = (0..8).map(|n| ("a", addr(n))).collect();
    let mut reach = Reachability::default();
    reach.set_unreachable_zones(&["a"], None);
    let mut pinged: Vec<SocketAddrV4> =
        [0, 200].iter().flat_map(|now| reach.pings(at(*now), &members)).map(|p| p.to).collect();
    pinged.sort_unstable();
    assert_eq!(pinged, members.iter().map(|(_, to)| *to).collect::<Vec<_>>());
}
