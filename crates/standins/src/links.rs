//! UDP links between instances, with simulated network partitions between availability zones.
//!
//! A link receives datagrams at a public address and forwards them to the instance behind it. Like
//! a network, it preserves the source IP address: each source gets a socket bound to its address.
//! An instance's zone is the third octet of its IPv4 address.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::net::UdpSocket;

use crate::fabric;

/// Maximum length of a datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// The availability zones that are partitioned from all others.
#[derive(Debug, Clone, Default)]
pub struct Partitions(Arc<Mutex<Vec<u8>>>);

impl Partitions {
    /// Partitions a zone from all others.
    pub fn isolate(&self, zone: u8) {
        let mut zones = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        zones.push(zone);
    }

    /// Ends all partitions.
    pub fn heal(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Whether two instances can reach each other.
    pub fn can_reach(&self, a: IpAddr, b: IpAddr) -> bool {
        let (a, b) = (zone(a), zone(b));
        let zones = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        a == b || !zones.iter().any(|isolated| *isolated == a || *isolated == b)
    }
}

/// A UDP link to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link {
    /// Address at which the link receives datagrams.
    pub public_addr: SocketAddr,
    /// Port of the instance, at the same IP address.
    pub instance_port: u16,
}

impl std::str::FromStr for Link {
    type Err = String;

    /// Parses `IP:PUBLIC_PORT/PORT`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (public_addr, instance_port) =
            text.split_once('/').ok_or("expected IP:PUBLIC_PORT/PORT")?;
        let public_addr = public_addr.parse().map_err(|e| format!("{public_addr}: {e}"))?;
        let instance_port = instance_port.parse().map_err(|e| format!("{instance_port}: {e}"))?;
        Ok(Self { public_addr, instance_port })
    }
}

/// Forwards datagrams in both directions until the process ends.
///
/// # Errors
///
/// Returns an error if the public address can't be bound or its socket fails permanently.
pub async fn run(link: Link, partitions: Partitions) -> io::Result<()> {
    let public = Arc::new(fabric::bind(link.public_addr)?);
    let instance = SocketAddr::new(link.public_addr.ip(), link.instance_port);
    let mut sources: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = public.recv_from(&mut buf).await?;
        if !partitions.can_reach(from.ip(), instance.ip()) {
            continue;
        }
        let source = match sources.entry(from) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                entry.insert(start_return_path(from, &public, &partitions).await?)
            }
        };
        let _ = source.try_send_to(&buf[..len], instance);
    }
}

/// Binds the socket of a source and starts forwarding datagrams back to the source.
async fn start_return_path(
    to: SocketAddr,
    public: &Arc<UdpSocket>,
    partitions: &Partitions,
) -> io::Result<Arc<UdpSocket>> {
    let source = Arc::new(fabric::bind(SocketAddr::new(to.ip(), 0))?);
    // `try_send_to` fails on a new socket until the runtime has polled its readiness once.
    source.writable().await?;
    let return_path = ReturnPath {
        source: Arc::clone(&source),
        public: Arc::clone(public),
        to,
        partitions: partitions.clone(),
    };
    tokio::spawn(return_path.run());
    Ok(source)
}

/// Forwards datagrams from the instance back to one source.
struct ReturnPath {
    source: Arc<UdpSocket>,
    public: Arc<UdpSocket>,
    to: SocketAddr,
    partitions: Partitions,
}

impl ReturnPath {
    async fn run(self) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        while let Ok((len, from)) = self.source.recv_from(&mut buf).await {
            if self.partitions.can_reach(from.ip(), self.to.ip()) {
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
