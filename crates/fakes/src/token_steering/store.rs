//! The store: one revision counter, a history, and faults.

use directory::{Record, RecordKey, RecordValue};
use indexmap::IndexMap;

/// What is stored, and the changes since a while.
#[derive(Debug, Clone, Default)]
pub struct Store {
    revision: u64,
    items: IndexMap<RecordKey, Record>,
    history: Vec<Record>,
    /// The last revision that the history does not reach back to.
    forgotten: u64,
    /// Whether it answers.
    pub away: bool,
}

impl Store {
    /// Writes an item, or removes it.
    pub fn put(&mut self, subject: RecordKey, fact: Option<RecordValue>) {
        let known = self.items.get(&subject);
        if known.is_none() && fact.is_none() {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let created = known.map_or(revision, |known| known.created);
        let record = Record { key: subject.clone(), revision, created, value: fact };
        self.history.push(record.clone());
        if record.value.is_some() {
            self.items.insert(subject, record);
        } else {
            self.items.swap_remove(&subject);
        }
    }

    /// All items, and the revision they stand at.
    pub fn load(&self) -> (Vec<Record>, u64) {
        (self.items.values().cloned().collect(), self.revision)
    }

    /// Changes after a revision; `None` if the history does not reach back so far.
    pub fn since(&self, revision: u64) -> Option<Vec<Record>> {
        if revision < self.forgotten {
            return None;
        }
        Some(self.history.iter().filter(|record| record.revision > revision).cloned().collect())
    }

    /// The present revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Drops the history.
    pub fn forget(&mut self) {
        self.forgotten = self.revision;
        self.history.clear();
    }

    /// Removes all records of upstreams, as when their leases run out.
    pub fn lapse(&mut self) {
        let lapsed: Vec<RecordKey> = self
            .items
            .keys()
            .filter(|subject| matches!(subject, RecordKey::Upstream(_)))
            .cloned()
            .collect();
        for subject in lapsed {
            self.put(subject, None);
        }
    }
}
