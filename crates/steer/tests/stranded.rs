//! Resets of open flows whose upstream has ended or can't be reached, and the cases that look alike
//! and must not be reset.

mod support;

use std::sync::Arc;
use std::time::Duration;

use health::{News, Sent};
use stdx::time::Timestamp;
use steer::acknowledgements::AcknowledgementTally;
use steer::stranded::{self, Progress, ResetReason, UpstreamCondition};
use steer::{Action, Engine, Event, Packet, Table, UpstreamId};
use support::{ZONES, ack_packet, add_upstream, at, engine, forwarded_to, open_flow, table};

const ALL_CONDITIONS: [UpstreamCondition; 5] = [
    UpstreamCondition::Reachable,
    UpstreamCondition::ZoneUnreachable(Timestamp(0)),
    UpstreamCondition::Silent,
    UpstreamCondition::Unlisted,
    UpstreamCondition::Ended,
];

fn request(port: u16, id: UpstreamId) -> Packet {
    Packet { data_len: 900, ..ack_packet(port, id, 500) }
}

/// The `number`th request on a long flow, after as many answers of 2,000 bytes.
fn next_request(port: u16, id: UpstreamId, number: u32) -> Packet {
    let seq = u32::from(port) + 1 + 900 * number;
    Packet { seq, data_len: 900, ..ack_packet(port, id, 500 + 2_000 * number) }
}

fn open_and_answer(engine: &mut Engine, now: Timestamp, port: u16) -> UpstreamId {
    let id = open_flow(engine, now, port).expect("an upstream accepts the flow");
    engine.on_packet(now, &ack_packet(port, id, 500), &[]);
    engine.on_packet(now, &request(port, id), &[]);
    engine.on_packet(now, &ack_packet(port, id, 2_500), &[]);
    id
}

/// An engine with a long flow open and idle at each of several upstreams, which acknowledge requests at
/// once.
fn engine_with_long_flows(repeatable: bool) -> (Engine, Vec<(u16, UpstreamId)>) {
    let (mut engine, flows) = engine_with_unknown_upstreams(repeatable);
    acknowledge_at_once(&mut engine);
    (engine, flows)
}

/// Another entry tells that the first service's upstreams acknowledge requests before they work on them.
fn acknowledge_at_once(engine: &mut Engine) {
    let tally = AcknowledgementTally { at_once: 8, late: 0 };
    engine.on_acknowledgement_news(&[(stdx::hash::fnv1a("orders"), tally)]);
}

/// As [`engine_with_long_flows`], but nothing is known of when the upstreams acknowledge requests.
fn engine_with_unknown_upstreams(repeatable: bool) -> (Engine, Vec<(u16, UpstreamId)>) {
    let mut table = table();
    table.routes.values_mut().for_each(|route| route.repeatable = repeatable);
    let mut engine = engine(table);
    let flows = (0..12).map(|n| (1_000 + n, open_and_answer(&mut engine, at(0), 1_000 + n)));
    let flows = flows.collect();
    (engine, flows)
}

/// Another entry tells of a request to `id` that was copied in vain `age_ms` after it was sent.
fn tell_copy(engine: &mut Engine, now: Timestamp, from: u64, id: UpstreamId, age_ms: u64) {
    let unanswered = vec![(Sent::Request, Duration::from_millis(age_ms))];
    engine.on_silence_news(now, from, &[News { key: id, unanswered, alive: None }]);
}

/// Opens flows without an answer until the zone of `id` counts as unreachable; another entry's
/// request to `id` is not answered either. Returns a time at which the outage has lasted long enough
/// for resets.
fn cut_zone_of(engine: &mut Engine, id: UpstreamId) -> Timestamp {
    let now = fail_openings_in_zone_of(engine, id);
    tell_copy(engine, now, 7, id, 200);
    now
}

