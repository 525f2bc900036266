//! Steering: what an entry does with a packet when both ends of a flow return a token.
//!
//! The entry writes the token of the chosen upstream into the opening packet. Later packets bring
//! it back, at whichever entry, so that no entry needs a table of flows. Only openings are
//! remembered, for a while: for copies, hedges, counts and refusals.
//!
//! Pure data: nothing here does I/O or reads a clock, and no outer protocol is known.

pub mod baseline;
pub mod decision;
pub mod engine;
pub mod hold_queue;
pub mod latency;
pub mod openings;
pub mod packet;
pub mod request;
pub mod selection;
pub mod table;

pub use decision::{Action, Event, Refusal, Settings, Stats};
pub use engine::Engine;
pub use hold_queue::HoldQueue;
pub use packet::{FlowKey, Packet, RawPacket};
pub use request::AnswerFailure;
pub use table::{Route, Service, Table, Target, Token, Upstream, UpstreamId, ZoneId};
