//! The store: records with a revision counter and a history that can be compacted.

use directory::{Record, RecordKey, RecordValue, Revision};
use indexmap::IndexMap;

/// Current records, and the history of changes since the last compaction.
#[derive(Debug, Clone, Default)]
pub struct Store {
    /// Number of steps back to an older copy.
    era: u64,
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
        let created = current.map_or(revision, |current| current.created.number);
        let created = Revision::new(self.era, created);
        let record = Record { key: key.clone(), revision: self.revision(), created, value };
        self.history.push(record.clone());
        if record.value.is_some() {
            self.items.insert(key, record);
        } else {
            self.items.swap_remove(&key);
        }
    }

    /// All records, and the current revision.
    pub fn load(&self) -> (Vec<Record>, Revision) {
        (self.items.values().map(|record| self.tell(record)).collect(), self.revision())
    }

    /// Changes after revision `number`; `None` if it does not have them.
    pub fn since(&self, number: u64) -> Option<Vec<Record>> {
        if number < self.compacted_revision || number > self.revision {
            return None;
        }
        let newer = self.history.iter().filter(|record| record.revision.number > number);
        Some(newer.map(|record| self.tell(record)).collect())
    }

    /// The current revision.
    pub fn revision(&self) -> Revision {
        Revision::new(self.era, self.revision)
    }

    /// Comes back from an older copy.
    pub fn restore(&mut self, copy: Self) {
        *self = Self { era: self.era + 1, unavailable: self.unavailable, ..copy };
    }

    /// A record as an answer of this era tells it.
    fn tell(&self, record: &Record) -> Record {
        let stamp = |revision: Revision| Revision { era: self.era, ..revision };
        let (revision, created) = (stamp(record.revision), stamp(record.created));
        Record { revision, created, ..record.clone() }
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
