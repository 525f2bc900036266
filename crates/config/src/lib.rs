//! Service documents: their format, their validation and their revisions.
//!
//! Performs no I/O; storage and distribution of documents are up to the callers.

pub mod document;
pub mod duration;
mod raw;
pub mod revision;

pub use document::{Document, Upstream, UpstreamState};
pub use raw::{Problem, Problems};
pub use revision::{DocumentSet, Revision};
