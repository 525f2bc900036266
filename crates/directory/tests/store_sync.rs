//! When the store is read, and how.

use std::time::Duration;

use directory::{Action, CallResult, Pace, StoreSync};
use stdx::time::Timestamp;

const BOUND: Duration = Duration::from_secs(3);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn follow() -> StoreSync {
    let mut follow = StoreSync::new(Pace::within(BOUND));
    assert_eq!(follow.next_action(at(0)), Action::Load);
    follow.on_result(at(0), CallResult::Loaded(7));
    follow
}

#[test]
fn ask_after_load_watches() {
    assert_eq!(follow().next_action(at(0)), Action::Watch(7));
}

#[test]
fn ask_after_changes_pauses() {
    let mut follow = follow();
    follow.on_result(at(1), CallResult::Watched(9, true));
    assert!(matches!(follow.next_action(at(0)), Action::Sleep(_)));
    assert_eq!(follow.next_action(at(0)), Action::Watch(9));
}

#[test]
fn ask_after_silence_watches_on() {
    let mut follow = follow();
    follow.on_result(at(1), CallResult::Watched(9, false));
    assert_eq!(follow.next_action(at(0)), Action::Watch(9));
}

#[test]
fn ask_after_history_gone_loads() {
    let mut follow = follow();
    follow.on_result(at(1), CallResult::Compacted);
    assert_eq!(follow.next_action(at(0)), Action::Load);
}

/// A watch may have been silent while the store was away, so a lost answer is followed by a full
/// read, never by the same watch.
#[test]
fn ask_after_lost_answer_loads() {
    for answer in [CallResult::Lost, CallResult::Refused] {
        let mut follow = follow();
        follow.on_result(at(1), answer);
        assert!(matches!(follow.next_action(at(0)), Action::Sleep(_)));
        assert_eq!(follow.next_action(at(0)), Action::Load);
        assert_eq!(follow.lost_since(), Some(at(1)));
        assert!(follow.on_result(at(2), CallResult::Loaded(8)), "the store is back");
        assert_eq!(follow.lost_since(), None);
    }
}

#[test]
fn retries_slow_down_and_stay_bounded() {
    let mut follow = follow();
    let mut last = Duration::ZERO;
    for _ in 0..20 {
        follow.on_result(at(1), CallResult::Lost);
        let Action::Sleep(pause) = follow.next_action(at(0)) else {
            panic!("a pause after a failure")
        };
        assert!(pause >= last && pause <= Duration::from_millis(800));
        last = pause;
    }
}

#[test]
fn on_gap_reads_all() {
    let mut follow = follow();
    follow.on_process_pause();
    assert_eq!(follow.next_action(at(0)), Action::Load);
}

/// A change right after an answer, and a store that was away unnoticed, are both seen in time.
#[test]
fn within_keeps_the_bound() {
    for bound in [1, 3, 5, 9].map(Duration::from_secs) {
        let pace = Pace::within(bound);
        assert!(pace.interval + pace.grace < bound);
        assert!(pace.wait + pace.grace < bound);
    }
}

/// The store was away while the call was waiting, and answered when it came back.
#[test]
fn is_late_outlasted_its_wait() {
    let mut follow = follow();
    let pace = follow.pace();
    assert!(matches!(follow.next_action(at(0)), Action::Watch(_)));
    assert!(!follow.is_late(at(0) + pace.wait));
    assert!(follow.is_late(at(0) + pace.wait + pace.grace));
}
