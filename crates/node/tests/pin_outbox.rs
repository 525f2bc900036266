//! Messages with pins that are sent until they are confirmed.

use std::net::{Ipv4Addr, SocketAddrV4};

use node::pin_outbox::PinOutbox;
use stdx::time::Timestamp;
use steer::{FlowKey, Pin, UpstreamId};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn entry(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn pin(port: u16) -> Pin {
    let flow = FlowKey { client: entry(port), service: entry(443) };
    Pin { flow, initial_seq: 7, first_ack: 9, upstream: UpstreamId(1) }
}

/// Adds a pin for each of two entries.
fn add(outbox: &mut PinOutbox, port: u16) -> Vec<(SocketAddrV4, Vec<u8>)> {
    outbox.add(at(0), &[pin(port)], |_| vec![entry(1), entry(2)])
}

/// Times in milliseconds at which a message is sent again within 10 s.
fn resends(outbox: &mut PinOutbox, is_listed: bool) -> Vec<u64> {
    let is_due = |ms: &u64| !outbox.take_due(at(*ms), is_listed, |_| true).is_empty();
    (1..10_000).filter(is_due).collect()
}

#[test]
fn take_due_until_confirmed() {
    let mut outbox = PinOutbox::default();
    let sent = add(&mut outbox, 1_000);
    assert_eq!(outbox.next_due(), Some(at(50)));
    assert!(outbox.take_due(at(49), true, |_| true).is_empty());
    assert_eq!(outbox.take_due(at(50), true, |_| true), sent);
    outbox.on_confirmed(entry(1), 1);
    outbox.on_confirmed(entry(1), 2);
    assert_eq!(outbox.take_due(at(400), true, |_| true), sent[1..]);
    assert_eq!(outbox.unconfirmed(|to| to == entry(1)), 0);
    assert_eq!(outbox.unconfirmed(|to| to == entry(2)), 1);
    outbox.on_confirmed(entry(2), 2);
    assert_eq!((outbox.next_due(), outbox.stats().confirmed), (None, 2));
}

/// An entry that has crashed is not sent to for ever, nor one that has left.
#[test]
fn take_due_unconfirmed() {
    let mut outbox = PinOutbox::default();
    add(&mut outbox, 1_000);
    let times = resends(&mut outbox, true);
    assert_eq!(times, [50, 150, 350, 750, 1_550, 2_550, 3_550, 4_550, 5_550]);
    assert_eq!(outbox.stats().given_up, 2);
    add(&mut outbox, 1_001);
    assert_eq!(outbox.take_due(at(50), true, |to| to == entry(1)).len(), 1);
    assert_eq!(outbox.stats().given_up, 3);
}

/// Guards against pins that are given up before the others know their sender.
#[test]
fn take_due_sender_unlisted() {
    let mut outbox = PinOutbox::default();
    add(&mut outbox, 1_000);
    assert!(resends(&mut outbox, false).len() > 9);
    assert_eq!(outbox.unconfirmed(|_| true), 2);
    assert_eq!(outbox.take_due(at(11_000), true, |_| true).len(), 2);
}

#[test]
fn add_more_than_fit() {
    let mut outbox = PinOutbox::default();
    (0..300).for_each(|port| drop(add(&mut outbox, port)));
    assert_eq!(outbox.unconfirmed(|_| true), 512);
    assert_eq!((outbox.stats().sent, outbox.stats().given_up), (600, 88));
}
