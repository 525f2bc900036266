//! Small stand-ins for what surrounds the system: the platform's service, the fabric, upstreams
//! and callers. They are for the demo and for tests and are no part of the product.

pub mod admin;
pub mod callers;
pub mod delay;
pub mod fabric;
pub mod host;
pub mod links;
pub mod platform;
pub mod protocol;
pub mod upstream;
