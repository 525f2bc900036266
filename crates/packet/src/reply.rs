//! Builds the TCP resets and ICMP errors that the balancer sends itself.

use etherparse::{Icmpv4Type, PacketBuilder, icmpv4};

use crate::view::{Transport, View};

/// Time to live of packets built here.
const TTL_HOPS: u8 = 64;

/// Maximum part of the rejected packet that an ICMP error quotes: a 20-byte IPv4 header and 8 bytes
/// of payload.
const MAX_QUOTE_BYTES: usize = 28;

/// Builds the RST that answers a TCP segment, as if sent by the segment's receiver.
///
/// Returns `None` for other protocols, and for an RST, which must not be answered.
pub fn reset(view: &View<'_>) -> Option<Box<[u8]>> {
    let Transport::Tcp { seq, ack, flags, payload_len } = view.transport else {
        return None;
    };
    if flags.rst {
        return None;
    }
    let ip = PacketBuilder::ipv4(view.dst.ip().octets(), view.src.ip().octets(), TTL_HOPS);
    let builder = if flags.ack {
        ip.tcp(view.dst.port(), view.src.port(), ack, 0).rst()
    } else {
        let segment_len = u32::from(payload_len) + u32::from(flags.syn) + u32::from(flags.fin);
        ip.tcp(view.dst.port(), view.src.port(), 0, 0).rst().ack(seq.wrapping_add(segment_len))
    };
    let mut buf = Vec::with_capacity(builder.size(0));
    builder.write(&mut buf, &[]).ok()?;
    Some(buf.into_boxed_slice())
}

/// Builds the ICMP port-unreachable error that rejects a UDP datagram.
///
/// Returns `None` for other protocols.
pub fn port_unreachable(view: &View<'_>) -> Option<Box<[u8]>> {
    let Transport::Udp { .. } = view.transport else {
        return None;
    };
    let kind = Icmpv4Type::DestinationUnreachable(icmpv4::DestUnreachableHeader::Port);
    let builder =
        PacketBuilder::ipv4(view.dst.ip().octets(), view.src.ip().octets(), TTL_HOPS).icmpv4(kind);
    let quote = &view.bytes[..view.bytes.len().min(MAX_QUOTE_BYTES)];
    let mut buf = Vec::with_capacity(builder.size(quote.len()));
    builder.write(&mut buf, quote).ok()?;
    Some(buf.into_boxed_slice())
}
