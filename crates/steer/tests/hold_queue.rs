//! Packets that came before the table.

mod support;

use steer::HoldQueue;
use support::at;

#[test]
fn pop_in_order() {
    let mut held = HoldQueue::default();
    assert!(held.push(at(0), 1) && held.push(at(1), 2));
    assert_eq!((held.pop(at(2)), held.pop(at(2)), held.pop(at(2))), (Some(1), Some(2), None));
}

/// Two entries that start together had each kept a copy of the same opening, sent it to different
/// upstreams, and the late answer reset the flow.
#[test]
fn pop_after_next_copy() {
    let mut held = HoldQueue::default();
    held.push(at(0), 1);
    held.push(at(100), 2);
    assert_eq!(held.pop(at(200)), Some(2));
}

#[test]
fn push_flood_keeps_the_newest() {
    let mut held = HoldQueue::default();
    let lost = (0..1_000).filter(|number| !held.push(at(0), *number)).count();
    assert_eq!((lost, held.pop(at(0))), (488, Some(488)));
}
