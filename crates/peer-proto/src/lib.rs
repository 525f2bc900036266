//! Wire protocol between entries, over UDP and QUIC.
//!
//! The types are generated from `proto/peer.proto` by `cargo xtask codegen`. This crate only
//! encodes and decodes; the messages are handled in the crates without I/O.

use bytes::Bytes;
use prost::Message;

#[rustfmt::skip]
#[path = "generated/ibisshift.peer.v1.rs"]
#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::restriction, reason = "generated")]
pub mod v1;

/// Maximum length of a control message that is accepted.
pub const MAX_CONTROL_BYTES: usize = 4 * 1024 * 1024;

/// A message that can't be decoded.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
#[display("malformed peer message: {_0}")]
pub struct DecodeError(prost::DecodeError);

/// Appends an encoded datagram to `buf`.
pub fn encode_datagram(kind: v1::datagram::Kind, buf: &mut Vec<u8>) {
    encode(&v1::Datagram { kind: Some(kind) }, buf);
}

/// Decodes a datagram; `None` if this version does not know its kind.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid datagram.
pub fn decode_datagram(bytes: Bytes) -> Result<Option<v1::datagram::Kind>, DecodeError> {
    Ok(v1::Datagram::decode(bytes)?.kind)
}

/// Encodes a message between entries that steer by tokens.
pub fn encode_reach(kind: v1::reach::Kind) -> Vec<u8> {
    v1::Reach { kind: Some(kind) }.encode_to_vec()
}

/// Decodes a message between entries that steer by tokens; `None` if this version does not know its
/// kind.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid message.
pub fn decode_reach(bytes: &[u8]) -> Result<Option<v1::reach::Kind>, DecodeError> {
    Ok(v1::Reach::decode(bytes)?.kind)
}

/// Encodes a part of an entry's facts.
pub fn encode_facts(facts: &v1::Facts) -> Vec<u8> {
    facts.encode_to_vec()
}

/// Decodes a part of an entry's facts.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid part.
pub fn decode_facts(bytes: Bytes) -> Result<v1::Facts, DecodeError> {
    Ok(v1::Facts::decode(bytes)?)
}

/// Encodes changes of the store.
pub fn encode_changes(changes: &v1::Changes) -> Vec<u8> {
    changes.encode_to_vec()
}

/// Decodes changes of the store.
///
/// # Errors
///
/// Returns an error if the bytes are not valid.
pub fn decode_changes(bytes: Bytes) -> Result<v1::Changes, DecodeError> {
    Ok(v1::Changes::decode(bytes)?)
}

/// Encodes a control message.
pub fn encode_control(kind: v1::control::Kind) -> Vec<u8> {
    v1::Control { kind: Some(kind) }.encode_to_vec()
}

/// Decodes a control message; `None` if this version does not know its kind.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid control message.
pub fn decode_control(bytes: &[u8]) -> Result<Option<v1::control::Kind>, DecodeError> {
    Ok(v1::Control::decode(bytes)?.kind)
}

/// Appends an encoded message. Encoding can't fail, because a `Vec` grows as needed.
fn encode(message: &impl Message, buf: &mut Vec<u8>) {
    buf.reserve(message.encoded_len());
    let result = message.encode(buf);
    debug_assert!(result.is_ok());
}
