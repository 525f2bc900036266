//! Explains from the logs of all entries why a flow failed.

pub mod cause;
pub mod line;

pub use cause::{Cause, Explanation, explain};
pub use line::{Line, parse_log};
