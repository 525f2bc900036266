//! Who reads the store, and how old what is passed on may become.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use directory::{LocalEntry, Member, ReaderCall, Role, Source, SourceSelector, source};
use proptest::prelude::*;
use stdx::time::Timestamp;

const BOUND: Duration = Duration::from_secs(3);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn addr(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 1_000 + number as u16)
}

fn fleet(count: usize, zones: usize) -> Vec<(String, Member)> {
    let member = |number: usize| Member {
        addr: addr(number),
        zone: format!("zone-{}", number % zones),
        incarnation: 1,
        link_mbps: 10,
    };
    (0..count).map(|number| (format!("entry-{number}"), member(number))).collect()
}

fn role(fleet: &[(String, Member)], own: usize) -> Role {
    let (name, member) = &fleet[own];
    let members = fleet.iter().map(|(name, member)| (name.as_str(), member));
    let own = LocalEntry { name, zone: &member.zone, link_mbps: member.link_mbps };
    source::role(own, members)
}

fn reading(source: Source) -> ReaderCall {
    match source {
        Source::Reader(reading) => reading,
        Source::Store => panic!("the store is asked"),
    }
}

#[test]
fn role_small_fleet_reads_alone() {
    let fleet = fleet(6, 3);
    assert!((0..6).all(|own| role(&fleet, own) == Role::Alone));
}

#[test]
fn role_all_agree_on_readers() {
    let fleet = fleet(38, 4);
    let mut asked = Vec::new();
    let mut readers = Vec::new();
    for own in 0..fleet.len() {
        match role(&fleet, own) {
            Role::Reader => readers.push(fleet[own].1.addr),
            Role::Follower(of) => asked.extend(of),
            Role::Alone => panic!("a zone of nine has readers"),
        }
    }
    assert_eq!(readers.len(), 8);
    assert!(asked.iter().all(|addr| readers.contains(addr)), "followers ask readers only");
}

#[test]
fn role_followers_spread_over_readers() {
    let fleet = fleet(300, 3);
    let mut first = indexmap::IndexMap::new();
    for own in 0..fleet.len() {
        if let Role::Follower(of) = role(&fleet, own) {
            *first.entry(of[0]).or_insert(0) += 1;
        }
    }
    assert_eq!(first.len(), 12, "four readers a zone");
    assert!(first.values().all(|count| *count < 50), "{first:?}");
}

/// What a reader passes on takes a multiple of its link.
#[test]
fn role_widest_links_read() {
    let mut fleet = fleet(40, 4);
    for (_, member) in &mut fleet[20..28] {
        member.link_mbps = 200;
    }
    let readers: Vec<usize> =
        (0..fleet.len()).filter(|own| role(&fleet, *own) == Role::Reader).collect();
    assert_eq!(readers, (20..28).collect::<Vec<_>>());
}

/// At the target's size the calls of readers stay far below the store's rate.
#[test]
fn role_target_size() {
    let fleet = fleet(7_400, 12);
    let name = |own: usize| role(&fleet, own);
    let sample: Vec<Role> = (0..fleet.len()).step_by(12).map(name).collect();
    let readers = sample.iter().filter(|role| **role == Role::Reader).count();
    assert_eq!(readers, 20);
    // Twelve zones, a call in 1.75 s at least.
    assert!((readers * 12) as f64 / 1.75 < 150.0);
}

#[test]
fn source_silent_reader_then_another_then_store() {
    let role = Role::Follower(vec![addr(1), addr(2)]);
    let mut relay = SourceSelector::new(BOUND);
    relay.on_store_response(at(0));
    let first = reading(relay.next_source(at(0), &role));
    assert_eq!(first.addr, addr(1));
    relay.on_reader_failure(at(500), addr(1));
    assert_eq!(reading(relay.next_source(at(500), &role)).addr, addr(2));
    relay.on_reader_failure(at(900), addr(2));
    assert_eq!(relay.next_source(at(900), &role), Source::Store);
    relay.on_store_response(at(5_600));
    assert_eq!(reading(relay.next_source(at(5_600), &role)).addr, addr(1));
}

