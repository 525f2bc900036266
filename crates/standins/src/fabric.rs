//! Stand-in for the fabric: forwards each packet to a random healthy entry, with a constant delay.
//!
//! Like a real fabric, it preserves the outer source address: a reply is forwarded from a socket
//! that is bound to the upstream's address.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use packet::View;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

use crate::delay::DelayLine;
use crate::links::Partitions;

/// Interval between health checks of an entry.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a health check fails.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait of the main loop without an event.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// Maximum number of packets read from one socket before the other sockets are served.
const BATCH_PACKETS: usize = 64;

/// Addresses of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Address at which the entry receives packets.
    pub packet_addr: SocketAddr,
    /// Admin port, which serves the readiness check.
    pub admin_addr: SocketAddr,
}

impl std::str::FromStr for Entry {
    type Err = String;

    /// Parses `PACKETS/ADMIN`, two addresses with ports.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (packet_addr, admin_addr) = text.split_once('/').ok_or("expected PACKETS/ADMIN")?;
        let parse = |text: &str| text.parse().map_err(|e| format!("{text}: {e}"));
        Ok(Self { packet_addr: parse(packet_addr)?, admin_addr: parse(admin_addr)? })
    }
}

/// Settings of a fabric.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address to which callers send packets.
    pub callers: SocketAddr,
    /// Address to which entries send packets for callers; also the source address of packets for
    /// entries.
    pub entries: SocketAddr,
    /// Address to which upstreams send replies.
    pub replies: SocketAddr,
    /// All entries.
    pub members: Vec<Entry>,
    /// One-way delay between callers and entries.
    pub caller_delay: Duration,
    /// One-way delay from upstreams to entries.
    pub reply_delay: Duration,
    /// Network partitions in force.
    pub partitions: Partitions,
}

/// Packet addresses of the entries that passed their last health check.
type HealthyEntries = Arc<Mutex<Vec<SocketAddr>>>;

/// The running fabric.
#[derive(Debug)]
pub struct Fabric {
    callers: UdpSocket,
    entries: UdpSocket,
    replies: UdpSocket,
    source_sockets: IndexMap<IpAddr, std::net::UdpSocket>,
    caller_addrs: IndexMap<Ipv4Addr, SocketAddr>,
    healthy: HealthyEntries,
    to_entries: DelayLine<Vec<u8>>,
    to_callers: DelayLine<Vec<u8>>,
    from_upstreams: DelayLine<(IpAddr, Vec<u8>)>,
    partitions: Partitions,
    rng: fastrand::Rng,
}

impl Fabric {
    /// Binds all ports and starts the health checks; must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a port can't be bound.
    pub fn start(cfg: Settings) -> io::Result<Self> {
        let healthy = HealthyEntries::default();
        for member in cfg.members {
            tokio::spawn(watch_health(member, Arc::clone(&healthy)));
        }
        Ok(Self {
            callers: bind(cfg.callers)?,
            entries: bind(cfg.entries)?,
            replies: bind(cfg.replies)?,
            source_sockets: IndexMap::new(),
            caller_addrs: IndexMap::new(),
            healthy,
            to_entries: DelayLine::new(cfg.caller_delay),
            to_callers: DelayLine::new(cfg.caller_delay),
            from_upstreams: DelayLine::new(cfg.reply_delay),
            partitions: cfg.partitions,
            rng: fastrand::Rng::with_seed(7),
        })
    }

    /// Forwards packets until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket fails permanently.
    pub async fn run(mut self) -> io::Result<()> {
        let mut buf = vec![0; packet::view::MAX_PACKET_BYTES];
        loop {
            self.deliver();
            let wake_at = self.next_at().unwrap_or_else(|| Instant::now() + MAX_SLEEP);
            tokio::select! {
                ready = self.callers.readable() => ready?,
                ready = self.entries.readable() => ready?,
                ready = self.replies.readable() => ready?,
                () = tokio::time::sleep_until(wake_at.into()) => {}
            }
            self.receive(&mut buf);
        }
    }

