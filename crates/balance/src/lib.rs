//! Selection of an upstream for each new flow, within the upstreams' limits.
//!
//! Pure state machines without I/O and independent of protocols; functions that depend on time take
//! `now`.

pub mod pool;
pub mod ramp;
pub mod share;
pub mod token_bucket;

pub use pool::{Pool, Refusal, Spec};
pub use ramp::Limits;
pub use share::Share;
pub use token_bucket::TokenBucket;