/// Opens flows without an answer until the zone of `id` counts as unreachable. Returns a time at
/// which its outage has lasted long enough for resets.
fn fail_openings_in_zone_of(engine: &mut Engine, id: UpstreamId) -> Timestamp {
    let zone = engine.table().upstreams[&id].zone;
    for port in 20_000..20_400 {
        let now = at(1_000 + u64::from(port - 20_000) * 5);
        let mut tried = open_flow(engine, now, port);
        for step in 1..40 {
            let later = now + Duration::from_millis(step * 10);
            while let Some(hedge) = engine.on_timer(later, false) {
                tried = Some(hedge.hop.upstream);
            }
            if engine.unreachable_zones().any(|unreachable| unreachable == zone) {
                return later + Duration::from_millis(500);
            }
            let Some(id) = tried else { break };
            if engine.table().upstreams[&id].zone != zone {
                engine.on_packet(later, &ack_packet(port, id, 1), &[]);
                break;
            }
        }
    }
    panic!("zone {zone:?} was not found unreachable");
}

/// A flow whose upstream is in the given zone, or in none but that one.
fn flow_in_zone(
    engine: &Engine,
    flows: &[(u16, UpstreamId)],
    zone: u16,
    inside: bool,
) -> (u16, UpstreamId) {
    let is_in = |id: &UpstreamId| engine.table().upstreams[id].zone.0 == zone;
    *flows.iter().find(|(_, id)| is_in(id) == inside).expect("flows are spread over the zones")
}

fn resets(engine: &mut Engine) -> Vec<ResetReason> {
    let reason = |event| match event {
        Event::FlowReset { reason, .. } => Some(reason),
        _ => None,
    };
    engine.take_events().filter_map(reason).collect()
}

#[test]
fn assess_ended_resets_every_flow() {
    let packet = ack_packet(1, UpstreamId(1), 5);
    for repeatable in [true, false] {
        let reason = stranded::assess(
            at(0),
            &packet,
            repeatable,
            UpstreamCondition::Ended,
            Progress::Advancing,
        );
        assert_eq!(reason, Some(ResetReason::UpstreamEnded));
    }
}

/// A request that may have run and can't be repeated waits until its upstream has surely ended.
#[test]
fn assess_unrepeatable_waits_for_the_end() {
    let packet = request(1, UpstreamId(1));
    let stalled = Progress::Unacknowledged(Duration::from_secs(1));
    for condition in ALL_CONDITIONS {
        let reason = stranded::assess(at(5_000), &packet, false, condition, stalled);
        let ended = condition == UpstreamCondition::Ended;
        assert_eq!(reason.is_some(), ended, "{condition:?}");
    }
}

/// A retransmit shows that an answer is late, not that the upstream is gone.
#[test]
fn assess_stall_alone_is_no_evidence() {
    let packet = request(1, UpstreamId(1));
    let stalled = Progress::Unacknowledged(Duration::from_secs(1));
    let condition = UpstreamCondition::Reachable;
    assert_eq!(stranded::assess(at(5_000), &packet, true, condition, stalled), None);
}

/// A record that expired shows no end while the flow advances: its upstream may have lost the store.
#[test]
fn assess_unlisted_needs_a_stall() {
    let packet = request(1, UpstreamId(1));
    let condition = UpstreamCondition::Unlisted;
    let assess = |progress| stranded::assess(at(5_000), &packet, true, condition, progress);
    assert_eq!(assess(Progress::Advancing), None);
    assert_eq!(assess(Progress::Unknown), None);
    assert_eq!(assess(Progress::Unacknowledged(Duration::from_millis(20))), None);
    assert_eq!(assess(Progress::Stalled(Duration::from_millis(200))), None, "it may be queued");
    let stalled = Progress::Unacknowledged(Duration::from_millis(200));
    assert_eq!(assess(stalled), Some(ResetReason::UpstreamUnlisted));
}

/// Pongs prove a zone reachable within the first 400 ms.
#[test]
fn assess_zone_outage_has_to_last() {
    let packet = request(1, UpstreamId(1));
    let condition = UpstreamCondition::ZoneUnreachable(at(1_000));
    let assess = |now| stranded::assess(now, &packet, true, condition, Progress::Advancing);
    assert_eq!(assess(at(1_300)), None);
    assert_eq!(assess(at(1_400)), Some(ResetReason::ZoneUnreachable));
}

