//! Pinned flows: flows that moved during their handshake, or whose opening went to several
//! upstreams, as seen by the entries that did not open them.

mod support;

use steer::decision::Drop;
use steer::pins::Pins;
use steer::{Action, Engine, Packet, Pin, Table, UpstreamId};
use support::{
    OPENING_BYTES, ack_packet, at, engine, flow, forwarded_to, opening_packet, opening_token, table,
};

/// A client's request on an open flow, with the token of `opening`.
fn late_request(opening: Action) -> Packet {
    let upstream = forwarded_to(opening).unwrap();
    let packet = ack_packet(1, upstream, 7_000);
    Packet { token: opening_token(opening), seq: 901, data_len: 900, ..packet }
}

/// Opens a flow at the second of two upstreams. Returns the actions of both openings.
fn open_at_second(entry: &mut Engine) -> [Action; 2] {
    let lost = entry.on_packet(at(0), &opening_packet(1), &OPENING_BYTES);
    let retransmit = Packet { ack: 1, ..opening_packet(1) };
    let second = entry.on_packet(at(200), &retransmit, &OPENING_BYTES);
    let first_ack = ack_packet(1, forwarded_to(second).unwrap(), 5_000);
    let first_ack = Packet { token: opening_token(second), ..first_ack };
    assert_eq!(forwarded_to(entry.on_packet(at(206), &first_ack, &[])), forwarded_to(second));
    [lost, second]
}

/// Guards against lost requests after a planned restart: other entries know the upstream of a flow
/// whose token was turned by a late answer.
#[test]
fn on_packet_pinned_by_another_entry() {
    let mut stopped = engine(table());
    let [lost, second] = open_at_second(&mut stopped);
    let mut other = engine(table());
    other.on_pins(at(207), &stopped.take_new_pins());
    let action = other.on_packet(at(9_000), &late_request(lost), &[]);
    assert_eq!(forwarded_to(action), forwarded_to(second));
}

/// Guards against lost requests of a flow whose opening two entries forwarded: each of them sent it
/// to one upstream only, and the flow's token was turned by the later answer.
#[test]
fn on_packet_flow_opened_by_retransmit_is_pinned() {
    let (mut frozen, mut opener) = (engine(table()), engine(table()));
    let retransmit = Packet { ack: 1, ..opening_packet(1) };
    let opening = opener.on_packet(at(200), &retransmit, &OPENING_BYTES);
    let first_ack = ack_packet(1, forwarded_to(opening).unwrap(), 5_000);
    let first_ack = Packet { token: opening_token(opening), ..first_ack };
    opener.on_packet(at(206), &first_ack, &[]);
    let pins = opener.take_new_pins();
    // The other entry chooses another upstream.
    frozen.on_packet(at(3_500), &opening_packet(2), &OPENING_BYTES);
    let late = frozen.on_packet(at(3_500), &opening_packet(1), &OPENING_BYTES);
    assert_ne!(forwarded_to(late), forwarded_to(opening));
    frozen.on_pins(at(3_501), &pins);
    let action = frozen.on_packet(at(9_000), &late_request(late), &[]);
    assert_eq!(forwarded_to(action), forwarded_to(opening));
}

/// Guards against first requests that are reset by an upstream which got a copy of the opening after
/// the flow had opened elsewhere: the copy had waited in the socket of an entry that was paused, and
/// the other entry's pin was read before it.
#[test]
fn on_packet_copy_of_a_pinned_opening() {
    let (mut paused, mut opener) = (engine(table()), engine(table()));
    let retransmit = Packet { ack: 1, ..opening_packet(1) };
    let opening = opener.on_packet(at(200), &retransmit, &OPENING_BYTES);
    let first_ack = ack_packet(1, forwarded_to(opening).unwrap(), 5_000);
    let first_ack = Packet { token: opening_token(opening), ..first_ack };
    opener.on_packet(at(206), &first_ack, &[]);
    paused.on_pins(at(1_200), &opener.take_new_pins());
    let copy = paused.on_packet(at(1_201), &opening_packet(1), &OPENING_BYTES);
    assert_eq!(copy, Action::Drop(Drop::LateRetransmit));
    // A client that begins anew on the same ports, with the same number, is served.
    let anew = paused.on_packet(at(9_000), &opening_packet(1), &OPENING_BYTES);
    assert!(forwarded_to(anew).is_some(), "{anew:?}");
}

