//! Links between instances that can be cut by availability zone.
//!
//! A link takes datagrams at a public address and passes them on to the instance behind it. It
//! keeps the source's IP address, as a network does: each source gets a socket bound to it.
//! An instance's zone is the third number of its address.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::net::UdpSocket;

use crate::fabric;

/// Longest datagram.
const MAX_BYTES: usize = 65_536;

/// The zones that are cut off from all others.
#[derive(Debug, Clone, Default)]
pub struct Cuts(Arc<Mutex<Vec<u8>>>);

impl Cuts {
    /// Cuts a zone off.
    pub fn cut(&self, zone: u8) {
        let mut zones = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        zones.push(zone);
    }

    /// Connects all zones again.
    pub fn heal(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Whether two instances can reach each other.
    pub fn passes(&self, a: IpAddr, b: IpAddr) -> bool {
        let (a, b) = (zone(a), zone(b));
        let zones = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        a == b || !zones.iter().any(|cut| *cut == a || *cut == b)
    }
}

/// A link: where datagrams arrive and where they go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link {
    /// The public address.
    pub public: SocketAddr,
    /// The instance's own port at the same address.
    pub port: u16,
}

impl std::str::FromStr for Link {
    type Err = String;

    /// Reads `IP:PUBLIC_PORT/PORT`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (public, port) = text.split_once('/').ok_or("expected IP:PUBLIC_PORT/PORT")?;
        let public = public.parse().map_err(|e| format!("{public}: {e}"))?;
        let port = port.parse().map_err(|e| format!("{port}: {e}"))?;
        Ok(Self { public, port })
    }
}

/// Passes datagrams on until the process ends.
///
/// # Errors
///
/// Returns an error if the public address can't be bound or fails for good.
pub async fn run(link: Link, cuts: Cuts) -> io::Result<()> {
    let public = Arc::new(fabric::bind(link.public)?);
    let behind = SocketAddr::new(link.public.ip(), link.port);
    let mut sources: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buf = vec![0; MAX_BYTES];
    loop {
        let (len, from) = public.recv_from(&mut buf).await?;
        if !cuts.passes(from.ip(), behind.ip()) {
            continue;
        }
        let source = match sources.entry(from) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => new.insert(start_back(from, &public, &cuts).await?),
        };
        let _ = source.try_send_to(&buf[..len], behind);
    }
}

/// Binds a source's socket and starts its way back.
async fn start_back(
    to: SocketAddr,
    public: &Arc<UdpSocket>,
    cuts: &Cuts,
) -> io::Result<Arc<UdpSocket>> {
    let source = Arc::new(fabric::bind(SocketAddr::new(to.ip(), 0))?);
    // A fresh socket refuses to send until the runtime has looked at it once.
    source.writable().await?;
    let back =
        Back { source: Arc::clone(&source), public: Arc::clone(public), to, cuts: cuts.clone() };
    tokio::spawn(back.run());
    Ok(source)
}

/// The way back to one source.
struct Back {
    source: Arc<UdpSocket>,
    public: Arc<UdpSocket>,
    to: SocketAddr,
    cuts: Cuts,
}

impl Back {
    async fn run(self) {
        let mut buf = vec![0; MAX_BYTES];
        while let Ok((len, from)) = self.source.recv_from(&mut buf).await {
            if self.cuts.passes(from.ip(), self.to.ip()) {
                let _ = self.public.try_send_to(&buf[..len], self.to);
            }
        }
    }
}

fn zone(ip: IpAddr) -> u8 {
    match ip {
        IpAddr::V4(ip) => ip.octets()[2],
        IpAddr::V6(_) => 0,
    }
}
