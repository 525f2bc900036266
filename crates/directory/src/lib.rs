//! An entry's state of the configuration, upstreams, zones and other entries, and its
//! synchronisation with the store.
//!
//! Records come with revisions from a store that may be unavailable, compact its history, or lose
//! the records of live upstreams. The result is a [`steer::Table`].
//!
//! Pure state machines independent of the store's protocol; functions that depend on time take
//! `now`.

pub mod full_read;
pub mod giving;
pub mod record;
pub mod registration;
pub mod source;
pub mod state;
pub mod store_sync;

pub use full_read::{CompleteRead, FullRead};
pub use record::{
    Config, Member, Record, RecordKey, RecordValue, Revision, RouteSpec, ServiceSpec, UpstreamSpec,
};
pub use registration::Registration;
pub use source::{LocalEntry, ReaderCall, Role, Source, SourceSelector};
pub use state::{Directory, Part, Settings, TableChange};
pub use store_sync::{Action, CallResult, Pace, StoreSync};