#[test]
fn on_packet_next_request_into_a_cut_zone_is_reset() {
    let (mut engine, flows) = engine_with_long_flows(true);
    let (port, id) = flow_in_zone(&engine, &flows, 1, true);
    let now = cut_zone_of(&mut engine, id);
    resets(&mut engine);
    let action = engine.on_packet(now, &next_request(port, id, 1), &[]);
    assert!(matches!(action, Action::Reset(reset) if reset.seq == 2_500), "{action:?}");
    assert_eq!(resets(&mut engine), [ResetReason::ZoneUnreachable]);
    let (port, id) = flow_in_zone(&engine, &flows, 1, false);
    let action = engine.on_packet(now, &next_request(port, id, 1), &[]);
    assert_eq!(forwarded_to(action), Some(id));
}

/// A zone lost its power, but not one of its upstreams, which drains and gets no openings. Its flow
/// was reset on the silence of the others (cut-then-zone-lost, waha and tejo-gelo-grown).
#[test]
fn on_packet_silent_zone_is_no_proof_about_an_untried_upstream() {
    let (mut engine, mut flows) = engine_with_long_flows(true);
    let mut with_third: Table = (**engine.table()).clone();
    add_upstream(&mut with_third, 0x1_001, 0, 1);
    engine.apply(Arc::new(with_third.clone()), ZONES[0]);
    flows.extend((0..12).map(|n| (1_100 + n, open_and_answer(&mut engine, at(0), 1_100 + n))));
    let third = UpstreamId(0x1_001);
    let (port, _) = *flows.iter().find(|(_, id)| *id == third).expect("it gets its share");
    with_third.upstreams[&third].accepts_new = false;
    engine.apply(Arc::new(with_third), ZONES[0]);
    let (tried_port, tried) =
        *flows.iter().find(|(_, id)| id.0 == 0x101).expect("flows are spread over the upstreams");
    let now = cut_zone_of(&mut engine, tried);
    let action = engine.on_packet(now, &next_request(port, third, 1), &[]);
    assert_eq!(forwarded_to(action), Some(third));
    let action = engine.on_packet(now, &next_request(tried_port, tried, 1), &[]);
    assert!(matches!(action, Action::Reset(_)), "openings there were not answered: {action:?}");
}

#[test]
fn on_packet_unrepeatable_request_into_a_cut_zone_is_forwarded() {
    let (mut engine, flows) = engine_with_long_flows(false);
    let (port, id) = flow_in_zone(&engine, &flows, 1, true);
    let now = cut_zone_of(&mut engine, id);
    let action = engine.on_packet(now, &next_request(port, id, 1), &[]);
    assert_eq!(forwarded_to(action), Some(id));
}

/// An entry that reaches nobody is cut off itself; a reset would bring the client back to it.
#[test]
fn on_packet_isolated_entry_resets_nothing() {
    let (mut engine, flows) = engine_with_long_flows(true);
    let (port, id) = flow_in_zone(&engine, &flows, 1, true);
    cut_zone_of(&mut engine, id);
    let action = engine.on_packet(at(9_000), &next_request(port, id, 1), &[]);
    assert_eq!(forwarded_to(action), Some(id));
}

/// A third of the own zone's upstreams ended at once, so its openings fail one after the other
/// (tejo-gelo-grown, trouble-3). The others keep their flows.
#[test]
fn on_packet_failures_in_the_own_zone_reset_nothing() {
    let (mut engine, flows) = engine_with_long_flows(true);
    let (port, id) = flow_in_zone(&engine, &flows, 0, true);
    let now = fail_openings_in_zone_of(&mut engine, id);
    let action = engine.on_packet(now, &next_request(port, id, 1), &[]);
    assert_eq!(forwarded_to(action), Some(id));
}

