//! Stand-in for the platform's key-value service: the subset of its API that the system uses, in
//! memory, with faults on demand.

pub mod faults;
pub mod server;
pub mod store;
