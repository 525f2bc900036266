//! Which document is in force.

use config::revision::Outcome;
use config::{DocumentSet, Revision};

fn text(flows: u32) -> String {
    format!(
        "version = 1\nservice = \"desk\"\naddress = \"10.10.0.1:4000\"\nprotocol = \"tcp\"\n\
         zones = [\"a\"]\nupstreams = []\n[limits]\nflows = {flows}\ncold_flows = 1\n\
         cold_opens_per_s = 1\ncold_ramp = \"1s\"\n"
    )
}

fn flows(held: &DocumentSet) -> u32 {
    held.applied()["desk"].document.max_flows
}

/// An older copy never comes back into force, whoever offers it.
#[test]
fn offer_older() {
    let mut held = DocumentSet::default();
    assert_eq!(held.offer("desk", Revision(7), &text(70)), Outcome::Applied);
    assert_eq!(held.offer("desk", Revision(6), &text(60)), Outcome::Stale);
    assert_eq!(held.offer("desk", Revision(7), &text(71)), Outcome::Stale);
    assert_eq!(flows(&held), 70);
    assert_eq!(held.offer("desk", Revision(8), &text(80)), Outcome::Applied);
    assert_eq!(flows(&held), 80);
}

/// What is not valid leaves the last good document in force, and does not come back as news.
#[test]
fn offer_invalid() {
    let mut held = DocumentSet::default();
    held.offer("desk", Revision(1), &text(10));
    let outcome = held.offer("desk", Revision(2), "version = 1");
    assert!(matches!(outcome, Outcome::Invalid(_)));
    assert_eq!(flows(&held), 10);
    assert_eq!(held.offer("desk", Revision(2), "version = 1"), Outcome::Stale);
    let outcome = held.offer("catalogue", Revision(3), &text(30));
    assert!(matches!(outcome, Outcome::Invalid(_)), "stored under another name");
}

#[test]
fn fingerprint_differs() {
    let (mut a, mut b) = (DocumentSet::default(), DocumentSet::default());
    assert_eq!(a.fingerprint(), b.fingerprint());
    a.offer("desk", Revision(1), &text(10));
    assert_ne!(a.fingerprint(), b.fingerprint());
    b.offer("desk", Revision(1), &text(10));
    assert_eq!(a.fingerprint(), b.fingerprint());
    b.offer("desk", Revision(2), &text(10));
    assert_ne!(a.fingerprint(), b.fingerprint());
}
