//! The store: records with a revision counter and a history that can be compacted.

use directory::{Record, RecordKey, RecordValue};
use indexmap::IndexMap;

/// Current records, and the history of changes since the last compaction.
#[derive(Debug, Clone, Default)]
pub struct Store {
    revision: u64,
    items: IndexMap<RecordKey, Record>,
    history: Vec<Record>,
    /// Revision up to which the history has been compacted.
    compacted_revision: u64,
    /// Whether it leaves calls unanswered.
    pub unavailable: bool,
}

impl Store {
    /// Writes a record, or deletes it if `value` is `None`.
    pub fn put(&mut self, key: RecordKey, value: Option<RecordValue>) {
        let current = self.items.get(&key);
        if current.is_none() && value.is_none() {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let created = current.map_or(revision, |current| current.created);
        let record = Record { key: key.clone(), revision, created, value };
        self.history.push(record.clone());
        if record.value.is_some() {
            self.items.insert(key, record);
        } else {
            self.items.swap_remove(&key);
        }
    }

    /// All records, and the current revision.
    pub fn load(&self) -> (Vec<Record>, u64) {
        (self.items.values().cloned().collect(), self.revision)
    }

    /// Changes after `revision`; `None` if they have been compacted.
    pub fn since(&self, revision: u64) -> Option<Vec<Record>> {
        if revision < self.compacted_revision {
            return None;
        }
        Some(self.history.iter().filter(|record| record.revision > revision).cloned().collect())
    }

    /// The current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Compacts the whole history.
    pub fn compact(&mut self) {
        self.compacted_revision = self.revision;
        self.history.clear();
    }

    /// Deletes the records of all upstreams, as if their leases had expired.
    pub fn expire_upstream_leases(&mut self) {
        let expired: Vec<RecordKey> = self
            .items
            .keys()
            .filter(|key| matches!(key, RecordKey::Upstream(_)))
            .cloned()
            .collect();
        for key in expired {
            self.put(key, None);
        }
    }
}
