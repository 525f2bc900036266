//! The UDP sockets of the traffic thread.

use std::io;
use std::net::{self, Ipv4Addr, SocketAddr, SocketAddrV4};

use flow::Target;
use peer_proto::v1::datagram::Kind;
use socket2::{Domain, Socket, Type};
use tokio::net::UdpSocket;

use crate::settings::Settings;
use crate::wire;

/// Size of each socket's kernel receive buffer and send buffer.
const SOCKET_BUFFER_BYTES: usize = 8 * 1024 * 1024;

/// All sockets of the traffic thread.
///
/// The Tokio sockets are only read. Packets are sent on the `std` sockets, because a Tokio socket
/// does not send before the runtime has polled it for the first time.
#[derive(Debug)]
pub struct Sockets {
    /// Receives packets from the fabric and upstreams.
    pub packets_rx: UdpSocket,
    /// Receives datagrams from other entries.
    pub peers_rx: UdpSocket,
    fabric_tx: net::UdpSocket,
    peers_tx: net::UdpSocket,
    upstream_tx: Vec<net::UdpSocket>,
    fabric_addr: SocketAddr,
    upstream_port: u16,
    peer_target: u16,
    buf: Vec<u8>,
    failed_sends: u64,
}

impl Sockets {
    /// Binds all sockets. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub fn bind(cfg: &Settings) -> io::Result<Self> {
        let ip = *cfg.listen.ip();
        let bind_source = |_| bind(SocketAddrV4::new(ip, 0));
        let fabric_tx = bind(cfg.listen)?;
        let peers_tx = bind(SocketAddrV4::new(ip, cfg.peer_port))?;
        Ok(Self {
            packets_rx: UdpSocket::from_std(fabric_tx.try_clone()?)?,
            peers_rx: UdpSocket::from_std(peers_tx.try_clone()?)?,
            fabric_tx,
            peers_tx,
            upstream_tx: (0..cfg.source_ports).map(bind_source).collect::<io::Result<_>>()?,
            fabric_addr: cfg.fabric.into(),
            upstream_port: cfg.upstream_port,
            peer_target: cfg.peer_target,
            buf: Vec::new(),
            failed_sends: 0,
        })
    }

    /// Sends a packet. If the kernel refuses it, it is dropped and counted.
    pub fn send(&mut self, packet: &[u8], to: Target) {
        let sent = match to {
            Target::Caller => self.fabric_tx.send_to(packet, self.fabric_addr),
            Target::Upstream { ip, path } => {
                let socket = &self.upstream_tx[usize::from(path) % self.upstream_tx.len()];
                socket.send_to(packet, SocketAddr::from((ip, self.upstream_port)))
            }
            Target::Peer { to, upstream, hops } => {
                return self.send_datagram(wire::encode_relay(packet, upstream, hops), to.0);
            }
        };
        self.failed_sends += u64::from(sent.is_err());
    }

    /// Sends a datagram to another entry. If the kernel refuses it, it is dropped and counted.
    pub fn send_datagram(&mut self, kind: Kind, to: Ipv4Addr) {
        self.buf.clear();
        peer_proto::encode_datagram(kind, &mut self.buf);
        let sent = self.peers_tx.send_to(&self.buf, SocketAddr::from((to, self.peer_target)));
        self.failed_sends += u64::from(sent.is_err());
    }

    /// Number of packets and datagrams that the kernel refused.
    pub fn failed_sends(&self) -> u64 {
        self.failed_sends
    }
}

fn bind(addr: SocketAddrV4) -> io::Result<net::UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.bind(&SocketAddr::from(addr).into())?;
    Ok(socket.into())
}
