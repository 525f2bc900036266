//! A host with a user-space TCP stack (smoltcp) on queues of IP packets.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{self, Device, DeviceCapabilities, Medium};
use smoltcp::socket::tcp;
use smoltcp::time::Instant;
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr};

/// Largest IP packet in bytes.
const MTU_BYTES: usize = 1_400;

/// Received packets that wait for the stack, and packets of the stack that wait to be sent.
#[derive(Debug, Default)]
pub struct Queues {
    incoming: VecDeque<Vec<u8>>,
    outgoing: VecDeque<Vec<u8>>,
}

/// A host with one IPv4 address.
pub struct Host {
    iface: Interface,
    sockets: SocketSet<'static>,
    queues: Queues,
}

impl std::fmt::Debug for Host {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Host").field("queues", &self.queues).finish_non_exhaustive()
    }
}

impl Host {
    /// A host with the address `ip`.
    pub fn new(now: Instant, ip: Ipv4Addr, seed: u64) -> Self {
        let mut queues = Queues::default();
        let mut cfg = Config::new(HardwareAddress::Ip);
        cfg.random_seed = seed;
        let mut iface = Interface::new(cfg, &mut queues, now);
        iface.update_ip_addrs(|addrs| {
            let result = addrs.push(IpCidr::new(IpAddress::Ipv4(ip), 32));
            debug_assert!(result.is_ok());
        });
        let result = iface.routes_mut().add_default_ipv4_route(ip);
        debug_assert!(result.is_ok());
        Self { iface, sockets: SocketSet::new(Vec::new()), queues }
    }

    /// The host's address.
    pub fn ip(&self) -> Option<Ipv4Addr> {
        self.iface.ipv4_addr()
    }

    /// Adds a TCP socket with buffers of the given sizes in bytes.
    ///
    /// The socket has no timeout, because that of smoltcp also closes connections that are merely
    /// idle.
    pub fn add_socket(&mut self, rx_bytes: usize, tx_bytes: usize) -> SocketHandle {
        let rx = tcp::SocketBuffer::new(vec![0; rx_bytes]);
        let tx = tcp::SocketBuffer::new(vec![0; tx_bytes]);
        let mut socket = tcp::Socket::new(rx, tx);
        socket.set_nagle_enabled(false);
        self.sockets.add(socket)
    }

    /// Removes a socket.
    pub fn remove_socket(&mut self, handle: SocketHandle) {
        self.sockets.remove(handle);
    }

    /// The TCP socket of a handle.
    pub fn socket(&mut self, handle: SocketHandle) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(handle)
    }

    /// Opens a connection from a local port.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket is in use or an address is not valid.
    pub fn connect(
        &mut self,
        handle: SocketHandle,
        to: std::net::SocketAddrV4,
        local_port: u16,
    ) -> Result<(), tcp::ConnectError> {
        let socket = self.sockets.get_mut::<tcp::Socket<'_>>(handle);
        socket.connect(self.iface.context(), (IpAddress::Ipv4(*to.ip()), to.port()), local_port)
    }

    /// Queues a received packet for the stack.
    pub fn receive(&mut self, packet: &[u8]) {
        self.queues.incoming.push_back(packet.to_vec());
    }

    /// Runs the stack; returns whether the state of a socket changed.
    pub fn poll(&mut self, now: Instant) -> bool {
        let result = self.iface.poll(now, &mut self.queues, &mut self.sockets);
        result == smoltcp::iface::PollResult::SocketStateChanged
    }

    /// When the stack has to be polled again if no packet arrives before.
    pub fn poll_at(&mut self, now: Instant) -> Option<Instant> {
        self.iface.poll_at(now, &self.sockets)
    }

    /// Takes the next packet to be sent.
    pub fn next_outgoing(&mut self) -> Option<Vec<u8>> {
        self.queues.outgoing.pop_front()
    }
}

impl Device for Queues {
    type RxToken<'a> = RxToken;
    type TxToken<'a> = TxToken<'a>;

    fn receive(&mut self, _now: Instant) -> Option<(Self::RxToken<'_>, Self::TxToken<'_>)> {
        let packet = self.incoming.pop_front()?;
        Some((RxToken(packet), TxToken(&mut self.outgoing)))
    }

    fn transmit(&mut self, _now: Instant) -> Option<Self::TxToken<'_>> {
        Some(TxToken(&mut self.outgoing))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU_BYTES;
        capabilities
    }
}

/// A received packet that the stack consumes.
#[derive(Debug)]
pub struct RxToken(Vec<u8>);

impl phy::RxToken for RxToken {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(&self.0)
    }
}

/// Permission for the stack to send one packet.
#[derive(Debug)]
pub struct TxToken<'a>(&'a mut VecDeque<Vec<u8>>);

impl phy::TxToken for TxToken<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut buf = vec![0; len];
        let result = f(&mut buf);
        self.0.push_back(buf);
        result
    }
}