/// Nothing is trusted before the store has answered once.
#[test]
fn source_new_process_asks_store() {
    let role = Role::Follower(vec![addr(1)]);
    assert_eq!(SourceSelector::new(BOUND).next_source(at(0), &role), Source::Store);
}

/// Two entries that take each other for a reader grow old together, and ask the store.
#[test]
fn source_mutual_followers_ask_store() {
    let roles = [Role::Follower(vec![addr(1)]), Role::Follower(vec![addr(0)])];
    let mut relays = [SourceSelector::new(BOUND), SourceSelector::new(BOUND)];
    for relay in &mut relays {
        relay.on_store_response(at(0));
    }
    let mut asked_store = None;
    for now in (0..3_000).step_by(50) {
        for own in 0..2 {
            match relays[own].next_source(at(now), &roles[own]) {
                Source::Store => asked_store = asked_store.or(Some(now)),
                Source::Reader(reading) => {
                    let age = at(now).since(relays[1 - own].fresh_at());
                    relays[own].on_reader_response(at(now), reading.addr, age);
                }
            }
        }
        if asked_store.is_some() {
            break;
        }
    }
    assert!(asked_store.is_some_and(|now| now <= 2_100), "{asked_store:?}");
}

#[test]
fn on_reader_too_old_is_not_trusted() {
    let role = Role::Follower(vec![addr(1)]);
    let mut relay = SourceSelector::new(BOUND);
    relay.on_store_response(at(0));
    assert!(!relay.on_reader_response(at(100), addr(1), Duration::from_millis(2_200)));
    assert_eq!(relay.next_source(at(100), &role), Source::Store);
    assert_eq!(relay.fresh_at(), at(0));
}

/// An older answer after a newer one does not make known facts older.
#[test]
fn on_reader_age_never_goes_back() {
    let mut relay = SourceSelector::new(BOUND);
    relay.on_store_response(at(1_000));
    assert!(relay.on_reader_response(at(1_100), addr(1), Duration::from_millis(900)));
    assert_eq!(relay.fresh_at(), at(1_000));
}

proptest! {
    /// However its reader dies or loses the store, a follower has asked the store itself before
    /// what it knows is older than three quarters of the bound.
    #[test]
    fn source_keeps_the_bound(
        lost_at in 0_u64..20_000,
        answers in any::<bool>(),
        bound_ms in 2_000_u64..9_000,
        pause in 0_u64..60,
    ) {
        let bound = Duration::from_millis(bound_ms);
        let role = Role::Follower(vec![addr(1)]);
        let pace = Role::Reader.pace(bound);
        // The reader's last contact: it pauses, then waits, then is answered.
        let round = (pace.interval + pace.wait).as_millis() as u64;
        let contact = |now: u64| now.min(lost_at) / round * round;
        let mut relay = SourceSelector::new(bound);
        relay.on_store_response(at(0));
        let mut now = 0;
        let mut oldest = Duration::ZERO;
        while now < 30_000 {
            match relay.next_source(at(now), &role) {
                Source::Store => {
                    oldest = oldest.max(at(now).since(relay.fresh_at()));
                    now += 10;
                    relay.on_store_response(at(now));
                }
                Source::Reader(reading) => {
                    let dead = !answers && now >= lost_at;
                    let wait = if dead { reading.timeout } else { reading.wait };
                    now += wait.as_millis() as u64 + 1;
                    let age = at(now).since(at(contact(now)));
                    if dead {
                        relay.on_reader_failure(at(now), reading.addr);
                    } else {
                        relay.on_reader_response(at(now), reading.addr, age);
                    }
                }
            }
            now += pause;
            oldest = oldest.max(at(now).since(relay.fresh_at()));
        }
        prop_assert!(oldest <= bound * 3 / 4, "{oldest:?} of {bound:?}");
    }
}
