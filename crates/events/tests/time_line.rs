//! Order of events across processes, and the ring buffer.

use events::{Hlc, Kind, Ring};
use stdx::time::Timestamp;

#[test]
fn clock_stamps_effect_after_cause() {
    let (mut a, mut b) = (Hlc::default(), Hlc::default());
    let cause = a.tick(Timestamp(1_000));
    let effect = b.observe(Timestamp(10), cause);
    assert!(effect > cause, "the receiver's wall clock is behind");
    assert!(b.tick(Timestamp(11)) > effect);
    assert!(a.tick(Timestamp(900)) > cause, "wall time went backwards");
}

#[test]
fn ring_counts_missed_events() {
    let mut ring = Ring::new("entry-1", "zone-a", 3);
    for n in 0..5 {
        ring.record(Timestamp(n), Kind::ViewChanged, None, n.to_string());
    }
    let page = ring.since(0);
    assert_eq!((page.missed, page.next), (2, 5));
    let details: Vec<&str> = page.events.iter().map(|event| event.detail.as_str()).collect();
    assert_eq!(details, ["2", "3", "4"]);
    let page = ring.since(4);
    assert_eq!((page.missed, page.events.len()), (0, 1));
    assert_eq!(ring.since(99).events.len(), 0);
}