/// Guards against resets of flows in a zone that can be reached again: as it is out of service, no
/// opening is sent there, and none of its entries is left to answer a ping.
#[test]
fn on_packet_outage_without_recent_evidence_resets_nothing() {
    let (mut engine, flows) = engine_with_long_flows(true);
    let (port, id) = flow_in_zone(&engine, &flows, 1, true);
    let cut = cut_zone_of(&mut engine, id);
    let action = engine.on_packet(cut, &next_request(port, id, 1), &[]);
    assert!(matches!(action, Action::Reset(_)), "the zone is unreachable at first: {action:?}");
    let mut evacuated: Table = (**engine.table()).clone();
    let in_zone = evacuated.upstreams.values_mut().filter(|upstream| upstream.zone.0 == 1);
    in_zone.for_each(|upstream| upstream.accepts_new = false);
    engine.apply(Arc::new(evacuated), ZONES[0]);
    let (mut now, other_flows) = (cut, flows.iter().filter(|(other, _)| *other != port));
    for step in 0..40_u16 {
        now = now + Duration::from_millis(100);
        open_and_answer(&mut engine, now, 30_000 + step);
    }
    for (port, id) in other_flows {
        let action = engine.on_packet(now, &next_request(*port, *id, 1), &[]);
        assert_eq!(forwarded_to(action), Some(*id));
    }
}

/// An answer to a request that was sent after the zone was found unreachable proves the opposite.
#[test]
fn on_packet_answer_proves_the_zone_reachable() {
    let (mut engine, flows) = engine_with_long_flows(true);
    let (port, id) = flow_in_zone(&engine, &flows, 1, true);
    let now = cut_zone_of(&mut engine, id);
    let sent = Timestamp(now.as_micros() - 300_000);
    engine.on_packet(sent, &next_request(port, id, 1), &[]);
    engine.on_packet(sent + Duration::from_millis(20), &next_request(port, id, 2), &[]);
    assert_eq!(engine.unreachable_zones().count(), 0);
}

/// A pong shows that the zone can be reached: its upstreams are slow, not cut off.
#[test]
fn on_packet_zone_that_answers_pings_is_not_reset() {
    let (mut engine, flows) = engine_with_long_flows(true);
    let (port, id) = flow_in_zone(&engine, &flows, 1, true);
    let now = cut_zone_of(&mut engine, id);
    for zone in ZONES {
        engine.on_zone_reachable(now, zone);
    }
    let action = engine.on_packet(now, &next_request(port, id, 1), &[]);
    assert_eq!(forwarded_to(action), Some(id));
}

/// A request to `id` and its copy pass by at 1.0 and 1.2 s; another entry tells the same. Another
/// upstream answers meanwhile.
fn silence(engine: &mut Engine, id: UpstreamId, flows: &[(u16, UpstreamId)]) {
    let flow = |inside| *flows.iter().rfind(|(_, other)| (*other == id) == inside).expect("spread");
    let ((port, _), (live_port, live)) = (flow(true), flow(false));
    engine.on_packet(at(1_100), &next_request(live_port, live, 1), &[]);
    engine.on_packet(at(1_150), &ack_packet(live_port, live, 4_500), &[]);
    for now in [1_000, 1_200] {
        let action = engine.on_packet(at(now), &next_request(port, id, 1), &[]);
        assert_eq!(forwarded_to(action), Some(id));
    }
    tell_copy(engine, at(1_210), 7, id, 200);
}

/// The upstream ended without a word. Long flows idle there; each would wait for its deadline.
#[test]
fn on_packet_next_request_to_a_silent_upstream_is_reset() {
    let (mut engine, flows) = engine_with_long_flows(true);
    let (port, id) = flows[0];
    silence(&mut engine, id, &flows);
    resets(&mut engine);
    let action = engine.on_packet(at(1_220), &next_request(port, id, 1), &[]);
    assert!(matches!(action, Action::Reset(_)), "{action:?}");
    assert_eq!(resets(&mut engine), [ResetReason::UpstreamSilent]);
}

