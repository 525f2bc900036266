//! Queue of packets that arrived before the table was loaded.

mod support;

use steer::HoldQueue;
use support::at;

#[test]
fn pop_fifo_order() {
    let mut queue = HoldQueue::default();
    assert!(queue.push(at(0), 1) && queue.push(at(1), 2));
    assert_eq!((queue.pop(at(2)), queue.pop(at(2)), queue.pop(at(2))), (Some(1), Some(2), None));
}

/// Guards against two entries that start together and each queue a transmission of the same
/// opening: they forwarded it to different upstreams, and the late answer reset the flow.
#[test]
fn pop_expired_is_dropped() {
    let mut queue = HoldQueue::default();
    queue.push(at(0), 1);
    queue.push(at(100), 2);
    assert_eq!(queue.pop(at(200)), Some(2));
}

#[test]
fn push_full_drops_oldest() {
    let mut queue = HoldQueue::default();
    let dropped = (0..1_000).filter(|number| !queue.push(at(0), *number)).count();
    assert_eq!((dropped, queue.pop(at(0))), (488, Some(488)));
}
