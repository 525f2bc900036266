//! What clients' packets show of answers, and what follows for upstreams.

mod support;

use std::time::Duration;

use health::{OutlierState, Tally};
use stdx::time::Timestamp;
use steer::{AnswerFailure, Engine, Event, Packet, UpstreamId};
use support::{at, engine, later, open, table};

/// Bytes of a usual answer, and of one that turns a request away.
const USUAL: u32 = 2_000;
const REFUSAL: u32 = 150;

/// Opens a flow and sends a request on it.
fn ask(engine: &mut Engine, now: Timestamp, port: u16) -> UpstreamId {
    let id = open(engine, now, port).expect("an upstream");
    engine.on_packet(now, &later(port, id, 500), &[]);
    engine.on_packet(now, &Packet { data_len: 900, ..later(port, id, 500) }, &[]);
    id
}

/// The client takes `bytes` of an answer and closes.
fn finish(engine: &mut Engine, now: Timestamp, port: u16, id: UpstreamId, bytes: u32) {
    let ack = 500 + bytes;
    engine.on_packet(now, &later(port, id, ack), &[]);
    engine.on_packet(now, &Packet { fin: true, ..later(port, id, ack) }, &[]);
}

fn failures(engine: &mut Engine) -> Vec<(UpstreamId, AnswerFailure)> {
    let failure = |event| match event {
        Event::AnswerFailed { upstream, failure, .. } => Some((upstream, failure)),
        _ => None,
    };
    engine.take_events().filter_map(failure).collect()
}

fn standings(engine: &mut Engine) -> Vec<(UpstreamId, OutlierState)> {
    let standing = |event| match event {
        Event::OutlierStateChanged { upstream, state } => Some((upstream, state)),
        _ => None,
    };
    engine.take_events().filter_map(standing).collect()
}

/// An engine that has seen a hundred usual answers.
fn experienced() -> Engine {
    let mut engine = engine(table());
    for number in 0..100_u16 {
        let now = at(u64::from(number) * 40);
        let id = ask(&mut engine, now, 1_000 + number);
        let bytes = USUAL + u32::from(number % 7) * 300;
        finish(&mut engine, now + Duration::from_millis(20), 1_000 + number, id, bytes);
    }
    assert_eq!(failures(&mut engine), []);
    engine
}

#[test]
fn on_packet_short_answer_fails() {
    let mut engine = experienced();
    let id = ask(&mut engine, at(5_000), 2_000);
    finish(&mut engine, at(5_010), 2_000, id, REFUSAL);
    assert_eq!(failures(&mut engine), [(id, AnswerFailure::Short)]);
}

/// The upstream closed without an answer: its close alone is acknowledged.
#[test]
fn on_packet_closed_without_answer_fails() {
    let mut engine = experienced();
    let id = ask(&mut engine, at(5_000), 2_000);
    finish(&mut engine, at(5_010), 2_000, id, 1);
    assert_eq!(failures(&mut engine), [(id, AnswerFailure::Short)]);
}

#[test]
fn on_timer_silence_fails_once() {
    let mut engine = experienced();
    let id = ask(&mut engine, at(5_000), 2_000);
    for step in 0..100 {
        while engine.on_timer(at(5_000 + step * 10), false).is_some() {}
    }
    assert_eq!(failures(&mut engine), [(id, AnswerFailure::NoAnswer)]);
    let fin = Packet { fin: true, ..later(2_000, id, 500) };
    engine.on_packet(at(6_500), &fin, &[]);
    assert_eq!(failures(&mut engine), []);
}

/// Answers may wait to be read behind a backlog.
#[test]
fn on_timer_behind_counts_no_silence() {
    let mut engine = experienced();
    ask(&mut engine, at(5_000), 2_000);
    assert!(engine.on_timer(at(5_400), true).is_none());
    assert_eq!(failures(&mut engine), []);
}

/// A client that leaves at once may have had its own reasons.
#[test]
fn on_packet_client_left_early_is_no_failure() {
    let mut engine = experienced();
    let id = ask(&mut engine, at(5_000), 2_000);
    engine.on_packet(at(5_020), &Packet { fin: true, ..later(2_000, id, 500) }, &[]);
    assert_eq!(failures(&mut engine), []);
}

/// A flow that is kept carries many requests; pauses between them are no silence.
#[test]
fn on_packet_kept_flow_is_judged_by_request() {
    let mut engine = experienced();
    let id = ask(&mut engine, at(5_000), 2_000);
    let mut ack = 500;
    let mut seq = 2_001 + 900;
    for number in 1..4 {
        ack += USUAL;
        engine.on_packet(at(5_000 + number * 900 - 880), &later(2_000, id, ack), &[]);
        while engine.on_timer(at(5_000 + number * 900 - 1), false).is_some() {}
        let request = Packet { data_len: 900, seq, ..later(2_000, id, ack) };
        seq += 900;
        engine.on_packet(at(5_000 + number * 900), &request, &[]);
    }
    assert_eq!(failures(&mut engine), []);
    for step in 0..200 {
        while engine.on_timer(at(7_700 + step * 10), false).is_some() {}
    }
    assert_eq!(failures(&mut engine), [(id, AnswerFailure::NoAnswer)]);
}

