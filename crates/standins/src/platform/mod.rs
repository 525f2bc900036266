//! Stand-in for the platform's key-value service: an in-memory implementation of the API subset
//! that the system uses, with fault injection.

pub mod faults;
pub mod server;
pub mod store;
