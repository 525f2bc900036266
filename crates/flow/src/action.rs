//! Inputs of the engine and the actions it returns.

use std::net::Ipv4Addr;

use crate::homes::Id;
use crate::key::Key;

stdx::value! {
    /// The sender of a packet.
    pub enum Origin {
        /// From a caller, through the fabric.
        Caller,
        /// From an upstream.
        Upstream(Ipv4Addr),
        /// From another entry.
        Peer(Relay),
    }

    /// Metadata of a packet that an entry relays to another.
    pub struct Relay {
        /// The entry that relayed the packet.
        pub from: Id,
        /// The upstream that sent the packet; `None` if a caller sent it.
        pub upstream: Option<Ipv4Addr>,
        /// Number of relays so far, including this one.
        pub hops: u8,
    }

    /// The destination of a packet.
    pub enum Target {
        /// To the caller, through the fabric.
        Caller,
        /// To an upstream, from one of the entry's source ports.
        Upstream {
            /// The upstream's address.
            ip: Ipv4Addr,
            /// Selects the source port, modulo the number of ports.
            path: u8,
        },
        /// To another entry.
        Peer {
            /// The entry.
            to: Id,
            /// The upstream that sent the packet; `None` if a caller sent it.
            upstream: Option<Ipv4Addr>,
            /// Number of relays so far, including this one.
            hops: u8,
        },
    }

    /// A message between entries about a single flow.
    pub enum Message {
        /// Asks whether the receiver knows the upstream of a flow.
        Ask(Key),
        /// Answers with the upstream of a flow.
        Known {
            /// The flow.
            key: Key,
            /// Its upstream.
            upstream: Ipv4Addr,
            /// Whether the upstream has not yet answered the opening.
            opening: bool,
        },
        /// Answers that the sender does not know the flow.
        Unknown(Key),
        /// Invalidates a learned upstream that does not have the flow's connection.
        Forget {
            /// The flow.
            key: Key,
            /// The upstream that does not have the connection.
            upstream: Ipv4Addr,
        },
    }
}

stdx::record! {
    /// An action that the embedder of the engine has to carry out.
    pub enum Action {
        /// Forwards the packet passed to `on_packet`.
        Forward(Target),
        /// Sends a packet that the engine built or queued.
        Emit {
            /// The packet.
            bytes: Box<[u8]>,
            /// The destination.
            to: Target,
        },
        /// Sends a message to another entry.
        SendMessage {
            /// The entry.
            to: Id,
            /// The message.
            message: Message,
        },
    }
}
