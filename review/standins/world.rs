//! What the parts of a run share: addresses, the clock, the record and which flows are open where.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub const DATA_PORT: u16 = 8172;
pub const READY_PORT: u16 = 8167;
pub const STORE_PORT: u16 = 8169;
pub const ENDPOINT_PORT: u16 = 8080;

/// A flow that is open at an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct OpenFlow {
    pub endpoint: usize,
    /// The client's first acknowledgement number.
    pub base: u32,
}

/// A cut or losses between zones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Links {
    Sound,
    /// No packet passes between this zone and the others.
    Cut(usize),
    /// A part of the packets between this zone and the others is lost.
    Lossy(usize, f64),
}

pub struct World {
    /// Second byte of all addresses of this run.
    net: u8,
    pub folder: PathBuf,
    start: Instant,
    record: Mutex<File>,
    open: Mutex<HashMap<SocketAddrV4, OpenFlow>>,
    links: Mutex<Links>,
    random: Mutex<u64>,
}

impl World {
    /// Finds free addresses and creates a temporary folder and the record.
    pub fn new(record: &str) -> Result<Self, String> {
        let pid = std::process::id();
        let free = |net: &u8| {
            let node = Ipv4Addr::new(127, *net, 2, 1);
            UdpSocket::bind((node, DATA_PORT)).is_ok()
                && TcpListener::bind((Ipv4Addr::new(127, *net, 4, 1), STORE_PORT)).is_ok()
        };
        let net = (0..200)
            .map(|step| 20 + ((pid + step) % 200) as u8)
            .find(free)
            .ok_or("no free addresses")?;
        let folder = std::env::temp_dir().join(format!("ibis-review-{pid}"));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let record = File::create(record).map_err(|e| format!("{record}: {e}"))?;
        Ok(Self {
            net,
            folder,
            start: Instant::now(),
            record: Mutex::new(record),
            open: Mutex::default(),
            links: Mutex::new(Links::Sound),
            random: Mutex::new(u64::from(pid) << 20 | 1),
        })
    }

    pub fn client_ip(&self, zone: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 1, zone as u8 + 1)
    }

    pub fn node_ip(&self, node: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 2, node as u8 + 1)
    }

    pub fn endpoint_addr(&self, endpoint: usize) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, 3, endpoint as u8 + 1), ENDPOINT_PORT)
    }

    pub fn store_addr(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, 4, 1), STORE_PORT)
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn sleep_until(&self, seconds: f64) {
        std::thread::sleep(Duration::from_secs_f64((seconds - self.now()).max(0.0)));
    }

    /// Writes a line into the record.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        // The record is for readers; the verdict doesn't depend on it.
        let _written = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn flow_opened(&self, client: SocketAddrV4, flow: OpenFlow) {
        self.open.lock().unwrap().insert(client, flow);
    }

    pub fn flow_closed(&self, client: SocketAddrV4, endpoint: usize) {
        let mut open = self.open.lock().unwrap();
        if open.get(&client).is_some_and(|flow| flow.endpoint == endpoint) {
            open.remove(&client);
        }
    }

    pub fn open_flow(&self, client: SocketAddrV4) -> Option<OpenFlow> {
        self.open.lock().unwrap().get(&client).copied()
    }

    pub fn set_links(&self, links: Links) {
        *self.links.lock().unwrap() = links;
    }

    pub fn is_cut(&self) -> bool {
        matches!(*self.links.lock().unwrap(), Links::Cut(_))
    }

    /// Whether a packet between two zones arrives.
    pub fn passes(&self, from: usize, to: usize) -> bool {
        let links = *self.links.lock().unwrap();
        let touches = |zone: usize| from != to && (from == zone || to == zone);
        match links {
            Links::Sound => true,
            Links::Cut(zone) => !touches(zone),
            Links::Lossy(zone, share) => !touches(zone) || self.random() >= share,
        }
    }

    /// A log-normal number with mean 1 and the spread `sigma` of its logarithm.
    pub fn log_normal(&self, sigma: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.random()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.random()).cos();
        (sigma * normal - sigma * sigma / 2.0).exp()
    }

    /// A number from 0 to 1, by xorshift.
    pub fn random(&self) -> f64 {
        let mut state = self.random.lock().unwrap();
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        (*state >> 11) as f64 / (1_u64 << 53) as f64
    }
}
