//! The UDP sockets of the traffic thread.

use std::io;
use std::net::{self, Ipv4Addr, SocketAddr, SocketAddrV4};

use flow::Target;
use peer_proto::v1::datagram::Kind;
use socket2::{Domain, Socket, Type};
use tokio::net::UdpSocket;

use crate::settings::Settings;
use crate::wire;

/// Size of each socket's kernel buffers in bytes.
const BUFFER_BYTES: usize = 8 * 1024 * 1024;

/// All sockets of the traffic thread.
///
/// The runtime only says when there is something to read. Packets are sent on the plain sockets,
/// because the runtime's own refuse to send until it has looked at them once.
#[derive(Debug)]
pub struct Sockets {
    /// Packets from the fabric and upstreams.
    pub packets: UdpSocket,
    /// Datagrams from other entries.
    pub peers: UdpSocket,
    to_fabric: net::UdpSocket,
    to_peers: net::UdpSocket,
    to_upstreams: Vec<net::UdpSocket>,
    fabric: SocketAddr,
    upstream_port: u16,
    peer_target: u16,
    buf: Vec<u8>,
    failed_sends: u64,
}

impl Sockets {
    /// Binds all sockets; called within a runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub fn bind(cfg: &Settings) -> io::Result<Self> {
        let ip = *cfg.listen.ip();
        let source = |_| bind(SocketAddrV4::new(ip, 0));
        let to_fabric = bind(cfg.listen)?;
        let to_peers = bind(SocketAddrV4::new(ip, cfg.peer_port))?;
        Ok(Self {
            packets: UdpSocket::from_std(to_fabric.try_clone()?)?,
            peers: UdpSocket::from_std(to_peers.try_clone()?)?,
            to_fabric,
            to_peers,
            to_upstreams: (0..cfg.source_ports).map(source).collect::<io::Result<_>>()?,
            fabric: cfg.fabric.into(),
            upstream_port: cfg.upstream_port,
            peer_target: cfg.peer_target,
            buf: Vec::new(),
            failed_sends: 0,
        })
    }

    /// Sends a packet. One that the kernel does not take is dropped and counted.
    pub fn send(&mut self, packet: &[u8], to: Target) {
        let sent = match to {
            Target::Caller => self.to_fabric.send_to(packet, self.fabric),
            Target::Upstream { ip, path } => {
                let socket = &self.to_upstreams[usize::from(path) % self.to_upstreams.len()];
                socket.send_to(packet, SocketAddr::from((ip, self.upstream_port)))
            }
            Target::Peer { to, upstream, hops } => {
                return self.send_datagram(wire::relay(packet, upstream, hops), to.0);
            }
        };
        self.failed_sends += u64::from(sent.is_err());
    }

    /// Sends a datagram to another entry.
    pub fn send_datagram(&mut self, kind: Kind, to: Ipv4Addr) {
        self.buf.clear();
        peer_proto::encode_datagram(kind, &mut self.buf);
        let sent = self.to_peers.send_to(&self.buf, SocketAddr::from((to, self.peer_target)));
        self.failed_sends += u64::from(sent.is_err());
    }

    /// Packets that the kernel did not take.
    pub fn failed_sends(&self) -> u64 {
        self.failed_sends
    }
}

fn bind(addr: SocketAddrV4) -> io::Result<net::UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_recv_buffer_size(BUFFER_BYTES)?;
    socket.set_send_buffer_size(BUFFER_BYTES)?;
    socket.bind(&SocketAddr::from(addr).into())?;
    Ok(socket.into())
}