    fn receive(&mut self, buf: &mut [u8]) {
        let now = Instant::now();
        for _ in 0..BATCH_PACKETS {
            let Ok((len, from)) = self.callers.try_recv_from(buf) else {
                break;
            };
            if let Ok(view) = View::parse(&buf[..len]) {
                self.caller_addrs.insert(*view.src.ip(), from);
                self.to_entries.push(now, buf[..len].to_vec());
            }
        }
        for _ in 0..BATCH_PACKETS {
            let Ok((len, _)) = self.entries.try_recv_from(buf) else {
                break;
            };
            self.to_callers.push(now, buf[..len].to_vec());
        }
        for _ in 0..BATCH_PACKETS {
            let Ok((len, from)) = self.replies.try_recv_from(buf) else {
                break;
            };
            self.from_upstreams.push(now, (from.ip(), buf[..len].to_vec()));
        }
    }

    fn deliver(&mut self) {
        let now = Instant::now();
        while let Some(packet) = self.to_entries.pop(now) {
            if let Some(entry) = self.pick_entry(None) {
                let _ = self.entries.try_send_to(&packet, entry);
            }
        }
        while let Some(packet) = self.to_callers.pop(now) {
            let caller = View::parse(&packet)
                .ok()
                .and_then(|view| self.caller_addrs.get(view.dst.ip()).copied());
            if let Some(caller) = caller {
                let _ = self.callers.try_send_to(&packet, caller);
            }
        }
        while let Some((upstream, packet)) = self.from_upstreams.pop(now) {
            let Some(entry) = self.pick_entry(Some(upstream)) else {
                continue;
            };
            if let Some(source) = self.source_socket(upstream) {
                let _ = source.send_to(&packet, entry);
            }
        }
    }

    /// A random healthy entry that `from` can reach.
    fn pick_entry(&mut self, from: Option<IpAddr>) -> Option<SocketAddr> {
        let healthy = self.healthy.lock().unwrap_or_else(PoisonError::into_inner);
        let reachable =
            |entry: &&SocketAddr| from.is_none_or(|ip| self.partitions.can_reach(ip, entry.ip()));
        let count = healthy.iter().filter(reachable).count();
        if count == 0 {
            return None;
        }
        healthy.iter().filter(reachable).nth(self.rng.usize(..count)).copied()
    }

    /// The socket that is bound to an upstream's address.
    fn source_socket(&mut self, upstream: IpAddr) -> Option<&std::net::UdpSocket> {
        if !self.source_sockets.contains_key(&upstream) {
            let socket = bind_nonblocking(SocketAddr::new(upstream, 0)).ok()?;
            self.source_sockets.insert(upstream, socket);
        }
        self.source_sockets.get(&upstream)
    }

    fn next_at(&self) -> Option<Instant> {
        let next =
            [self.to_entries.next_at(), self.to_callers.next_at(), self.from_upstreams.next_at()];
        next.into_iter().flatten().min()
    }
}

/// Binds a UDP socket with large buffers, so that bursts are not dropped at the socket; must be
/// called within a tokio runtime.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn bind(addr: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::from_std(bind_nonblocking(addr)?)
}

fn bind_nonblocking(addr: SocketAddr) -> io::Result<std::net::UdpSocket> {
    const SOCKET_BUFFER_BYTES: usize = 8 * 1024 * 1024;
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::DGRAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.bind(&addr.into())?;
    Ok(socket.into())
}

async fn watch_health(entry: Entry, healthy: HealthyEntries) {
    loop {
        let ready = tokio::time::timeout(HEALTH_CHECK_TIMEOUT, is_ready(entry.admin_addr)).await;
        let ready = matches!(ready, Ok(Ok(true)));
        {
            let mut healthy = healthy.lock().unwrap_or_else(PoisonError::into_inner);
            healthy.retain(|addr| *addr != entry.packet_addr);
            if ready {
                healthy.push(entry.packet_addr);
            }
        }
        tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
    }
}

async fn is_ready(admin_addr: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(admin_addr).await?;
    stream.write_all(b"GET /ready HTTP/1.0\r\nhost: entry\r\n\r\n").await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(answer.starts_with(b"HTTP/1.0 200") || answer.starts_with(b"HTTP/1.1 200"))
}
