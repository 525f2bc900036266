//! What an entry believes of routes, upstreams, zones and other entries, and how far it trusts it.
//!
//! Facts come with revisions from a store that may be away, forget its history, or lose entries of
//! upstreams that live. The outcome is a [`steer::Table`].
//!
//! Pure data: every function that decides takes `now`, and no outer protocol is known here.

pub mod believed;
pub mod fact;
pub mod follow;
pub mod relay;

pub use believed::{Directory, Settings, Shift};
pub use fact::{Config, Fact, Member, Record, RouteSpec, ServiceSpec, Subject, UpstreamSpec};
pub use follow::{Answer, Ask, Follow, Pace};
pub use relay::{Own, Reading, Relay, Role, Source};
