//! Parses IPv4 packets with TCP, UDP or ICMP errors into borrowed views.

use std::net::SocketAddrV4;

use etherparse::{IpNumber, Ipv4HeaderSlice, TcpHeaderSlice, UdpHeaderSlice};

/// Largest packet that is accepted, without encapsulation.
pub const MAX_PACKET_BYTES: usize = 9_000;

/// Part of the transport header that an ICMP error has to quote: the two ports.
const QUOTED_PORT_BYTES: usize = 4;

/// Length of the ICMP header.
const ICMP_HEADER_BYTES: usize = 8;

/// ICMP types that report an error about another packet: destination unreachable, time exceeded,
/// parameter problem.
const ICMP_ERROR_TYPES: [u8; 3] = [3, 11, 12];

/// IP version, the upper four bits of the first header byte.
const IPV4_VERSION: u8 = 4;

/// Transport protocols that are balanced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Protocol {
    /// Transmission Control Protocol.
    Tcp,
    /// User Datagram Protocol.
    Udp,
}

stdx::value! {
    /// TCP flags used for load balancing.
    #[derive(Default)]
    #[expect(clippy::struct_excessive_bools, reason = "each is a flag of the header")]
    pub struct TcpFlags {
        /// Opens a connection.
        pub syn: bool,
        /// The acknowledgement number is valid.
        pub ack: bool,
        /// The sender has no more data.
        pub fin: bool,
        /// The connection is aborted.
        pub rst: bool,
    }

    /// Fields of the transport header of a packet.
    pub enum Transport {
        /// A TCP segment.
        Tcp {
            /// Sequence number.
            seq: u32,
            /// Acknowledgement number.
            ack: u32,
            /// Flags.
            flags: TcpFlags,
            /// Payload length in bytes.
            payload_len: u16,
        },
        /// A UDP datagram.
        Udp {
            /// Payload length in bytes.
            payload_len: u16,
        },
        /// An ICMP error; the addresses of the view are those of the flow of the quoted packet, in
        /// the direction in which the error travels.
        IcmpError {
            /// The protocol of the quoted packet.
            quoted: Protocol,
        },
    }

    /// Why a packet was rejected.
    #[derive(derive_more::Display, derive_more::Error)]
    pub enum ParseError {
        /// The packet is shorter than its headers or than the length in its IP header.
        #[display("truncated")]
        Truncated,
        /// The packet is longer than [`MAX_PACKET_BYTES`].
        #[display("oversize")]
        Oversize,
        /// Not IPv4.
        #[display("not_ipv4")]
        NotIpv4,
        /// The IP header is inconsistent or its checksum is wrong.
        #[display("bad_ip_header")]
        BadIpHeader,
        /// The transport header is inconsistent.
        #[display("bad_transport_header")]
        BadTransportHeader,
        /// A fragment, which need not contain the ports that identify the flow.
        #[display("fragment")]
        Fragment,
        /// Neither TCP, UDP nor an ICMP error about one of them.
        #[display("unsupported_protocol")]
        UnsupportedProtocol,
    }
}

/// A parsed packet: the borrowed bytes and the fields used for load balancing.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The whole IP packet, without encapsulation and trailing padding.
    pub bytes: &'a [u8],
    /// Source address and port.
    pub src: SocketAddrV4,
    /// Destination address and port.
    pub dst: SocketAddrV4,
    /// The transport header.
    pub transport: Transport,
}

impl<'a> View<'a> {
    /// Parses a packet.
    ///
    /// # Errors
    ///
    /// Returns the reason why the packet is rejected.
    pub fn parse(bytes: &'a [u8]) -> Result<Self, ParseError> {
        let ip = parse_ip(bytes)?;
        let bytes = &bytes[..usize::from(ip.total_len())];
        let body = &bytes[ip.slice().len()..];
        match ip.protocol() {
            IpNumber::TCP => parse_tcp(bytes, &ip, body),
            IpNumber::UDP => parse_udp(bytes, &ip, body),
            IpNumber::ICMP => parse_icmp(bytes, body),
            _ => Err(ParseError::UnsupportedProtocol),
        }
    }

    /// The protocol of the flow that the packet belongs to.
    pub fn protocol(&self) -> Protocol {
        match self.transport {
            Transport::Tcp { .. } => Protocol::Tcp,
            Transport::Udp { .. } => Protocol::Udp,
            Transport::IcmpError { quoted } => quoted,
        }
    }

    /// The TCP flags; none are set for other protocols.
    pub fn flags(&self) -> TcpFlags {
        match self.transport {
            Transport::Tcp { flags, .. } => flags,
            Transport::Udp { .. } | Transport::IcmpError { .. } => TcpFlags::default(),
        }
    }

    /// Whether the packet opens a TCP connection.
    pub fn is_opening(&self) -> bool {
        let flags = self.flags();
        flags.syn && !flags.ack
    }

