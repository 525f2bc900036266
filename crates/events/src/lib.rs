//! Timeline of events: what changed, where and when, in one order over all processes.
//!
//! A process records its events in a ring buffer; `ibis-timeline` reads the buffers of all
//! processes and merges them by the stamps of their hybrid logical clocks.

pub mod event;
pub mod hlc;
pub mod ring;

pub use event::{Event, Kind};
pub use hlc::{Hlc, Stamp};
pub use ring::{Page, Ring};
