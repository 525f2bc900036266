//! Registration of an entry as a wanted state.

use directory::registration::{Call, Lease, Listed, Status};
use directory::{Registration, Revision};

const STARTED: u64 = 1_000;

const fn at_rev(number: u64) -> Revision {
    Revision::new(0, number)
}

fn listed(number: u64, incarnation: u64) -> Listed {
    Listed { revision: at_rev(number), incarnation: Some(incarnation) }
}

/// Registered at revision 20 under lease 7.
fn registered() -> Registration {
    let mut registration = Registration::new(STARTED, None);
    assert_eq!(registration.next_call(), Call::Grant);
    registration.on_granted(Lease { id: 7, era: 0 });
    assert_eq!(registration.next_call(), Call::Write { lease: 7, replaces: 0 });
    registration.on_written(at_rev(20));
    assert_eq!(registration.next_call(), Call::Keep { lease: 7 });
    registration
}

/// Guards against a late first attempt that moves the record to another lease.
#[test]
fn next_call_repeats_a_write_under_the_same_lease() {
    let mut registration = Registration::new(STARTED, Some(listed(12, STARTED - 1)));
    registration.on_granted(Lease { id: 7, era: 0 });
    assert_eq!(registration.next_call(), Call::Write { lease: 7, replaces: 12 });
    assert_eq!(registration.next_call(), Call::Write { lease: 7, replaces: 12 });
    registration.on_conflict(14);
    assert_eq!(registration.next_call(), Call::Write { lease: 7, replaces: 14 });
}

/// Guards against an entry that does not notice that it is not registered any more.
#[test]
fn check_missing_record_is_written_again() {
    let mut registration = registered();
    assert_eq!(registration.check(at_rev(21), None), Status::Missing);
    assert_eq!(registration.next_call(), Call::Write { lease: 7, replaces: 0 });
    registration.on_lease_ended();
    assert_eq!(registration.next_call(), Call::Grant);
}

#[test]
fn check_record_of_an_earlier_process_is_replaced() {
    let mut registration = registered();
    assert_eq!(registration.check(at_rev(25), Some(listed(25, STARTED - 1))), Status::Replaced);
    assert_eq!(registration.next_call(), Call::Write { lease: 7, replaces: 25 });
    let mut registration = registered();
    let invalid = Listed { revision: at_rev(25), incarnation: None };
    assert_eq!(registration.check(at_rev(25), Some(invalid)), Status::Replaced);
}

/// An own write that was executed twice is under the same lease, but that is not known here.
#[test]
fn check_own_late_write_is_replaced() {
    let mut registration = registered();
    assert_eq!(registration.check(at_rev(25), Some(listed(25, STARTED))), Status::Replaced);
}

/// Guards against two processes of one name that overwrite each other without end.
#[test]
fn check_record_of_a_later_process_stays() {
    let mut registration = registered();
    assert_eq!(registration.check(at_rev(25), Some(listed(25, STARTED + 1))), Status::Superseded);
    assert_eq!(registration.next_call(), Call::Keep { lease: 7 });
    assert_eq!(registration.check(at_rev(26), None), Status::Missing);
}

#[test]
fn check_against_earlier_facts_or_another_era_changes_nothing() {
    let mut registration = registered();
    assert_eq!(registration.check(at_rev(19), None), Status::InForce);
    assert_eq!(registration.check(at_rev(30), Some(listed(20, STARTED))), Status::InForce);
    assert_eq!(registration.check(at_rev(30), Some(listed(12, STARTED - 1))), Status::InForce);
    assert_eq!(registration.check(Revision::new(1, 30), None), Status::InForce);
    assert_eq!(registration.next_call(), Call::Keep { lease: 7 });
}