/// Guards against resets in a burst: a request of one packet waits in the queue of an upstream that may
/// acknowledge it with the answer, and its client sends a copy.
#[test]
fn on_packet_queued_requests_are_not_reset() {
    let (mut engine, flows) = engine_with_unknown_upstreams(true);
    let (port, id) = flows[0];
    let at_upstream: Vec<u16> =
        flows.iter().filter(|(_, other)| *other == id).map(|(port, _)| *port).collect();
    assert!(at_upstream.len() > 1);
    for now in [1_000, 1_200] {
        for port in &at_upstream {
            let action = engine.on_packet(at(now), &next_request(*port, id, 1), &[]);
            assert_eq!(forwarded_to(action), Some(id));
        }
    }
    let queued = (Sent::QueuedRequest, Duration::from_millis(200));
    let news = News { key: id, unanswered: vec![queued; 4], alive: None };
    engine.on_silence_news(at(1_210), 7, &[news]);
    assert_eq!(reset_ahead(&mut engine, at(1_220)), []);
    engine.on_packet(at(1_300), &ack_packet(port, id, 4_500), &[]);
    let action = engine.on_packet(at(1_310), &next_request(port, id, 2), &[]);
    assert_eq!(forwarded_to(action), Some(id));
    assert_eq!(engine.stats().unacknowledged_requests, 0);
}

/// Packets of a longer request are acknowledged at once by an upstream that acknowledges every second one:
/// they don't show how it acknowledges a request of one packet.
#[test]
fn on_packet_slow_answers_to_longer_requests_show_nothing() {
    let (mut engine, flows) = engine_with_unknown_upstreams(true);
    for (port, id) in &flows {
        engine.on_packet(at(1_000), &next_request(*port, *id, 1), &[]);
        let seq = u32::from(*port) + 1 + 900 * 2;
        let more = Packet { seq, ..next_request(*port, *id, 1) };
        engine.on_packet(at(1_001), &more, &[]);
        let answered = Packet { seq: seq + 900, ..ack_packet(*port, *id, 500 + 2_000 * 2) };
        engine.on_packet(at(1_400), &answered, &[]);
    }
    assert_eq!(engine.stats().acknowledged_at_once, 0);
}

/// The first copy would have been acknowledged: the second one is evidence, whatever is known.
#[test]
fn on_packet_second_copy_to_a_silent_upstream_is_reset() {
    let (mut engine, flows) = engine_with_unknown_upstreams(true);
    let (port, id) = flows[0];
    silence(&mut engine, id, &flows);
    let (waiting, _) = *flows.iter().rfind(|(_, other)| *other == id).expect("a flow there");
    tell_copy(&mut engine, at(1_590), 8, id, 200);
    let (live_port, live) = *flows.iter().find(|(_, other)| *other != id).expect("spread");
    engine.on_packet(at(1_500), &next_request(live_port, live, 2), &[]);
    engine.on_packet(at(1_550), &ack_packet(live_port, live, 6_500), &[]);
    let action = engine.on_packet(at(1_600), &next_request(waiting, id, 1), &[]);
    assert!(matches!(action, Action::Reset(_)), "{action:?}");
    assert_eq!(resets(&mut engine).last(), Some(&ResetReason::UpstreamSilent));
    let action = engine.on_packet(at(1_610), &next_request(port, id, 1), &[]);
    assert!(matches!(action, Action::Reset(_)), "{action:?}");
}

/// A zone is cut off as far as openings show, but the only requests without an acknowledgement may wait in
/// queues: flows there are left alone.
#[test]
fn on_packet_queued_requests_in_an_unreachable_zone_are_not_reset() {
    let (mut engine, flows) = engine_with_unknown_upstreams(true);
    let (port, id) = flow_in_zone(&engine, &flows, 0, false);
    let now = fail_openings_in_zone_of(&mut engine, id);
    let queued = vec![(Sent::QueuedRequest, Duration::from_millis(200))];
    engine.on_silence_news(now, 7, &[News { key: id, unanswered: queued, alive: None }]);
    let action = engine.on_packet(now, &next_request(port, id, 1), &[]);
    assert_eq!(forwarded_to(action), Some(id));
}

