//! Tests which of several offered documents is applied.

use config::revision::Outcome;
use config::{DocumentSet, Revision};

fn text(flows: u32) -> String {
    format!(
        "version = 1\nservice = \"desk\"\naddress = \"10.10.0.1:4000\"\nprotocol = \"tcp\"\n\
         zones = [\"a\"]\nupstreams = []\n[limits]\nflows = {flows}\ncold_flows = 1\n\
         cold_opens_per_s = 1\ncold_ramp = \"1s\"\n"
    )
}

fn flows(documents: &DocumentSet) -> u32 {
    documents.applied()["desk"].document.max_flows
}

/// An older revision is never applied again, such as one received late from a peer.
#[test]
fn offer_older() {
    let mut documents = DocumentSet::default();
    assert_eq!(documents.offer("desk", Revision(7), &text(70)), Outcome::Applied);
    assert_eq!(documents.offer("desk", Revision(6), &text(60)), Outcome::Stale);
    assert_eq!(documents.offer("desk", Revision(7), &text(71)), Outcome::Stale);
    assert_eq!(flows(&documents), 70);
    assert_eq!(documents.offer("desk", Revision(8), &text(80)), Outcome::Applied);
    assert_eq!(flows(&documents), 80);
}

/// An invalid document leaves the last valid one applied, and is reported only once.
#[test]
fn offer_invalid() {
    let mut documents = DocumentSet::default();
    documents.offer("desk", Revision(1), &text(10));
    let outcome = documents.offer("desk", Revision(2), "version = 1");
    assert!(matches!(outcome, Outcome::Invalid(_)));
    assert_eq!(flows(&documents), 10);
    assert_eq!(documents.offer("desk", Revision(2), "version = 1"), Outcome::Stale);
    let outcome = documents.offer("catalogue", Revision(3), &text(30));
    assert!(matches!(outcome, Outcome::Invalid(_)), "document of another service");
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
