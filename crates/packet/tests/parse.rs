//! Reading packets: what is taken, and that nothing else ends the process.

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
    builder.write(&mut buf, payload).expect("a vector takes all");
    buf
}

fn udp(payload: &[u8]) -> Vec<u8> {
    let builder = PacketBuilder::ipv4(A.ip().octets(), B.ip().octets(), 64).udp(A.port(), B.port());
    let mut buf = Vec::new();
    builder.write(&mut buf, payload).expect("a vector takes all");
    buf
}

/// Changes bytes of the IP header and corrects its checksum.
fn with_header(mut packet: Vec<u8>, changes: &[(usize, u8)]) -> Vec<u8> {
    for (at, byte) in changes {
        packet[*at] = *byte;
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

fn check(packet: &[u8], expected: ParseError) {
    assert_eq!(View::parse(packet).err(), Some(expected));
}

#[test]
fn parse_tcp() {
    let packet = tcp(b"abc");
    let view = View::parse(&packet).expect("a whole packet");
    assert_eq!((view.src, view.dst, view.payload_len()), (A, B, 3));
    assert!(view.is_opening());
}

#[test]
fn parse_padding() {
    let mut packet = udp(b"abc");
    packet.extend([0; 9]);
    let view = View::parse(&packet).expect("a whole packet");
    assert_eq!((view.protocol(), view.payload_len()), (Protocol::Udp, 3));
    assert_eq!(view.bytes.len(), packet.len() - 9);
}

#[test]
fn parse_malformed() {
    let good = tcp(b"abc");
    check(&[], ParseError::Truncated);
    check(&good[..10], ParseError::Truncated);
    check(&good[..30], ParseError::Truncated);
    check(&good[..good.len() - 1], ParseError::Truncated);
    check(&[0x60; 60], ParseError::NotIpv4);
    check(&vec![0x45; packet::view::MAX_PACKET_BYTES + 1], ParseError::Oversize);
    check(&with_header(good.clone(), &[(3, 10)]), ParseError::BadIpHeader);
    check(&with_header(good.clone(), &[(6, 0x20)]), ParseError::Fragment);
    check(&with_header(good.clone(), &[(7, 9)]), ParseError::Fragment);
    check(&with_header(good.clone(), &[(9, 47)]), ParseError::UnsupportedProtocol);
    let mut checksum = good.clone();
    checksum[10] ^= 1;
    check(&checksum, ParseError::BadIpHeader);
    let mut offset = good.clone();
    offset[32] = 0x10;
    check(&offset, ParseError::BadTransportHeader);
    let mut flags = good;
    flags[33] = 0b0000_0011;
    check(&flags, ParseError::BadTransportHeader);
    let mut length = udp(b"abc");
    length[25] = 200;
    check(&length, ParseError::BadTransportHeader);
}

/// An ICMP error belongs to the flow that it quotes.
#[test]
fn parse_icmp_error() {
    let quoted = udp(b"abc");
    let error = reply::port_unreachable(&View::parse(&quoted).expect("a whole packet"));
    let error = error.expect("datagrams are answered");
    let view = View::parse(&error).expect("a whole packet");
    assert_eq!(view.transport, Transport::IcmpError { quoted: Protocol::Udp });
    assert_eq!((view.src, view.dst), (B, A));
}

#[test]
fn reset_of_opening() {
    let packet = tcp(b"");
    let reset = reply::reset(&View::parse(&packet).expect("a whole packet"));
    let reset = reset.expect("segments are answered");
    let view = View::parse(&reset).expect("a whole packet");
    assert_eq!((view.src, view.dst), (B, A));
    let Transport::Tcp { ack, flags, .. } = view.transport else {
        panic!("not TCP");
    };
    assert!(flags.rst && flags.ack);
    assert_eq!(ack, 8);
    assert!(reply::reset(&view).is_none(), "answered a reset");
}

proptest! {
    #[test]
    fn parse_random(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = View::parse(&bytes);
    }

    #[test]
    fn parse_mutated(
        at in 0_usize..43,
        byte in any::<u8>(),
        cut in 0_usize..44,
        is_tcp in any::<bool>(),
    ) {
        let mut packet = if is_tcp { tcp(b"abc") } else { udp(b"abcdefghijklmno") };
        packet[at] = byte;
        let corrected = with_header(packet.clone(), &[]);
        for bytes in [&packet[..], &packet[..cut], &corrected[..], &corrected[..cut]] {
            if let Ok(view) = View::parse(bytes) {
                let _ = (reply::reset(&view), reply::port_unreachable(&view));
                prop_assert!(view.bytes.len() <= bytes.len());
            }
        }
    }
}
