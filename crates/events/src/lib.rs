//! The time line of events: what changed, where and when, ordered over all processes.
//!
//! A process records its events in a bounded ring; `ibis-timeline` reads the rings of all processes
//! and merges them by their hybrid logical clocks.

pub mod event;
pub mod hlc;
pub mod ring;

pub use event::{Event, Kind};
pub use hlc::{Hlc, Stamp};
pub use ring::{Page, Ring};
