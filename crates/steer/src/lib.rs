//! Steering: what an entry does with a packet when both ends of a flow return a token.
//!
//! The entry writes the token of the chosen upstream into the opening packet. Later packets bring
//! it back, at whichever entry, so that no entry needs a table of flows. Only openings are
//! remembered, for a while: for copies, hedges, counts and refusals.
//!
//! Pure data: nothing here does I/O or reads a clock, and no outer protocol is known.

pub mod answers;
pub mod choice;
pub mod decision;
pub mod engine;
pub mod held;
pub mod openings;
pub mod packet;
pub mod request;
pub mod table;
pub mod timing;

pub use decision::{Action, Event, Refusal, Settings, Stats};
pub use engine::Engine;
pub use held::Held;
pub use packet::{FlowKey, Packet, Raw};
pub use request::Failure;
pub use table::{Route, Service, Table, Target, Token, Upstream, UpstreamId, ZoneId};
