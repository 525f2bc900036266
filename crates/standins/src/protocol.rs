//! Encoding of the requests and answers between callers and upstreams.
//!
//! An answer carries its request and its upstream's address, and its body is derived from the
//! request, so that a caller can detect a corrupt, truncated or misrouted answer.

use std::net::Ipv4Addr;

/// Length of a request in bytes.
pub const REQUEST_BYTES: usize = 20;

/// Length of an answer's header in bytes.
pub const ANSWER_HEADER_BYTES: usize = 24;

/// Magic number at the start of each request and answer.
const MAGIC: u32 = 0x1b15_5f07;

/// Largest answer body in bytes.
pub const MAX_BODY_BYTES: u32 = 64 * 1024;

stdx::value! {
    /// A request of a caller to a service.
    pub struct Request {
        /// Unique among all requests of all callers.
        pub id: u64,
        /// Identifies the service that it is for, see [`service_hash`].
        pub service: u32,
        /// Length of the body of its answer in bytes.
        pub body: u32,
    }

    /// The header of an answer.
    pub struct AnswerHeader {
        /// The request that is answered.
        pub request: Request,
        /// The upstream that processed it.
        pub upstream: Ipv4Addr,
    }
}

impl Request {
    /// Encodes the request.
    pub fn encode(&self) -> [u8; REQUEST_BYTES] {
        let mut buf = [0; REQUEST_BYTES];
        buf[..4].copy_from_slice(&MAGIC.to_be_bytes());
        buf[4..12].copy_from_slice(&self.id.to_be_bytes());
        buf[12..16].copy_from_slice(&self.service.to_be_bytes());
        buf[16..].copy_from_slice(&self.body.to_be_bytes());
        buf
    }

    /// Decodes a request; `None` if the bytes are not a valid one.
    pub fn decode(buf: &[u8; REQUEST_BYTES]) -> Option<Self> {
        let word = |offset: usize| {
            u32::from_be_bytes([buf[offset], buf[offset + 1], buf[offset + 2], buf[offset + 3]])
        };
        if word(0) != MAGIC || word(16) > MAX_BODY_BYTES {
            return None;
        }
        let id = u64::from(word(4)) << 32 | u64::from(word(8));
        Some(Self { id, service: word(12), body: word(16) })
    }

    /// The byte at `offset` in the body of the answer.
    pub fn body_byte(&self, offset: u32) -> u8 {
        (self.id as u8).wrapping_mul(31).wrapping_add(offset as u8)
    }
}

impl AnswerHeader {
    /// Encodes the answer: the header and the body.
    pub fn encode_answer(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(ANSWER_HEADER_BYTES + self.request.body as usize);
        buf.extend_from_slice(&self.request.encode());
        buf.extend_from_slice(&self.upstream.octets());
        buf.extend((0..self.request.body).map(|offset| self.request.body_byte(offset)));
        buf
    }

    /// Decodes the header of an answer; `None` if the bytes are not a valid one.
    pub fn decode(buf: &[u8]) -> Option<Self> {
        let request = Request::decode(buf.get(..REQUEST_BYTES)?.try_into().ok()?)?;
        let ip: [u8; 4] = buf.get(REQUEST_BYTES..ANSWER_HEADER_BYTES)?.try_into().ok()?;
        Some(Self { request, upstream: Ipv4Addr::from(ip) })
    }
}

/// Hash of a service's address that identifies the service in requests.
pub fn service_hash(address: std::net::SocketAddrV4) -> u32 {
    address.ip().to_bits().wrapping_mul(31).wrapping_add(u32::from(address.port()))
}
