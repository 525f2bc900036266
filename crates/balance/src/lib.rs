//! Which upstream a new flow goes to, and how much each upstream may be given.
//!
//! Pure data: every function that decides takes `now`, nothing here does I/O, and no protocol is
//! known here.

pub mod pool;
pub mod ramp;
pub mod share;
pub mod token_bucket;

pub use pool::{Pool, Refusal, Spec};
pub use ramp::Limits;
pub use share::Share;
pub use token_bucket::TokenBucket;
