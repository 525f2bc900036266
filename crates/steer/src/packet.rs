//! The parts of a client's packet that the engine reads.

use std::net::SocketAddrV4;

use crate::table::Token;

/// Maximum size of an opening packet that is kept for hedged requests.
pub const MAX_RAW_BYTES: usize = 48;

stdx::value! {
    /// Key of a flow: the addresses of both ends.
    pub struct FlowKey {
        /// The client's address.
        pub client: SocketAddrV4,
        /// The address that the client uses for the service.
        pub service: SocketAddrV4,
    }

    /// A packet from a client.
    #[expect(clippy::struct_excessive_bools, reason = "independent flags of a packet header")]
    pub struct Packet {
        /// The packet's flow.
        pub flow: FlowKey,
        /// The steering token; zero in an opening.
        pub token: Token,
        /// Sequence number of the first byte.
        pub seq: u32,
        /// Acknowledgement number; in an opening, the number of retransmits before it.
        pub ack: u32,
        /// SYN: opens a flow.
        pub syn: bool,
        /// ACK: the acknowledgement number is valid.
        pub has_ack: bool,
        /// FIN: the client sends no more data.
        pub fin: bool,
        /// RST: the client aborts the flow.
        pub rst: bool,
        /// Length of the payload in bytes.
        pub data_len: u16,
    }

    /// The bytes of an opening packet, kept for hedged requests.
    pub struct RawPacket {
        bytes: [u8; MAX_RAW_BYTES],
        len: u8,
    }
}

impl RawPacket {
    /// Copies `bytes`; `None` if there are more than [`MAX_RAW_BYTES`], as in an opening with data.
    pub fn new(bytes: &[u8]) -> Option<Self> {
        let mut raw = Self { bytes: [0; MAX_RAW_BYTES], len: u8::try_from(bytes.len()).ok()? };
        raw.bytes.get_mut(..bytes.len())?.copy_from_slice(bytes);
        Some(raw)
    }

    /// The packet's bytes.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes[..usize::from(self.len)]
    }
}