/// Guards against first requests that are reset by an upstream which got a retransmit of the opening
/// through another entry: the one that opened the flow knew of one attempt, and told nobody of it when it stopped.
#[test]
fn on_packet_flow_opened_after_a_retransmit_was_due_is_pinned() {
    // Times from the arrival until the opening is read, and from then until the acknowledgement.
    for (waited_ms, acked_ms, pins) in [(0, 150, 0), (0, 205, 1), (200, 10, 1), (100, 10, 0)] {
        let mut entry = engine(table());
        entry.note_arrival(at(1_000));
        let opening = entry.on_packet(at(1_000 + waited_ms), &opening_packet(1), &OPENING_BYTES);
        let first_ack = ack_packet(1, forwarded_to(opening).unwrap(), 5_000);
        let first_ack = Packet { token: opening_token(opening), ..first_ack };
        let acked_at = at(1_000 + waited_ms + acked_ms);
        assert_eq!(forwarded_to(entry.on_packet(acked_at, &first_ack, &[])), forwarded_to(opening));
        assert_eq!(
            entry.take_new_pins().len(),
            pins,
            "acknowledged after {waited_ms} + {acked_ms} ms"
        );
    }
}

/// A flow that was opened at an upstream that only another entry had tried is pinned.
#[test]
fn on_packet_flow_opened_at_attempt_of_another_entry_is_pinned() {
    let (mut left, mut other) = (engine(table()), engine(table()));
    let accepted = left.on_packet(at(0), &opening_packet(1), &OPENING_BYTES);
    other.on_packet(at(0), &opening_packet(2), &OPENING_BYTES);
    let lost = other.on_packet(at(1), &opening_packet(1), &OPENING_BYTES);
    assert_ne!(forwarded_to(lost), forwarded_to(accepted));
    let first_ack = ack_packet(1, forwarded_to(accepted).unwrap(), 5_000);
    let first_ack = Packet { token: opening_token(accepted), ..first_ack };
    other.on_packet(at(6), &first_ack, &[]);
    let pins = other.take_new_pins();
    assert_eq!(pins.first().map(|pin| pin.upstream), forwarded_to(accepted));
}

/// An entry that started after the flow was pinned asks the others.
#[test]
fn on_packet_unknown_flow_is_looked_up() {
    let mut opener = engine(table());
    let [lost, second] = open_at_second(&mut opener);
    let mut started = engine(table());
    let request = late_request(lost);
    assert_eq!(started.on_packet(at(9_000), &request, &[]), Action::LookUp(flow(1)));
    let pins: Vec<Pin> = opener.find_pins(at(9_001), &flow(1)).collect();
    assert_eq!(pins.len(), 1, "the opener knows the flow");
    started.on_pins(at(9_002), &pins);
    assert_eq!(forwarded_to(started.on_packet(at(9_002), &request, &[])), forwarded_to(second));
}

/// The table of an entry that is not the only one.
fn table_with_peers() -> Table {
    Table { entries: vec![1, 2, 3], ..table() }
}

/// A client's first request after a pause, with the token of `opening`.
fn first_request(opening: Action) -> Packet {
    Packet { seq: 2, ack: 5_000, ..late_request(opening) }
}

