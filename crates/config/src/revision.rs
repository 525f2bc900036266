//! Which version of a document is in force: the highest revision ever seen, never an older one.

use std::hash::Hasher;

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;

use crate::document::Document;
use crate::raw::Problems;

stdx::value! {
    /// The platform's revision of a write; higher is later.
    #[derive(Default)]
    pub struct Revision(pub u64);
}

/// A document in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedDocument {
    /// The revision that wrote it.
    pub revision: Revision,
    /// The document's text, to be passed on to peers.
    pub text: String,
    /// The checked document.
    pub document: Document,
}

/// What became of an offered document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It is now in force.
    Applied,
    /// This or a later revision is known already.
    Stale,
    /// It is not valid; the last good one stays in force.
    Invalid(Problems),
}

/// The documents that one instance holds, by service.
#[derive(Debug, Clone, Default)]
pub struct DocumentSet {
    in_force: IndexMap<String, AppliedDocument>,
    seen: IndexMap<String, Revision>,
}

impl DocumentSet {
    /// Offers a document that was read from the platform or a peer.
    pub fn offer(&mut self, service: &str, revision: Revision, text: &str) -> Outcome {
        if self.seen.get(service).is_some_and(|seen| *seen >= revision) {
            return Outcome::Stale;
        }
        self.seen.insert(service.to_owned(), revision);
        let document = match Document::parse(text).and_then(|doc| doc.named(service)) {
            Ok(document) => document,
            Err(problems) => return Outcome::Invalid(problems),
        };
        let in_force = AppliedDocument { revision, text: text.to_owned(), document };
        self.in_force.insert(service.to_owned(), in_force);
        Outcome::Applied
    }

    /// The documents in force by service.
    pub fn applied(&self) -> &IndexMap<String, AppliedDocument> {
        &self.in_force
    }

    /// A number that differs, but for rare chance, whenever the documents in force differ.
    pub fn fingerprint(&self) -> u64 {
        let one = |(service, held): (&String, &AppliedDocument)| {
            let mut hasher = SipHasher13::new();
            hasher.write(service.as_bytes());
            hasher.write_u64(held.revision.0);
            hasher.finish()
        };
        self.in_force.iter().map(one).fold(0, |all, hash| all ^ hash)
    }

    /// Whether any document is in force.
    pub fn is_empty(&self) -> bool {
        self.in_force.is_empty()
    }
}
