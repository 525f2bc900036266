//! What steering needs to know of a packet.

use std::net::SocketAddrV4;

use crate::table::Token;

/// Most bytes of an opening packet that are kept to send it again.
pub const MAX_RAW_BYTES: usize = 48;

stdx::value! {
    /// The two ends of a flow.
    pub struct FlowKey {
        /// The client's end.
        pub client: SocketAddrV4,
        /// The service's end, as the client addresses it.
        pub service: SocketAddrV4,
    }

    /// A packet that a client sent.
    #[expect(clippy::struct_excessive_bools, reason = "flags of a head, each on its own")]
    pub struct Packet {
        /// The flow it belongs to.
        pub flow: FlowKey,
        /// The token that it brings; zero on an opening.
        pub token: Token,
        /// Sequence number of its first byte.
        pub seq: u32,
        /// The next byte that the client expects, or on an opening the count of copies before.
        pub ack: u32,
        /// Opens a flow.
        pub syn: bool,
        /// Acknowledges.
        pub has_ack: bool,
        /// The client sends no more.
        pub fin: bool,
        /// The client gives the flow up.
        pub rst: bool,
        /// Bytes of data.
        pub data_len: u16,
    }

    /// The bytes of an opening packet, opaque here, kept for sending them again.
    pub struct RawPacket {
        bytes: [u8; MAX_RAW_BYTES],
        len: u8,
    }
}

impl RawPacket {
    /// Keeps `bytes`; `None` if they are too long for an opening without data.
    pub fn new(bytes: &[u8]) -> Option<Self> {
        let mut raw = Self { bytes: [0; MAX_RAW_BYTES], len: u8::try_from(bytes.len()).ok()? };
        raw.bytes.get_mut(..bytes.len())?.copy_from_slice(bytes);
        Some(raw)
    }

    /// The bytes.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes[..usize::from(self.len)]
    }
}
