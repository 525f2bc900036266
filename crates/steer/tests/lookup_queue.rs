//! The queue of packets whose flow's upstream is asked for.

mod support;

use steer::LookupQueue;
use support::{at, flow};

#[test]
fn take_in_order_of_arrival() {
    let mut queue = LookupQueue::default();
    assert!(queue.push(at(0), flow(1), 'a'));
    assert!(!queue.push(at(5), flow(1), 'b'), "the other entries were asked already");
    assert!(queue.push(at(6), flow(2), 'c'));
    assert_eq!(queue.take(at(10), &flow(1)), ['a', 'b']);
    assert_eq!((queue.take(at(10), &flow(1)), queue.is_empty()), (vec![], false));
}

#[test]
fn take_expired() {
    let mut queue = LookupQueue::default();
    queue.push(at(0), flow(1), 'a');
    queue.push(at(0), flow(2), 'b');
    assert_eq!(queue.take(at(181), &flow(1)), []);
    assert!(queue.push(at(181), flow(2), 'c'), "the retransmit is looked up anew");
    assert_eq!(queue.take(at(182), &flow(2)), ['c']);
}

#[test]
fn push_full() {
    let mut queue = LookupQueue::default();
    let asked = (0..1_000).filter(|port| queue.push(at(0), flow(*port), 'a')).count();
    assert_eq!(asked, 256);
    for _ in 0..100 {
        queue.push(at(0), flow(0), 'b');
    }
    assert_eq!(queue.take(at(0), &flow(0)).len(), 16);
}