/// Guards against first requests that an upstream resets which lost the flow to a hedge and answered
/// late: the client had opened the flow ahead of them, and the opener was restarted meanwhile.
#[test]
fn on_packet_first_request_after_restart_follows_the_pin() {
    let mut stopped = engine(table());
    let [lost, second] = open_at_second(&mut stopped);
    let pins = stopped.take_new_pins();
    let mut started = engine(table_with_peers());
    let request = first_request(lost);
    assert_eq!(started.on_packet(at(9_000), &request, &[]), Action::Await(flow(1)));
    assert_eq!(started.take_new_inquiries(), [flow(1)]);
    assert_eq!(started.next_settled(at(9_001)), None);
    started.on_pins(at(9_002), &pins);
    assert_eq!(started.next_settled(at(9_002)), Some(flow(1)));
    assert_eq!(forwarded_to(started.on_packet(at(9_002), &request, &[])), forwarded_to(second));
    assert_eq!((started.stats().inquiries_pinned, started.next_settled(at(9_003))), (1, None));
}

/// A flow that no other entry knows had one attempt, whose token is right.
#[test]
fn on_packet_first_request_of_a_flow_unknown_to_all() {
    let opening = engine(table()).on_packet(at(0), &opening_packet(1), &OPENING_BYTES);
    let mut started = engine(table_with_peers());
    let request = first_request(opening);
    assert_eq!(started.on_packet(at(9_000), &request, &[]), Action::Await(flow(1)));
    assert_eq!(started.on_packet(at(9_001), &request, &[]), Action::Await(flow(1)));
    assert_eq!(started.take_new_inquiries(), [flow(1)], "they are asked once");
    started.on_answered(&[flow(1)]);
    assert_eq!(started.next_settled(at(9_003)), Some(flow(1)));
    assert_eq!(forwarded_to(started.on_packet(at(9_003), &request, &[])), forwarded_to(opening));
    let next = Packet { seq: 902, ..request };
    assert_eq!(forwarded_to(started.on_packet(at(9_100), &next, &[])), forwarded_to(opening));
}

/// Entries that don't answer hold a flow up for a bounded time.
#[test]
fn on_packet_first_request_without_answers() {
    let opening = engine(table()).on_packet(at(0), &opening_packet(1), &OPENING_BYTES);
    let mut started = engine(table_with_peers());
    let request = first_request(opening);
    started.on_packet(at(9_000), &request, &[]);
    assert_eq!(started.next_timer(), Some(at(9_150)));
    assert_eq!(started.next_settled(at(9_149)), None);
    assert_eq!(started.next_settled(at(9_150)), Some(flow(1)));
    assert_eq!(forwarded_to(started.on_packet(at(9_150), &request, &[])), forwarded_to(opening));
    assert_eq!(
        (started.stats().inquiries_timed_out, started.next_timer() > Some(at(9_150))),
        (1, true)
    );
}

/// An answer about an earlier flow on the same ports settles nothing.
#[test]
fn on_packet_first_request_pin_of_an_earlier_flow() {
    let mut stopped = engine(table());
    open_at_second(&mut stopped);
    let reused = Packet { seq: 70_000, ..opening_packet(1) };
    let opening = engine(table()).on_packet(at(400), &reused, &OPENING_BYTES);
    let mut started = engine(table_with_peers());
    let request = Packet { seq: 70_001, ..first_request(opening) };
    assert_eq!(started.on_packet(at(9_000), &request, &[]), Action::Await(flow(1)));
    started.on_pins(at(9_001), &stopped.take_new_pins());
    assert_eq!(started.next_settled(at(9_001)), None);
    started.on_answered(&[flow(1)]);
    assert_eq!(started.next_settled(at(9_002)), Some(flow(1)));
    assert_eq!(forwarded_to(started.on_packet(at(9_002), &request, &[])), forwarded_to(opening));
}