/// Slow answers whose clients sent no copy show that requests are acknowledged at once; the first copy
/// is evidence from then on.
#[test]
fn on_packet_slow_answers_without_copies_make_first_copies_evidence() {
    let (mut engine, flows) = engine_with_unknown_upstreams(true);
    for round in 1..=2 {
        let sent = 1_000 * u64::from(round);
        for (port, id) in &flows {
            engine.on_packet(at(sent), &next_request(*port, *id, round), &[]);
            let answered = Packet {
                seq: u32::from(*port) + 1 + 900 * (round + 1),
                ..ack_packet(*port, *id, 500 + 2_000 * (round + 1))
            };
            engine.on_packet(at(sent + 400), &answered, &[]);
        }
    }
    assert_eq!(engine.stats().acknowledged_at_once, 2 * flows.len() as u64);
    let (port, id) = flows[0];
    engine.on_packet(at(5_000), &next_request(port, id, 3), &[]);
    engine.on_packet(at(5_200), &next_request(port, id, 3), &[]);
    assert_eq!(engine.stats().unacknowledged_requests, 1);
}

/// An upstream that answers openings, or some request late, is slow, full or hangs; its running
/// requests are left alone.
#[test]
fn on_packet_upstream_with_a_sign_of_life_is_not_reset() {
    let (mut engine, flows) = engine_with_long_flows(true);
    let (port, id) = flows[0];
    silence(&mut engine, id, &flows);
    let alive = Some(Duration::from_millis(150));
    engine.on_silence_news(at(1_220), 8, &[News { key: id, unanswered: Vec::new(), alive }]);
    let action = engine.on_packet(at(1_230), &next_request(port, id, 1), &[]);
    assert_eq!(forwarded_to(action), Some(id));
}

/// One entry alone may have lost its own path to the upstream.
#[test]
fn on_packet_silence_seen_by_one_entry_is_not_reset() {
    let (mut engine, flows) = engine_with_long_flows(true);
    let (port, id) = flows[0];
    for now in [3_000, 3_100, 3_200] {
        tell_copy(&mut engine, at(now), 7, id, 200);
    }
    let action = engine.on_packet(at(3_250), &next_request(port, id, 1), &[]);
    assert_eq!(forwarded_to(action), Some(id));
}

/// The entry stood still: the request and its copies arrive together and prove no stall.
#[test]
fn on_packet_copies_after_a_pause_are_no_stall() {
    let (mut engine, flows) = engine_with_long_flows(true);
    let (port, id) = flows[0];
    let mut unlisted: Table = (**engine.table()).clone();
    unlisted.upstreams[&id].accepts_new = false;
    unlisted.upstreams[&id].unlisted = true;
    engine.apply(Arc::new(unlisted), ZONES[0]);
    for _ in 0..3 {
        let action = engine.on_packet(at(9_000), &next_request(port, id, 1), &[]);
        assert_eq!(forwarded_to(action), Some(id));
    }
    let action = engine.on_packet(at(9_200), &next_request(port, id, 1), &[]);
    assert!(matches!(action, Action::Reset(_)), "{action:?}");
}

/// Flows that idle are no load: an upstream with many of them still gets its share of requests.
#[test]
fn pick_idle_flows_weigh_less_than_requests_in_flight() {
    let (mut engine, flows) = engine_with_long_flows(true);
    let own_zone: Vec<UpstreamId> = flows.iter().map(|(_, id)| *id).collect();
    let id = open_flow(&mut engine, at(500), 5_000).expect("an upstream accepts the flow");
    engine.on_packet(at(500), &ack_packet(5_000, id, 500), &[]);
    engine.on_packet(at(500), &request(5_000, id), &[]);
    // The request is in flight at `id`; all other upstreams have idle flows only.
    for port in 6_000..6_005 {
        let other = open_flow(&mut engine, at(501), port).expect("an upstream accepts the flow");
        assert_ne!(other, id);
        assert!(own_zone.contains(&other));
    }
}

/// Long flows prefer the own zone, where a partition does not strand them, but not at any load.
#[test]
fn pick_long_flows_prefer_the_own_zone() {
    let mut engine = engine(table());
    let mut in_own_zone = 0;
    for port in 0..70 {
        let id = open_and_answer(&mut engine, at(u64::from(port) * 100), 1_000 + port);
        in_own_zone += u32::from(engine.table().upstreams[&id].zone.0 == 0);
    }
    // Two of six upstreams with half as many flows again: 3 of 7.
    assert_eq!(in_own_zone, 30);
}

