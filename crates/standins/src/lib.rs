//! Small stand-ins for the external systems: the platform's key-value service, the fabric,
//! upstreams and callers. Used by the demo and by tests; not part of the product.

pub mod admin;
pub mod callers;
pub mod delay;
pub mod fabric;
pub mod host;
pub mod links;
pub mod platform;
pub mod protocol;
pub mod upstream;