    /// Length of the transport payload in bytes.
    pub fn payload_len(&self) -> u16 {
        match self.transport {
            Transport::Tcp { payload_len, .. } | Transport::Udp { payload_len } => payload_len,
            Transport::IcmpError { .. } => 0,
        }
    }
}

fn parse_ip(bytes: &[u8]) -> Result<Ipv4HeaderSlice<'_>, ParseError> {
    if bytes.len() > MAX_PACKET_BYTES {
        return Err(ParseError::Oversize);
    }
    let first = *bytes.first().ok_or(ParseError::Truncated)?;
    if first >> 4 != IPV4_VERSION {
        return Err(ParseError::NotIpv4);
    }
    let ip = Ipv4HeaderSlice::from_slice(bytes).map_err(|e| match e {
        etherparse::err::ipv4::HeaderSliceError::Len(_) => ParseError::Truncated,
        etherparse::err::ipv4::HeaderSliceError::Content(_) => ParseError::BadIpHeader,
    })?;
    if usize::from(ip.total_len()) > bytes.len() {
        return Err(ParseError::Truncated);
    }
    if usize::from(ip.total_len()) < ip.slice().len() {
        return Err(ParseError::BadIpHeader);
    }
    if ip.header_checksum() != ip.to_header().calc_header_checksum() {
        return Err(ParseError::BadIpHeader);
    }
    if ip.is_fragmenting_payload() {
        return Err(ParseError::Fragment);
    }
    Ok(ip)
}

fn parse_tcp<'a>(
    bytes: &'a [u8],
    ip: &Ipv4HeaderSlice<'_>,
    body: &[u8],
) -> Result<View<'a>, ParseError> {
    let tcp = TcpHeaderSlice::from_slice(body).map_err(|e| match e {
        etherparse::err::tcp::HeaderSliceError::Len(_) => ParseError::Truncated,
        etherparse::err::tcp::HeaderSliceError::Content(_) => ParseError::BadTransportHeader,
    })?;
    let flags = TcpFlags { syn: tcp.syn(), ack: tcp.ack(), fin: tcp.fin(), rst: tcp.rst() };
    if flags.syn && (flags.fin || flags.rst) {
        return Err(ParseError::BadTransportHeader);
    }
    let payload_len = (body.len() - tcp.slice().len()) as u16;
    Ok(View {
        bytes,
        src: SocketAddrV4::new(ip.source_addr(), tcp.source_port()),
        dst: SocketAddrV4::new(ip.destination_addr(), tcp.destination_port()),
        transport: Transport::Tcp {
            seq: tcp.sequence_number(),
            ack: tcp.acknowledgment_number(),
            flags,
            payload_len,
        },
    })
}

fn parse_udp<'a>(
    bytes: &'a [u8],
    ip: &Ipv4HeaderSlice<'_>,
    body: &[u8],
) -> Result<View<'a>, ParseError> {
    let udp = UdpHeaderSlice::from_slice(body).map_err(|_len| ParseError::Truncated)?;
    if usize::from(udp.length()) != body.len() {
        return Err(ParseError::BadTransportHeader);
    }
    let payload_len = (body.len() - udp.slice().len()) as u16;
    Ok(View {
        bytes,
        src: SocketAddrV4::new(ip.source_addr(), udp.source_port()),
        dst: SocketAddrV4::new(ip.destination_addr(), udp.destination_port()),
        transport: Transport::Udp { payload_len },
    })
}

/// Parses an ICMP error. It travels opposite to the packet that it quotes, so the addresses of the
/// quote are swapped.
fn parse_icmp<'a>(bytes: &'a [u8], body: &[u8]) -> Result<View<'a>, ParseError> {
    let kind = *body.first().ok_or(ParseError::Truncated)?;
    if !ICMP_ERROR_TYPES.contains(&kind) {
        return Err(ParseError::UnsupportedProtocol);
    }
    let quote = body.get(ICMP_HEADER_BYTES..).ok_or(ParseError::Truncated)?;
    let ip = Ipv4HeaderSlice::from_slice(quote).map_err(|_err| ParseError::BadTransportHeader)?;
    let ports = quote
        .get(ip.slice().len()..ip.slice().len() + QUOTED_PORT_BYTES)
        .ok_or(ParseError::Truncated)?;
    let quoted = match ip.protocol() {
        IpNumber::TCP => Protocol::Tcp,
        IpNumber::UDP => Protocol::Udp,
        _ => return Err(ParseError::UnsupportedProtocol),
    };
    let src_port = u16::from_be_bytes([ports[0], ports[1]]);
    let dst_port = u16::from_be_bytes([ports[2], ports[3]]);
    Ok(View {
        bytes,
        src: SocketAddrV4::new(ip.destination_addr(), dst_port),
        dst: SocketAddrV4::new(ip.source_addr(), src_port),
        transport: Transport::IcmpError { quoted },
    })
}