/// A holder that opened an earlier flow on the same ports knows the later one, too. Its client may begin both
/// with the same number.
#[test]
fn find_pins_of_two_flows_on_the_same_ports() {
    let mut holder = engine(table());
    let earlier = holder.on_packet(at(0), &opening_packet(1), &OPENING_BYTES);
    let first_ack = ack_packet(1, forwarded_to(earlier).unwrap(), 300_000);
    let first_ack = Packet { token: opening_token(earlier), ..first_ack };
    holder.on_packet(at(5), &first_ack, &[]);
    let mut opener = engine(table());
    opener.on_packet(at(900), &opening_packet(9), &OPENING_BYTES);
    let [lost, second] = open_at_second(&mut opener);
    assert_ne!(forwarded_to(second), forwarded_to(earlier));
    holder.on_pins(at(1_000), &opener.take_new_pins());
    let request = first_request(lost);
    let pins: Vec<Pin> = holder.find_pins(at(9_001), &flow(1)).collect();
    assert_eq!(pins.len(), 2);
    for order in [[0, 1], [1, 0]] {
        let mut started = engine(table_with_peers());
        started.on_packet(at(9_000), &request, &[]);
        started.on_pins(at(9_002), &order.map(|index| pins[index]));
        assert_eq!(forwarded_to(started.on_packet(at(9_002), &request, &[])), forwarded_to(second));
    }
}

