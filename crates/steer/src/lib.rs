//! Decision engine of an entry: chooses upstreams for new flows and steers packets by token.
//!
//! The entry writes the token of the chosen upstream into the opening packet. Both ends return the
//! token in later packets, so any entry can forward them without a flow table. Only openings are
//! tracked, for a limited time: for retransmits, hedged requests, flow counts and refusals.
//!
//! The crate does no I/O, reads no clock and does not depend on the packet format.

pub mod acknowledgements;
pub mod backlog;
pub mod baseline;
pub mod decision;
pub mod engine;
pub mod hold_queue;
pub mod inquiries;
pub mod latency;
pub mod lookup_queue;
pub mod openings;
pub mod packet;
pub mod pins;
pub mod placement;
pub mod request;
pub mod selection;
pub mod stranded;
pub mod strays;
pub mod table;

pub use backlog::Backlog;
pub use decision::{Action, Event, Refusal, Settings, Stats};
pub use engine::Engine;
pub use hold_queue::HoldQueue;
pub use lookup_queue::LookupQueue;
pub use packet::{FlowKey, Packet, RawPacket};
pub use pins::Pin;
pub use request::AnswerFailure;
pub use stranded::ResetReason;
pub use table::{Route, Service, Table, Target, Token, Upstream, UpstreamId, ZoneId};
