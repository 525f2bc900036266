//! The documents that an instance applies: for each service the valid one of the highest revision.
//! Older revisions are never applied again.

use std::hash::Hasher;

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;

use crate::document::Document;
use crate::raw::Problems;

stdx::value! {
    /// The platform's revision of a write; later writes have higher revisions.
    #[derive(Default)]
    pub struct Revision(pub u64);
}

/// A document that is applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedDocument {
    /// The revision that wrote it.
    pub revision: Revision,
    /// The document's text, which is sent to peers.
    pub text: String,
    /// The validated document.
    pub document: Document,
}

/// Result of offering a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The document is now applied.
    Applied,
    /// The same or a later revision was offered before.
    Stale,
    /// The document is invalid; the last valid one stays applied.
    Invalid(Problems),
}

/// The documents that an instance applies, by service.
#[derive(Debug, Clone, Default)]
pub struct DocumentSet {
    applied: IndexMap<String, AppliedDocument>,
    last_revisions: IndexMap<String, Revision>,
}

impl DocumentSet {
    /// Applies a document, read from the platform or received from a peer, if it is valid and newer
    /// than all that were offered for the service before.
    pub fn offer(&mut self, service: &str, revision: Revision, text: &str) -> Outcome {
        if self.last_revisions.get(service).is_some_and(|last| *last >= revision) {
            return Outcome::Stale;
        }
        self.last_revisions.insert(service.to_owned(), revision);
        let document = match Document::parse(text).and_then(|doc| doc.expect_service(service)) {
            Ok(document) => document,
            Err(problems) => return Outcome::Invalid(problems),
        };
        let applied = AppliedDocument { revision, text: text.to_owned(), document };
        self.applied.insert(service.to_owned(), applied);
        Outcome::Applied
    }

    /// The applied documents by service.
    pub fn applied(&self) -> &IndexMap<String, AppliedDocument> {
        &self.applied
    }

    /// A hash of the services and revisions of the applied documents. Except for hash collisions,
    /// it differs whenever the sets differ.
    pub fn fingerprint(&self) -> u64 {
        let hash = |(service, applied): (&String, &AppliedDocument)| {
            let mut hasher = SipHasher13::new();
            hasher.write(service.as_bytes());
            hasher.write_u64(applied.revision.0);
            hasher.finish()
        };
        self.applied.iter().map(hash).fold(0, |acc, hash| acc ^ hash)
    }

    /// Whether no document is applied.
    pub fn is_empty(&self) -> bool {
        self.applied.is_empty()
    }
}