/// Packets with the tokens of openings cause a bounded number of questions.
#[test]
fn on_packet_inquiries_are_bounded() {
    let mut started = engine(table_with_peers());
    let (mut awaited, mut dropped) = (0, 0);
    for port in 0..1_000 {
        let opening = engine(table()).on_packet(at(0), &opening_packet(port), &OPENING_BYTES);
        let upstream = forwarded_to(opening).unwrap();
        let token = opening_token(opening);
        let packet = Packet { token, ..ack_packet(port, upstream, 5_000) };
        match started.on_packet(at(9_000), &packet, &[]) {
            Action::Await(_) => awaited += 1,
            Action::Drop(Drop::TooManyInquiries) => dropped += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((awaited, dropped, started.take_new_inquiries().len()), (128, 872, 128));
}

/// Guards against resets by the upstream of a hedge that was sent after the flow had moved: the
/// entry that got the first packets remembers the flow's upstream.
#[test]
fn on_packet_moved_flow_is_adopted() {
    let (mut left, mut other) = (engine(table()), engine(table()));
    let opening = left.on_packet(at(0), &opening_packet(1), &OPENING_BYTES);
    let first_ack = ack_packet(1, forwarded_to(opening).unwrap(), 5_000);
    let first_ack = Packet { token: opening_token(opening), ..first_ack };
    assert_eq!(forwarded_to(other.on_packet(at(6), &first_ack, &[])), forwarded_to(opening));
    let hedge = left.on_timer(at(60), false).expect("a hedged request is due");
    let request = Packet { token: hedge.hop.token, ..late_request(opening) };
    assert_eq!(forwarded_to(other.on_packet(at(6_000), &request, &[])), forwarded_to(opening));
}

/// The entry that a flow has left doesn't hedge it once it knows that the flow is open.
#[test]
fn on_timer_adopted_elsewhere_is_not_hedged() {
    let (mut left, mut other) = (engine(table()), engine(table()));
    let opening = left.on_packet(at(0), &opening_packet(1), &OPENING_BYTES);
    let id = forwarded_to(opening).unwrap();
    let first_ack = Packet { token: opening_token(opening), ..ack_packet(1, id, 5_000) };
    other.on_packet(at(6), &first_ack, &[]);
    left.on_pins(at(8), &other.take_new_pins());
    assert!((1..30).all(|step| left.on_timer(at(step * 10), false).is_none()));
    assert_eq!((left.open_flows(id), left.take_new_pins().len()), (1, 0));
    let fin = Packet { fin: true, ..ack_packet(1, id, 5_000) };
    left.on_packet(at(300), &fin, &[]);
    assert_eq!(left.open_flows(id), 0);
}

/// A pin of an earlier flow on the same ports doesn't apply to a later one.
#[test]
fn on_packet_pin_of_earlier_flow_on_same_ports() {
    let mut opener = engine(table());
    let [lost, _] = open_at_second(&mut opener);
    let mut other = engine(table());
    other.on_pins(at(300), &opener.take_new_pins());
    let reused = Packet { seq: 70_000, ..opening_packet(1) };
    let opening = engine(table()).on_packet(at(400), &reused, &OPENING_BYTES);
    let upstream = forwarded_to(opening).unwrap();
    let first_ack =
        Packet { token: opening_token(opening), seq: 70_001, ..ack_packet(1, upstream, 9_000) };
    assert_eq!(forwarded_to(other.on_packet(at(406), &first_ack, &[])), Some(upstream));
    let late = Packet { seq: 71_000, ack: 9_000, ..late_request(lost) };
    assert_eq!(forwarded_to(other.on_packet(at(500), &late, &[])), Some(upstream));
}

/// An entry that stops leaves all its pins to the others.
#[test]
fn share_all_pins_after_they_were_shared() {
    let mut stopped = engine(table());
    open_at_second(&mut stopped);
    let shared = stopped.take_new_pins();
    assert_eq!((shared.len(), stopped.take_new_pins().len()), (1, 0));
    stopped.share_all_pins();
    assert_eq!(stopped.take_new_pins(), shared);
}

/// Packets with arbitrary tokens cause a bounded number of lookups.
#[test]
fn on_packet_lookups_are_bounded() {
    let mut engine = engine(table());
    let lookups = (0..10_000_u32)
        .filter(|number| {
            let packet = ack_packet(*number as u16, UpstreamId(0x9_0000 + u64::from(*number)), 5);
            engine.on_packet(at(0), &packet, &[]) != Action::Drop(Drop::UnknownToken)
        })
        .count();
    assert_eq!(lookups, 100);
    let reset = Packet { rst: true, ..ack_packet(1, UpstreamId(0x9_0000), 5) };
    let action = engine.on_packet(at(5_000), &reset, &[]);
    assert_eq!(action, Action::Drop(Drop::UnknownToken), "a reset needs no answer");
}

#[test]
fn pins_are_bounded_and_expire() {
    let pin =
        |port| Pin { flow: flow(port), initial_seq: 1, first_ack: 1, upstream: UpstreamId(0x100) };
    let mut pins = Pins::default();
    (0..u16::MAX).for_each(|port| pins.insert(at(0), pin(port)));
    assert!(pins.iter().count() <= 4_096);
    let newest = u16::MAX - 1;
    assert_eq!(pins.get(at(0), &flow(newest)), Some(pin(newest)));
    pins.insert(at(29_000), pin(1));
    pins.insert(at(31_000), pin(2));
    assert!(pins.get(at(31_000), &flow(1)).is_some(), "its use keeps it");
    pins.insert(at(62_000), pin(3));
    assert!(pins.get(at(62_000), &flow(1)).is_some());
    pins.insert(at(93_000), pin(4));
    pins.insert(at(124_000), pin(5));
    assert_eq!(pins.get(at(124_000), &flow(1)), None);
}

/// A faulty pin doesn't open a flow at an upstream of another service.
#[test]
fn on_pins_upstream_of_another_service() {
    let mut entry = engine(table());
    let opening = entry.on_packet(at(0), &opening_packet(1), &OPENING_BYTES);
    let upstream = UpstreamId(0x200);
    entry.on_pins(at(1), &[Pin { flow: flow(1), initial_seq: 1, first_ack: 5_000, upstream }]);
    let first_ack = ack_packet(1, forwarded_to(opening).unwrap(), 5_000);
    let first_ack = Packet { token: opening_token(opening), ..first_ack };
    assert_eq!(forwarded_to(entry.on_packet(at(6), &first_ack, &[])), forwarded_to(opening));
}