/// A flow that another entry opened counts as load once its packets arrive here.
#[test]
fn on_packet_flow_opened_at_an_untried_upstream_is_load() {
    let mut engine = engine(table());
    let tried = open_flow(&mut engine, at(0), 1_000).expect("an upstream accepts the flow");
    let other = UpstreamId(if tried.0 == 0x104 { 0x105 } else { 0x104 });
    engine.on_packet(at(1), &ack_packet(1_000, other, 1), &[]);
    assert_eq!((engine.open_flows(tried), engine.open_flows(other)), (0, 1));
    engine.on_packet(at(2), &Packet { fin: true, ..ack_packet(1_000, other, 1) }, &[]);
    assert_eq!(engine.open_flows(other), 0);
}

fn ended(engine: &mut Engine, id: UpstreamId) {
    let mut table: Table = (**engine.table()).clone();
    (table.upstreams[&id].accepts_new, table.upstreams[&id].ended) = (false, true);
    engine.apply(Arc::new(table), ZONES[0]);
}

/// All flows that are reset within the second from `now` on, without a packet of theirs.
fn reset_ahead(engine: &mut Engine, now: Timestamp) -> Vec<steer::decision::Reset> {
    let times = (0..50).map(|step| now + Duration::from_millis(20 * step));
    times
        .flat_map(|now| std::iter::from_fn(|| engine.next_reset(now)).collect::<Vec<_>>())
        .collect()
}

/// Flows that idle at an upstream that has ended are reset before a request is lost there; their
/// clients take a sequence number near their last acknowledgement. One that waits for an answer to a
/// request that can't be repeated is left alone.
#[test]
fn next_reset_idle_flows_at_an_ended_upstream() {
    for repeatable in [true, false] {
        let (mut engine, flows) = engine_with_long_flows(repeatable);
        let (waiting, id) = flows[0];
        engine.on_packet(at(1_000), &next_request(waiting, id, 1), &[]);
        assert_eq!(reset_ahead(&mut engine, at(1_010)), []);
        ended(&mut engine, id);
        let resets = reset_ahead(&mut engine, at(1_100));
        assert!(resets.iter().all(|reset| reset.seq == 2_500));
        let mut reset: Vec<u16> = resets.iter().map(|reset| reset.flow.client.port()).collect();
        reset.sort_unstable();
        let at_upstream = flows.iter().filter(|(_, other)| *other == id).map(|(port, _)| *port);
        let expected: Vec<u16> =
            at_upstream.filter(|port| repeatable || *port != waiting).collect();
        assert_eq!(reset, expected, "repeatable: {repeatable}");
    }
}

/// Flows are searched for once as their upstream ends, not at each table in which it has ended: the
/// store's changes come many times a second, and the upstream stays listed for as long as its flows may.
#[test]
fn apply_searches_once_for_flows_at_an_ended_upstream() {
    let (mut engine, flows) = engine_with_long_flows(false);
    let (_, id) = flows[0];
    ended(&mut engine, id);
    reset_ahead(&mut engine, at(1_100));
    let searches = engine.stats().stranded_searches;
    assert_eq!(searches, 1);
    for step in 0..50 {
        ended(&mut engine, id);
        engine.next_reset(at(3_000 + 20 * step));
    }
    assert_eq!(engine.stats().stranded_searches, searches);
}

/// A request under way at a silent upstream is reset at once if it can be repeated; flows that idle
/// there stay, as the upstream may live.
#[test]
fn next_reset_requests_at_a_silent_upstream() {
    for repeatable in [true, false] {
        let (mut engine, flows) = engine_with_long_flows(repeatable);
        let (_, id) = flows[0];
        silence(&mut engine, id, &flows);
        let (waiting, _) = flows.iter().rfind(|(_, other)| *other == id).expect("a flow there");
        let resets = reset_ahead(&mut engine, at(1_230));
        let reset: Vec<u16> = resets.iter().map(|reset| reset.flow.client.port()).collect();
        assert_eq!(reset, if repeatable { vec![*waiting] } else { vec![] });
    }
}

