//! What an entry believes of routes, upstreams, zones and other entries, and how far it trusts it.
//!
//! Facts come with revisions from a store that may be away, forget its history, or lose entries of
//! upstreams that live. The outcome is a [`steer::Table`].
//!
//! Pure data: every function that decides takes `now`, and no outer protocol is known here.

pub mod record;
pub mod source;
pub mod state;
pub mod store_sync;

pub use record::{
    Config, Member, Record, RecordKey, RecordValue, RouteSpec, ServiceSpec, UpstreamSpec,
};
pub use source::{LocalEntry, ReaderCall, Role, Source, SourceSelector};
pub use state::{Directory, Settings, TableChange};
pub use store_sync::{Action, CallResult, Pace, StoreSync};
