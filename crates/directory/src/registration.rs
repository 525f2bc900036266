//! The registration of this entry: a wanted state that is written to the store, compared with what the
//! store lists, and written again if it is not in force.
//!
//! A write without an answer may be executed seconds later, and an earlier process with the same name
//! may have written too. So a write replaces only the revision that it names, and all attempts use
//! one lease as long as it lasts.

use std::time::Duration;

use stdx::hash;

use crate::record::Revision;

/// Registrations per second over all entries. Each takes two writing calls, so this is half of the
/// 400 a second that the smallest stores allow.
const REGISTRATIONS_PER_S: u32 = 100;

/// Maximum span over which entries register again. Those that are missing count as members for a
/// grace period of seconds only.
const MAX_SPAN: Duration = Duration::from_secs(3);

/// Delay of an entry's registration, one of `entries`. All know of the loss at the same moment.
pub fn delay(name: &str, entries: usize) -> Duration {
    let span = Duration::from_secs(1) * entries as u32 / REGISTRATIONS_PER_S;
    let place = hash::mix(hash::fnv1a(name)) as f64 / u64::MAX as f64;
    span.min(MAX_SPAN).mul_f64(place)
}

stdx::value! {
    /// A lease and the era of the store that granted it. Its id may be another entry's in a later era.
    pub struct Lease {
        /// Identifier of the lease.
        pub id: u64,
        /// Era of the store that granted it.
        pub era: u64,
    }

    /// The record under this entry's key.
    pub struct Listed {
        /// Revision of its last change.
        pub revision: Revision,
        /// Start of the process that wrote it; `None` if it can't be decoded.
        pub incarnation: Option<u64>,
    }

    /// The call that brings the registration into force or keeps it there.
    pub enum Call {
        /// Request a lease.
        Grant,
        /// Write the record under a lease if the key is still at a revision; 0 if it does not exist.
        Write {
            /// The lease.
            lease: u64,
            /// The revision that is replaced.
            replaces: u64,
        },
        /// Renew the lease.
        Keep {
            /// The lease.
            lease: u64,
        },
    }

    /// How the registration compares with what the store lists.
    pub enum Status {
        /// It is in force, or what is known of the store is older than the last write.
        InForce,
        /// The store doesn't list it any more.
        Missing,
        /// A late write of this entry or of an earlier process has replaced it.
        Replaced,
        /// A later process with the same name has registered.
        Superseded,
    }
}

/// Registration of one process.
#[derive(Debug, Clone)]
pub struct Registration {
    incarnation: u64,
    lease: Option<Lease>,
    /// Number of the revision that the next write replaces.
    replaces: u64,
    /// Revision at which the store has confirmed the record.
    written: Option<Revision>,
}

impl Registration {
    /// A registration that has not been written. `listed` is the record of an earlier process.
    pub fn new(incarnation: u64, listed: Option<Listed>) -> Self {
        let replaces = listed.map_or(0, |listed| listed.revision.number);
        Self { incarnation, lease: None, replaces, written: None }
    }

    /// The next call to the store.
    pub fn next_call(&self) -> Call {
        match (self.lease, self.written) {
            (None, _) => Call::Grant,
            (Some(lease), None) => Call::Write { lease: lease.id, replaces: self.replaces },
            (Some(lease), Some(_)) => Call::Keep { lease: lease.id },
        }
    }

    /// The lease under which the record was, or may still be, written.
    pub fn lease(&self) -> Option<Lease> {
        self.lease
    }

    /// The store has granted a lease.
    pub fn on_granted(&mut self, lease: Lease) {
        self.lease = Some(lease);
        self.written = None;
    }

    /// The record is in the store.
    pub fn on_written(&mut self, revision: Revision) {
        self.written = Some(revision);
    }

    /// The key is at another revision than the write was to replace; 0 if it does not exist.
    pub fn on_conflict(&mut self, current: u64) {
        self.replaces = current;
    }

    /// The lease has ended, or was granted in an earlier era of the store; its record is gone, or will
    /// be.
    pub fn on_lease_ended(&mut self) {
        self.lease = None;
        self.written = None;
    }

    /// Compares the registration with the record that the store lists as of the revision `seen`. If it
    /// is not in force, the next call writes it again. In a new era it takes a new lease first, see
    /// [`Self::on_lease_ended`].
    pub fn check(&mut self, seen: Revision, listed: Option<Listed>) -> Status {
        let is_comparable = |written: &Revision| written.era == seen.era && *written <= seen;
        let Some(written) = self.written.filter(is_comparable) else {
            return Status::InForce;
        };
        let status = match listed {
            None => Status::Missing,
            // A record that is older than the write comes from a copy that lags.
            Some(listed) if listed.revision <= written => return Status::InForce,
            Some(listed) if listed.incarnation > Some(self.incarnation) => {
                return Status::Superseded;
            }
            Some(_) => Status::Replaced,
        };
        self.written = None;
        self.replaces = listed.map_or(0, |listed| listed.revision.number);
        status
    }
}