/// Packets have waited in the socket for 200 ms and more: the request went to its upstream so late that
/// the client's copy, which waited as long, is no evidence.
#[test]
fn on_packet_copies_through_a_backlog_are_no_evidence() {
    for backlogged in [true, false] {
        let (mut engine, flows) = engine_with_long_flows(true);
        let (port, id) = flows[0];
        for now in (500..1_300).step_by(10) {
            engine.on_timer(at(now), backlogged);
            if [1_000, 1_200].contains(&now) {
                let action = engine.on_packet(at(now), &next_request(port, id, 1), &[]);
                assert_eq!(forwarded_to(action), Some(id));
            }
        }
        let told = engine.take_silence_news(at(1_300)).len();
        assert_eq!(told, usize::from(!backlogged));
    }
}

/// Answers may be acknowledged in packets that wait in the socket: they are read before a flow is reset.
#[test]
fn next_reset_waits_while_packets_do() {
    let (mut engine, flows) = engine_with_long_flows(true);
    let (_, id) = flows[0];
    silence(&mut engine, id, &flows);
    engine.on_timer(at(1_220), true);
    assert_eq!(engine.next_reset(at(1_220)), None);
    engine.on_timer(at(1_260), false);
    assert!(engine.next_reset(at(1_260)).is_some());
}

/// Many flows at one upstream: their clients don't come back all at once.
#[test]
fn next_reset_is_paced() {
    let mut engine = engine(table());
    let mut at_first = 0;
    let first = open_and_answer(&mut engine, at(0), 1_000);
    for port in 1_001..1_900 {
        at_first += u32::from(open_and_answer(&mut engine, at(0), port) == first);
    }
    ended(&mut engine, first);
    let mut count = |now| std::iter::from_fn(|| engine.next_reset(now)).count();
    let (burst, second) = (count(at(100)), (110..1_100).step_by(10).map(|ms| count(at(ms))).sum());
    assert!(at_first > 100 && burst == 40, "{burst} of {at_first}");
    let rest: usize = second;
    assert_eq!(burst + rest, at_first as usize + 1);
}

/// A flow went through another entry and comes back: the acknowledgement on its next request is old.
#[test]
fn on_packet_acknowledgement_on_a_request_is_no_sign_of_life() {
    let (mut engine, flows) = engine_with_long_flows(true);
    let (port, id) = flows[0];
    silence(&mut engine, id, &flows);
    let (other, _) = flows.iter().find(|(other, at)| *at == id && *other != port).unwrap();
    let action = engine.on_packet(at(1_220), &next_request(*other, id, 3), &[]);
    assert!(matches!(action, Action::Reset(_)), "{action:?}");
}

/// Routers changed and flows came here from other entries. A request on one and its copy are evidence
/// as on any other, and it is reset like them.
#[test]
fn on_packet_flows_from_other_entries_are_followed() {
    let mut engine = engine(table());
    acknowledge_at_once(&mut engine);
    let (id, live) = (UpstreamId(0x101), UpstreamId(0x102));
    engine.on_packet(at(900), &next_request(4_001, live, 1), &[]);
    engine.on_packet(at(950), &ack_packet(4_001, live, 4_500), &[]);
    for (port, sent) in [(4_002, 1_000), (4_002, 1_200), (4_003, 1_210)] {
        let action = engine.on_packet(at(sent), &next_request(port, id, 1), &[]);
        assert_eq!(forwarded_to(action), Some(id));
    }
    assert_eq!(engine.take_silence_news(at(1_210)).len(), 1);
    tell_copy(&mut engine, at(1_220), 7, id, 200);
    let reset = reset_ahead(&mut engine, at(1_230));
    let mut reset: Vec<_> =
        reset.iter().map(|reset| (reset.flow.client.port(), reset.seq)).collect();
    reset.sort_unstable();
    assert_eq!(reset, [(4_002, 2_500), (4_003, 2_500)]);
}
