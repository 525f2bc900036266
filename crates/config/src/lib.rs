//! Service documents: their format, their validation and their revisions.
//!
//! Pure data. Where documents are stored and how they spread is decided elsewhere.

pub mod document;
pub mod duration;
mod raw;
pub mod revision;

pub use document::{Document, Upstream, UpstreamState};
pub use raw::{Problem, Problems};
pub use revision::{DocumentSet, Revision};
