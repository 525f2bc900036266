//! The system's own program on loopback, and the platform's routers in front of it.

use std::fs;
use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::site::{DATA_PORT, READY_PORT, Site};

pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    misses: AtomicU32,
    child: Mutex<Option<Child>>,
    settings: PathBuf,
    pub log: PathBuf,
}

impl Node {
    pub fn start(site: &Site, name: &str, ip: Ipv4Addr, zone: &str) -> Arc<Self> {
        let settings = site.folder.join(format!("{name}.conf"));
        let log = site.folder.join(format!("{name}.log"));
        if fs::write(&settings, site.settings(name, ip, zone)).is_err() {
            crate::cannot_run("settings");
        }
        let node = Arc::new(Self {
            name: name.to_owned(),
            ip,
            zone: zone.to_owned(),
            misses: AtomicU32::new(2),
            child: Mutex::default(),
            settings,
            log,
        });
        node.launch();
        let probed = Arc::clone(&node);
        thread::spawn(move || probed.probe());
        node
    }

    /// Starts the process, as the deploy file says.
    pub fn launch(&self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let Ok(log) = log else { crate::cannot_run("log") };
        let child = Command::new("target/release/ibis-node")
            .args(["--metrics-port", "9464"])
            .env("IBISSHIFT_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => {
                note_process(child.id());
                *self.child.lock().unwrap() = Some(child);
            }
            Err(_) => crate::cannot_run("target/release/ibis-node"),
        }
    }

    /// Ends the process by a signal's name and waits for it.
    #[allow(dead_code, reason = "not every case stops entries")]
    pub fn stop(&self, signal: &str) {
        let Some(mut child) = self.child.lock().unwrap().take() else { return };
        let _sent = Command::new("kill").args([signal, &child.id().to_string()]).status();
        let end = Instant::now() + Duration::from_secs(6);
        while Instant::now() < end {
            if child.try_wait().ok().flatten().is_some() {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        let _gone = child.kill();
        let _gone = child.wait();
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _gone = child.kill();
            let _gone = child.wait();
        }
    }

    pub fn is_in_rotation(&self) -> bool {
        self.misses.load(Ordering::Relaxed) < 2
    }

    /// The routers ask twice a second.
    fn probe(&self) {
        loop {
            let start = Instant::now();
            if self.is_ready() {
                self.misses.store(0, Ordering::Relaxed);
            } else {
                self.misses.fetch_add(1, Ordering::Relaxed);
            }
            thread::sleep(Duration::from_millis(500).saturating_sub(start.elapsed()));
        }
    }

    fn is_ready(&self) -> bool {
        let addr = SocketAddrV4::new(self.ip, READY_PORT);
        let Ok(mut stream) = TcpStream::connect_timeout(&addr.into(), Duration::from_millis(450))
        else {
            return false;
        };
        let _set = stream.set_read_timeout(Some(Duration::from_millis(450)));
        let mut head = [0_u8; 12];
        stream.write_all(b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n").is_ok()
            && stream.read_exact(&mut head).is_ok()
            && &head == b"HTTP/1.1 200"
    }
}

/// Adds a process to the list from which the case's script ends those that are left.
fn note_process(id: u32) {
    let Some(path) = std::env::var_os("PIDS") else { return };
    if let Ok(mut file) = fs::OpenOptions::new().append(true).open(path) {
        let _full = writeln!(file, "{id}");
    }
}

/// Empties that list: all processes have ended.
pub fn forget_processes() {
    if let Some(path) = std::env::var_os("PIDS") {
        let _gone = fs::write(path, "");
    }
}

/// The node that gets a client's packets: by a hash of the flow over the nodes of the client's zone
/// that are in rotation; over all of them if that is fewer than half.
pub fn route(nodes: &[Arc<Node>], zone: &str, client: SocketAddrV4) -> SocketAddrV4 {
    let of_zone: Vec<&Arc<Node>> = nodes.iter().filter(|node| node.zone == zone).collect();
    let ready: Vec<&Arc<Node>> =
        of_zone.iter().filter(|node| node.is_in_rotation()).copied().collect();
    let pool = if ready.len() * 2 < of_zone.len() { of_zone } else { ready };
    let key = u64::from(u32::from(*client.ip())) << 16 | u64::from(client.port());
    let score = |node: &&Arc<Node>| {
        let mut word = key ^ u64::from(u32::from(node.ip)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        word = (word ^ (word >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        word = (word ^ (word >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        word ^ (word >> 31)
    };
    let ip = pool.into_iter().max_by_key(score).map_or(Ipv4Addr::LOCALHOST, |node| node.ip);
    SocketAddrV4::new(ip, DATA_PORT)
}
