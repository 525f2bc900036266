//! Which upstreams are ejected, by pattern of failure.

use std::time::Duration;

use health::{Outcome, OutlierState, Outliers, Tally};
use stdx::time::Timestamp;

type Known = Outliers<u64, u8>;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// Twelve upstreams of one service, one of another.
fn known() -> Known {
    let mut known = Known::new();
    known.set_members((0..12).map(|key| (key, 0)).chain([(100, 1)]));
    known
}

/// Ten answers a second of each upstream; `fails` says which ones, by upstream and number.
fn play(known: &mut Known, from: u64, to: u64, fails: impl Fn(u64, u64) -> bool) {
    for now in (from..to).step_by(100) {
        for key in 0..12 {
            if known.state(at(now), key) != OutlierState::Ejected {
                let failed = fails(key, now / 100);
                let outcome = if failed { Outcome::Failed } else { Outcome::Good };
                known.record(at(now), key, outcome);
            }
        }
    }
}

fn ejected(known: &mut Known, now: u64) -> Vec<u64> {
    (0..12).filter(|key| known.state(at(now), *key) == OutlierState::Ejected).collect()
}

#[test]
fn note_grey_upstream_is_ejected() {
    let mut known = known();
    play(&mut known, 0, 2_000, |key, number| key == 3 && number % 5 < 2);
    assert_eq!(ejected(&mut known, 2_000), [3]);
}

#[test]
fn note_hanging_upstreams_are_ejected() {
    let mut known = known();
    play(&mut known, 0, 500, |key, _| key < 2);
    assert_eq!(ejected(&mut known, 500), [0, 1]);
}

#[test]
fn note_all_fail_ejects_nobody() {
    let mut known = known();
    play(&mut known, 0, 5_000, |_, _| true);
    assert_eq!(ejected(&mut known, 5_000), []);
}

/// A burst: each upstream fails some, none much more than the others.
#[test]
fn note_all_fail_in_part_ejects_nobody() {
    let mut known = known();
    play(&mut known, 0, 5_000, |key, number| (key * 7 + number) % 4 == 0);
    assert_eq!(ejected(&mut known, 5_000), []);
}

/// This entry stands still for a moment after a calm time: all answers are late, some come in time.
#[test]
fn note_own_hiccup_ejects_nobody_and_is_no_news() {
    let mut known = known();
    play(&mut known, 0, 3_000, |_, _| false);
    known.take_updates(at(3_000));
    // Silence shows after the patience.
    let mut told = 0;
    for now in 3_200..3_400 {
        let outcome = if now % 5 == 0 { Outcome::Good } else { Outcome::Failed };
        known.record(at(now), now % 12, outcome);
        if now % 100 == 99 {
            told += known.take_updates(at(now)).len();
        }
    }
    assert_eq!((ejected(&mut known, 3_400), told), (Vec::new(), 0));
}

#[test]
fn note_one_failure_ejects_nobody() {
    let mut known = known();
    play(&mut known, 0, 5_000, |key, number| number == 20 + key);
    assert_eq!(ejected(&mut known, 5_000), []);
}

#[test]
fn note_share_of_ejected_is_bounded() {
    let mut known = known();
    play(&mut known, 0, 1_000, |_, _| false);
    // Five fail for good, more than may be ejected.
    play(&mut known, 1_000, 9_000, |key, _| key < 5);
    assert!(ejected(&mut known, 9_000).len() <= 4);
}

#[test]
fn note_recovered_returns_after_trial() {
    let mut known = known();
    play(&mut known, 0, 1_000, |key, _| key == 3);
    assert_eq!(ejected(&mut known, 1_000), [3]);
    play(&mut known, 1_000, 2_400, |_, _| false);
    assert_eq!(known.state(at(2_400), 3), OutlierState::HalfOpen);
    play(&mut known, 2_400, 4_000, |_, _| false);
    assert_eq!(known.state(at(4_000), 3), OutlierState::Healthy);
}

/// Down and up by turns: each failed trial doubles the time.
#[test]
fn note_flapping_stays_out_longer() {
    let mut known = known();
    let mut tried = Vec::new();
    for now in (0..30_000).step_by(100) {
        let fails = |key: u64, number: u64| key == 3 && (number / 14).is_multiple_of(2);
        if known.state(at(now), 3) != OutlierState::Ejected && fails(3, now / 100) {
            tried.push(now);
        }
        play(&mut known, now, now + 100, fails);
    }
    assert!(tried.len() <= 12, "{} answers lost, of 150: {tried:?}", tried.len());
}

/// One entry that lost its way to an upstream can't eject it for all.
#[test]
fn merge_one_source_ejects_nobody() {
    let mut known = known();
    for now in (0..3_000).step_by(100) {
        known.merge(at(now), 1, &Tally { key: 3, good: 0, failed: 1 });
    }
    assert_eq!(ejected(&mut known, 3_000), []);
}

#[test]
fn merge_two_sources_eject() {
    let mut known = known();
    play(&mut known, 0, 1_000, |_, _| false);
    for source in 1..=8 {
        known.merge(at(1_000 + source), source, &Tally { key: 3, good: 0, failed: 1 });
    }
    assert_eq!(ejected(&mut known, 1_100), [3]);
}

#[test]
fn take_news_only_of_upstreams_that_fail() {
    let mut known = known();
    play(&mut known, 0, 500, |_, _| false);
    assert_eq!(known.take_updates(at(500)), []);
    known.record(at(500), 4, Outcome::Failed);
    assert_eq!(known.take_updates(at(500)), [Tally { key: 4, good: 0, failed: 1 }]);
    assert_eq!(known.take_updates(at(600)), []);
}

#[test]
fn forgive_started_anew() {
    let mut known = known();
    play(&mut known, 0, 1_000, |key, _| key == 3);
    known.reset(3);
    assert_eq!(known.state(at(1_000), 3), OutlierState::Healthy);
    assert_eq!(known.state(at(1_000) + Duration::from_mins(1), 3), OutlierState::Healthy);
}

/// Two upstreams of three: one may be ejected, never the last that is sound.
#[test]
fn note_small_service_keeps_most() {
    let mut known = Known::new();
    known.set_members((0..3).map(|key| (key, 0)));
    for now in (0..3_000).step_by(100) {
        for key in 0..3 {
            let outcome = if key < 2 { Outcome::Failed } else { Outcome::Good };
            known.record(at(now), key, outcome);
        }
    }
    let out = (0..3).filter(|key| known.state(at(3_000), *key) != OutlierState::Healthy).count();
    assert!(out <= 1, "{out}");
}
