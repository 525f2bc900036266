//! Packets that the balancer itself answers with.

use etherparse::{Icmpv4Type, PacketBuilder, icmpv4};

use crate::view::{Transport, View};

/// Time to live of packets built here, in hops.
const TTL_HOPS: u8 = 64;

/// Bytes of the refused packet that an ICMP error quotes at most.
const QUOTE_BYTES: usize = 28;

/// Builds the RST that answers a TCP segment, as if sent by the segment's receiver.
///
/// Returns `None` for packets that may not be answered: other protocols and RST itself.
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
        let length = u32::from(payload_len) + u32::from(flags.syn) + u32::from(flags.fin);
        ip.tcp(view.dst.port(), view.src.port(), 0, 0).rst().ack(seq.wrapping_add(length))
    };
    let mut buf = Vec::with_capacity(builder.size(0));
    builder.write(&mut buf, &[]).ok()?;
    Some(buf.into_boxed_slice())
}

/// Builds the ICMP port-unreachable error that refuses a UDP datagram.
///
/// Returns `None` for other protocols.
pub fn port_unreachable(view: &View<'_>) -> Option<Box<[u8]>> {
    let Transport::Udp { .. } = view.transport else {
        return None;
    };
    let kind = Icmpv4Type::DestinationUnreachable(icmpv4::DestUnreachableHeader::Port);
    let builder =
        PacketBuilder::ipv4(view.dst.ip().octets(), view.src.ip().octets(), TTL_HOPS).icmpv4(kind);
    let quote = &view.bytes[..view.bytes.len().min(QUOTE_BYTES)];
    let mut buf = Vec::with_capacity(builder.size(quote.len()));
    builder.write(&mut buf, quote).ok()?;
    Some(buf.into_boxed_slice())
}