/// The same request sent again because a packet was lost is no second one.
#[test]
fn on_packet_request_sent_again_is_one() {
    let mut engine = experienced();
    let id = ask(&mut engine, at(5_000), 2_000);
    engine.on_packet(at(5_200), &Packet { data_len: 900, ..later(2_000, id, 500) }, &[]);
    finish(&mut engine, at(5_230), 2_000, id, USUAL);
    assert_eq!(failures(&mut engine), []);
}

#[test]
fn pick_ejected_upstream_comes_last() {
    let mut engine = experienced();
    // Of the own zone, where flows go first while nothing is busy.
    let bad = UpstreamId(0x100);
    let mut reached = 0;
    for number in 0..100_u16 {
        let now = at(5_000 + u64::from(number) * 15);
        let port = 3_000 + number;
        let id = ask(&mut engine, now, port);
        reached += u32::from(id == bad);
        let bytes = if id == bad { REFUSAL } else { USUAL };
        finish(&mut engine, now + Duration::from_millis(5), port, id, bytes);
    }
    assert_eq!(standings(&mut engine), [(bad, OutlierState::Ejected)]);
    assert!((2..=8).contains(&reached), "{reached} of 100");
}

/// What others tell ejects an upstream before this entry has lost a flow to it.
#[test]
fn on_news_upstream_is_ejected() {
    let mut engine = experienced();
    // Of the own zone, where flows go first while nothing is busy.
    let bad = UpstreamId(0x100);
    let news = [Tally { key: bad, good: 0, failed: 2 }];
    engine.on_peer_updates(at(5_000), 7, &news);
    assert_eq!(standings(&mut engine), []);
    for from in 8..30 {
        engine.on_peer_updates(at(5_010), from, &news);
    }
    assert_eq!(standings(&mut engine), [(bad, OutlierState::Ejected)]);
    for number in 0..50_u16 {
        let now = at(5_100 + u64::from(number) * 15);
        let id = ask(&mut engine, now, 3_000 + number);
        assert_ne!(id, bad);
        finish(&mut engine, now + Duration::from_millis(5), 3_000 + number, id, USUAL);
    }
}

/// Strangers' numbers change nothing.
#[test]
fn on_news_unknown_upstream_is_ignored() {
    let mut engine = experienced();
    let news = [Tally { key: UpstreamId(0xDEAD), good: 0, failed: 100 }];
    for from in 0..20 {
        engine.on_peer_updates(at(5_000), from, &news);
    }
    assert_eq!(standings(&mut engine), []);
    assert_eq!(engine.take_updates(at(5_100)), []);
}

/// Plays 400 answers, a sixth of a second's work apart, where `slow` takes eight times as long.
/// Returns how many it got.
fn share_of_slow(engine: &mut Engine, from: u64, slow: Option<UpstreamId>) -> usize {
    let mut reached = 0;
    // Answers that are still to come: when, the port and the upstream.
    let mut pending: Vec<(u64, u16, UpstreamId)> = Vec::new();
    for number in 0..400_u16 {
        let now = from + u64::from(number) * 10;
        pending.retain(|(due, port, id)| {
            if *due <= now {
                finish(engine, at(*due), *port, *id, USUAL);
            }
            *due > now
        });
        let port = 10_000 + (from as u16 % 7) * 1_000 + number;
        let id = ask(engine, at(now), port);
        reached += usize::from(Some(id) == slow);
        pending.push((now + if Some(id) == slow { 160 } else { 20 }, port, id));
    }
    for (due, port, id) in pending {
        finish(engine, at(due), port, id, USUAL);
    }
    reached
}

/// It says that it is well and answers everything, eight times as late as the others.
#[test]
fn pick_slow_upstream_gets_less() {
    let mut engine = experienced();
    let slow = UpstreamId(0x103);
    let reached = share_of_slow(&mut engine, 5_000, Some(slow));
    assert!((3..=25).contains(&reached), "{reached} of 400, of six upstreams");
}

/// What is known of its slowness fades, so that it is tried and found to be as fast as the others.
#[test]
fn pick_slow_upstream_recovers() {
    let mut engine = experienced();
    let slow = UpstreamId(0x103);
    share_of_slow(&mut engine, 5_000, Some(slow));
    share_of_slow(&mut engine, 9_001, None);
    let reached = (0..100)
        .filter(|number| {
            let now = at(14_000 + number * 30);
            let port = 30_000 + *number as u16;
            let id = ask(&mut engine, now, port);
            finish(&mut engine, now + Duration::from_millis(20), port, id, USUAL);
            id == slow
        })
        .count();
    assert!(reached >= 30, "{reached} of 100, of two in the own zone");
}
