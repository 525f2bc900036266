//! Tests which packets are accepted, and that no input makes parsing or replying panic.

use std::net::{Ipv4Addr, SocketAddrV4};

use etherparse::PacketBuilder;
use packet::{ParseError, Protocol, Transport, View, reply};
use proptest::prelude::*;

const A: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, 1), 5000);
const B: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 10, 0, 1), 4000);

fn tcp(payload: &[u8]) -> Vec<u8> {
    let ip = PacketBuilder::ipv4(A.ip().octets(), B.ip().octets(), 64);
    let builder = ip.tcp(A.port(), B.port(), 7, 1_000).syn();
    let mut buf = Vec::new();
    builder.write(&mut buf, payload).expect("writing to a vector never fails");
    buf
}

fn udp(payload: &[u8]) -> Vec<u8> {
    let builder = PacketBuilder::ipv4(A.ip().octets(), B.ip().octets(), 64).udp(A.port(), B.port());
    let mut buf = Vec::new();
    builder.write(&mut buf, payload).expect("writing to a vector never fails");
    buf
}

/// Sets bytes of the IP header by their offsets and updates its checksum.
fn with_header_bytes(mut packet: Vec<u8>, changes: &[(usize, u8)]) -> Vec<u8> {
    for (offset, byte) in changes {
        packet[*offset] = *byte;
    }
    packet[10] = 0;
    packet[11] = 0;
    let sum: u32 =
        packet[..20].chunks(2).map(|pair| u32::from(u16::from_be_bytes([pair[0], pair[1]]))).sum();
    let folded = (sum & 0xffff) + (sum >> 16);
    let checksum = !((folded & 0xffff) + (folded >> 16)) as u16;
    packet[10..12].copy_from_slice(&checksum.to_be_bytes());
    packet
}

fn assert_rejected(packet: &[u8], expected: ParseError) {
    assert_eq!(View::parse(packet).err(), Some(expected));
}

#[test]
fn parse_tcp() {
    let packet = tcp(b"abc");
    let view = View::parse(&packet).expect("a valid packet");
    assert_eq!((view.src, view.dst, view.payload_len()), (A, B, 3));
    assert!(view.is_opening());
}

#[test]
fn parse_padding() {
    let mut packet = udp(b"abc");
    packet.extend([0; 9]);
    let view = View::parse(&packet).expect("a valid packet");
    assert_eq!((view.protocol(), view.payload_len()), (Protocol::Udp, 3));
    assert_eq!(view.bytes.len(), packet.len() - 9);
}

#[test]
fn parse_malformed() {
    let good = tcp(b"abc");
    assert_rejected(&[], ParseError::Truncated);
    assert_rejected(&good[..10], ParseError::Truncated);
    assert_rejected(&good[..30], ParseError::Truncated);
    assert_rejected(&good[..good.len() - 1], ParseError::Truncated);
    assert_rejected(&[0x60; 60], ParseError::NotIpv4);
    assert_rejected(&vec![0x45; packet::view::MAX_PACKET_BYTES + 1], ParseError::Oversize);
    assert_rejected(&with_header_bytes(good.clone(), &[(3, 10)]), ParseError::BadIpHeader);
    assert_rejected(&with_header_bytes(good.clone(), &[(6, 0x20)]), ParseError::Fragment);
    assert_rejected(&with_header_bytes(good.clone(), &[(7, 9)]), ParseError::Fragment);
    assert_rejected(&with_header_bytes(good.clone(), &[(9, 47)]), ParseError::UnsupportedProtocol);
    let mut checksum = good.clone();
    checksum[10] ^= 1;
    assert_rejected(&checksum, ParseError::BadIpHeader);
    let mut data_offset = good.clone();
    data_offset[32] = 0x10;
    assert_rejected(&data_offset, ParseError::BadTransportHeader);
    let mut flags = good;
    flags[33] = 0b0000_0011;
    assert_rejected(&flags, ParseError::BadTransportHeader);
    let mut length = udp(b"abc");
    length[25] = 200;
    assert_rejected(&length, ParseError::BadTransportHeader);
}

/// An ICMP error has the addresses of the flow that it quotes, in the opposite direction.
#[test]
fn parse_icmp_error() {
    let quoted = udp(b"abc");
    let error = reply::port_unreachable(&View::parse(&quoted).expect("a valid packet"));
    let error = error.expect("a reply to a datagram");
    let view = View::parse(&error).expect("a valid packet");
    assert_eq!(view.transport, Transport::IcmpError { quoted: Protocol::Udp });
    assert_eq!((view.src, view.dst), (B, A));
}

#[test]
fn reset_opening() {
    let packet = tcp(b"");
    let reset = reply::reset(&View::parse(&packet).expect("a valid packet"));
    let reset = reset.expect("a reply to a segment");
    let view = View::parse(&reset).expect("a valid packet");
    assert_eq!((view.src, view.dst), (B, A));
    let Transport::Tcp { ack, flags, .. } = view.transport else {
        panic!("reset is not a TCP segment");
    };
    assert!(flags.rst && flags.ack);
    assert_eq!(ack, 8);
    assert!(reply::reset(&view).is_none(), "a reset must not be answered");
}

proptest! {
    #[test]
    fn parse_random(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = View::parse(&bytes);
    }

    #[test]
    fn parse_mutated(
        offset in 0_usize..43,
        byte in any::<u8>(),
        len in 0_usize..44,
        is_tcp in any::<bool>(),
    ) {
        let mut packet = if is_tcp { tcp(b"abc") } else { udp(b"abcdefghijklmno") };
        packet[offset] = byte;
        let corrected = with_header_bytes(packet.clone(), &[]);
        for bytes in [&packet[..], &packet[..len], &corrected[..], &corrected[..len]] {
            if let Ok(view) = View::parse(bytes) {
                let _ = (reply::reset(&view), reply::port_unreachable(&view));
                prop_assert!(view.bytes.len() <= bytes.len());
            }
        }
    }
}
