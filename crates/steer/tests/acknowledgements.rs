//! When the upstreams of a service acknowledge requests.

use std::time::Duration;

use stdx::time::Timestamp;
use steer::acknowledgements::{Acknowledgement, AcknowledgementTally, Acknowledgements, Answer};

const SERVICE: u64 = 3;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn observed(at_once: u32, late: u32) -> Acknowledgements<u64> {
    let mut acknowledgements = Acknowledgements::new(at(0));
    for (count, kind) in [(at_once, Acknowledgement::AtOnce), (late, Acknowledgement::Late)] {
        (0..count).for_each(|_| acknowledgements.observe(SERVICE, kind));
    }
    acknowledgements
}

#[test]
fn acknowledgement_needs_a_wait_that_would_have_caused_a_copy() {
    let of = |waited, copies, first_bytes, at_any_time| {
        let waited = Duration::from_millis(waited);
        Answer { waited, copies, first_bytes, at_any_time }.acknowledgement()
    };
    assert_eq!(of(150, 0, 2_000, false), None, "answered before a copy was due");
    assert_eq!(of(320, 0, 2_000, false), Some(Acknowledgement::AtOnce));
    assert_eq!(of(320, 0, 600, false), None, "the answer may have been sent twice");
    assert_eq!(of(520, 0, 600, false), Some(Acknowledgement::AtOnce));
    assert_eq!(of(520, 0, 2_000, true), None, "the client may have paused");
    assert_eq!(of(520, 1, 2_000, false), Some(Acknowledgement::Late));
    assert_eq!(of(220, 1, 600, true), Some(Acknowledgement::Late));
    assert_eq!(of(720, 2, 2_000, false), None, "the first copy was lost, too");
}

#[test]
fn are_at_once_takes_several_and_most_answers() {
    assert!(!observed(7, 0).are_at_once(SERVICE));
    assert!(observed(8, 0).are_at_once(SERVICE));
    assert!(observed(40, 10).are_at_once(SERVICE));
    assert!(!observed(40, 11).are_at_once(SERVICE));
    assert!(!observed(8, 0).are_at_once(SERVICE + 1));
}

/// Upstreams of a new version may acknowledge late.
#[test]
fn are_at_once_follows_recent_answers() {
    let mut acknowledgements = observed(1_000, 0);
    assert!(acknowledgements.are_at_once(SERVICE));
    (0..64).for_each(|_| acknowledgements.observe(SERVICE, Acknowledgement::Late));
    assert!(!acknowledgements.are_at_once(SERVICE));
    acknowledgements.merge(SERVICE, AcknowledgementTally { at_once: u32::MAX, late: u32::MAX });
}

/// Each observation is told once, so that it doesn't come back as another entry's.
#[test]
fn take_untold_tells_own_observations_once() {
    let mut acknowledgements = observed(4, 0);
    acknowledgements.merge(SERVICE, AcknowledgementTally { at_once: 4, late: 0 });
    assert!(acknowledgements.are_at_once(SERVICE));
    assert_eq!(acknowledgements.take_untold(at(900)), []);
    let told = AcknowledgementTally { at_once: 4, late: 0 };
    assert_eq!(acknowledgements.take_untold(at(1_000)), [(SERVICE, told)]);
    assert_eq!(acknowledgements.take_untold(at(20_000)), []);
}

/// The first samples make the service known to others; later ones keep it up to date.
#[test]
fn take_untold_tells_the_first_samples_sooner() {
    let mut acknowledgements = observed(8, 0);
    assert_eq!(acknowledgements.take_untold(at(1_000)).len(), 1);
    acknowledgements.observe(SERVICE, Acknowledgement::AtOnce);
    assert_eq!(acknowledgements.take_untold(at(5_900)), []);
    assert_eq!(acknowledgements.take_untold(at(6_000)).len(), 1);
}

#[test]
fn retain_forgets_services() {
    let mut acknowledgements = observed(8, 0);
    acknowledgements.retain(|service| service != SERVICE);
    assert!(!acknowledgements.are_at_once(SERVICE));
}
