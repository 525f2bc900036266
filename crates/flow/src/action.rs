//! What the engine takes and what it wants done.

use std::net::Ipv4Addr;

use crate::homes::Id;
use crate::key::Key;

stdx::value! {
    /// Where a packet came from.
    pub enum Origin {
        /// From a caller, through the fabric.
        Caller,
        /// From an upstream.
        Upstream(Ipv4Addr),
        /// From another entry.
        Peer(Relay),
    }

    /// What an entry says about a packet that it relays.
    pub struct Relay {
        /// The entry that relayed the packet.
        pub from: Id,
        /// The upstream that sent the packet; none if a caller did.
        pub upstream: Option<Ipv4Addr>,
        /// How many relays the packet has passed, this one included.
        pub hops: u8,
    }

    /// Where a packet goes.
    pub enum Target {
        /// To the caller, through the fabric.
        Caller,
        /// To an upstream, from one of the entry's source ports.
        Upstream {
            /// The upstream's address.
            ip: Ipv4Addr,
            /// Which source port; taken modulo the number of ports.
            path: u8,
        },
        /// To another entry.
        Peer {
            /// The entry.
            to: Id,
            /// The upstream that sent the packet; none if a caller did.
            upstream: Option<Ipv4Addr>,
            /// How many relays the packet has passed, this one included.
            hops: u8,
        },
    }

    /// What entries say to each other about single flows.
    pub enum Message {
        /// Asks whether the receiver knows the upstream of a flow.
        Ask(Key),
        /// Answers that a flow is held by an upstream.
        Known {
            /// The flow.
            key: Key,
            /// Its upstream.
            upstream: Ipv4Addr,
            /// Whether the upstream has not yet answered the opening.
            opening: bool,
        },
        /// Answers that the flow is not known.
        Unknown(Key),
        /// Tells that a flow is not held by an upstream, so that it is not learned from there.
        Forget {
            /// The flow.
            key: Key,
            /// The upstream that does not hold it.
            upstream: Ipv4Addr,
        },
    }
}

stdx::record! {
    /// What the caller of the engine has to do.
    pub enum Action {
        /// Sends on the packet that was handed in.
        Forward(Target),
        /// Sends a packet that the engine built or kept.
        Emit {
            /// The packet.
            bytes: Box<[u8]>,
            /// Where it goes.
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
