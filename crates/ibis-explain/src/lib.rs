//! Explains from the logs of all entries what became of a flow.

pub mod cause;
pub mod line;

pub use cause::{Cause, Course, explain};
pub use line::{Line, read};
