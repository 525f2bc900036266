//! Stand-in for the fabric: hands each packet to a random healthy entry, with a constant delay.
//!
//! Like a real fabric it keeps the outer source address: a reply is passed on from a socket that is
//! bound to the upstream's own address.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use packet::View;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

use crate::delay::Line;
use crate::links::Cuts;

/// Time between health checks of an entry.
const HEALTH_EVERY: Duration = Duration::from_millis(100);

/// Longest wait for a health answer.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest sleep of the loop.
const IDLE: Duration = Duration::from_millis(100);

/// Packets read from one socket before the others get their turn.
const BATCH_PACKETS: usize = 64;

/// An entry as the fabric knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Where packets go.
    pub packets: SocketAddr,
    /// Its admin port, which says whether it is ready.
    pub admin: SocketAddr,
}

impl std::str::FromStr for Entry {
    type Err = String;

    /// Reads `PACKETS/ADMIN`, two addresses with ports.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (packets, admin) = text.split_once('/').ok_or("expected PACKETS/ADMIN")?;
        let parse = |text: &str| text.parse().map_err(|e| format!("{text}: {e}"));
        Ok(Self { packets: parse(packets)?, admin: parse(admin)? })
    }
}

/// The settings of a fabric.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where callers send their packets.
    pub callers: SocketAddr,
    /// Where entries send packets for callers; also the source of packets for entries.
    pub entries: SocketAddr,
    /// Where upstreams send replies.
    pub replies: SocketAddr,
    /// All entries.
    pub members: Vec<Entry>,
    /// One-way delay between callers and entries.
    pub caller_delay: Duration,
    /// One-way delay from upstreams to entries.
    pub reply_delay: Duration,
    /// Zones that are cut off.
    pub cuts: Cuts,
}

/// The entries that get packets.
type Healthy = Arc<Mutex<Vec<SocketAddr>>>;

/// The running fabric.
#[derive(Debug)]
pub struct Fabric {
    callers: UdpSocket,
    entries: UdpSocket,
    replies: UdpSocket,
    sources: IndexMap<IpAddr, std::net::UdpSocket>,
    caller_addrs: IndexMap<Ipv4Addr, SocketAddr>,
    healthy: Healthy,
    to_entries: Line<Vec<u8>>,
    to_callers: Line<Vec<u8>>,
    from_upstreams: Line<(IpAddr, Vec<u8>)>,
    cuts: Cuts,
    rng: fastrand::Rng,
}

impl Fabric {
    /// Binds all ports and starts the health checks; called within a runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a port can't be bound.
    pub fn start(cfg: Settings) -> io::Result<Self> {
        let healthy = Healthy::default();
        for member in cfg.members {
            tokio::spawn(watch_health(member, Arc::clone(&healthy)));
        }
        Ok(Self {
            callers: bind(cfg.callers)?,
            entries: bind(cfg.entries)?,
            replies: bind(cfg.replies)?,
            sources: IndexMap::new(),
            caller_addrs: IndexMap::new(),
            healthy,
            to_entries: Line::new(cfg.caller_delay),
            to_callers: Line::new(cfg.caller_delay),
            from_upstreams: Line::new(cfg.reply_delay),
            cuts: cfg.cuts,
            rng: fastrand::Rng::with_seed(7),
        })
    }

    /// Passes packets on until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket fails for good.
    pub async fn run(mut self) -> io::Result<()> {
        let mut buf = vec![0; packet::view::MAX_PACKET_BYTES];
        loop {
            self.deliver();
            let wake = self.next_at().unwrap_or_else(|| Instant::now() + IDLE);
            tokio::select! {
                ready = self.callers.readable() => ready?,
                ready = self.entries.readable() => ready?,
                ready = self.replies.readable() => ready?,
                () = tokio::time::sleep_until(wake.into()) => {}
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
            if let Some(entry) = self.pick(None) {
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
            let Some(entry) = self.pick(Some(upstream)) else {
                continue;
            };
            if let Some(source) = self.source(upstream) {
                let _ = source.send_to(&packet, entry);
            }
        }
    }

    /// A random healthy entry, among those that `from` can reach.
    fn pick(&mut self, from: Option<IpAddr>) -> Option<SocketAddr> {
        let healthy = self.healthy.lock().unwrap_or_else(PoisonError::into_inner);
        let reaches = |entry: &&SocketAddr| from.is_none_or(|ip| self.cuts.passes(ip, entry.ip()));
        let count = healthy.iter().filter(reaches).count();
        if count == 0 {
            return None;
        }
        healthy.iter().filter(reaches).nth(self.rng.usize(..count)).copied()
    }

    /// The socket bound to an upstream's address.
    fn source(&mut self, upstream: IpAddr) -> Option<&std::net::UdpSocket> {
        if !self.sources.contains_key(&upstream) {
            let socket = bind_nonblocking(SocketAddr::new(upstream, 0)).ok()?;
            self.sources.insert(upstream, socket);
        }
        self.sources.get(&upstream)
    }

    fn next_at(&self) -> Option<Instant> {
        let lines =
            [self.to_entries.next_at(), self.to_callers.next_at(), self.from_upstreams.next_at()];
        lines.into_iter().flatten().min()
    }
}

/// Binds a UDP socket with large buffers, so that bursts are not lost here; called within a
/// runtime.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn bind(addr: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::from_std(bind_nonblocking(addr)?)
}

fn bind_nonblocking(addr: SocketAddr) -> io::Result<std::net::UdpSocket> {
    const BUFFER_BYTES: usize = 8 * 1024 * 1024;
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::DGRAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_recv_buffer_size(BUFFER_BYTES)?;
    socket.set_send_buffer_size(BUFFER_BYTES)?;
    socket.bind(&addr.into())?;
    Ok(socket.into())
}

async fn watch_health(entry: Entry, healthy: Healthy) {
    loop {
        let ready = tokio::time::timeout(HEALTH_TIMEOUT, is_ready(entry.admin)).await;
        let ready = matches!(ready, Ok(Ok(true)));
        {
            let mut healthy = healthy.lock().unwrap_or_else(PoisonError::into_inner);
            healthy.retain(|addr| *addr != entry.packets);
            if ready {
                healthy.push(entry.packets);
            }
        }
        tokio::time::sleep(HEALTH_EVERY).await;
    }
}

async fn is_ready(admin: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(admin).await?;
    stream.write_all(b"GET /ready HTTP/1.0\r\nhost: entry\r\n\r\n").await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(answer.starts_with(b"HTTP/1.0 200") || answer.starts_with(b"HTTP/1.1 200"))
}
