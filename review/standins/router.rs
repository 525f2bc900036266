//! The platform's routers, and the system's processes behind them.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::world::{DATA_PORT, READY_PORT, World};

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const MISSES_TO_LEAVE: u32 = 2;

pub const ZONES: [&str; 3] = ["hu-central-a", "hu-central-b", "hu-central-c"];

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Option of `prctl`: the signal that a process gets when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// A machine of the system with its process.
pub struct Node {
    settings: PathBuf,
    pub log: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Writes the settings file that DEPLOY.md shows, with the bounds of the small site.
    pub fn new(world: &World, index: usize, zone: &str) -> std::io::Result<Self> {
        let ip = world.node_ip(index);
        let store = world.store_addr();
        let zones: String = ZONES.iter().map(|zone| format!("zones.{zone}=hu-central\n")).collect();
        let text = format!(
            "node_name=edge-{zone}-{index}\nrole=entry\nmachine_class=edge\nserves=edge\nip={ip}\n\
             zone={zone}\nregion=hu-central\n{zones}\
             listen.data_addr={ip}:{DATA_PORT}\nlisten.ready_addr={ip}:{READY_PORT}\n\
             internal_ports=7720,7735\nseeds=\nbootstrap=true\ncounts_as_loss=false\n\
             limits.cpu_share=0.17\nlimits.cpus=1\nlimits.memory_mb=780\nlimits.max_fds=12300\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=advertise\n\
             heartbeat_ms=1200\npolicies=base,drain,config,cost,recover,flows,places,platform\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n\
             bounds.seed_staleness_s=3\nbounds.addr_reuse_s=2\nbounds.stable_window_ms=4000\n\
             bounds.ack_ms=5000\nbounds.sync_s=4\nbounds.drain_ms=3000\nbounds.grace_s=6\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\nbounds.downgrade_slack_ms=250\n\
             bounds.skew_max_ms=12000\nbounds.warmup_overage_factor=1.5\nbounds.warmup_burst=5\n\
             bounds.evac_ms=5000\nbounds.recover_s=12\nbounds.reorder_ms=2000\n\
             bounds.flow_ttl_s=60\nhash=steady\nmode=echo\nplatform.addr={store}\n\
             platform.mode=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n\
             platform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n"
        );
        let settings = world.folder.join(format!("node-{index}.conf"));
        std::fs::write(&settings, text)?;
        Ok(Self { settings, log: world.folder.join(format!("node-{index}.log")), child: None })
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new("target/release/ibis-node");
        command.args(["--metrics-port", "9464"]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("IBISSHIFT_BOOT", &self.settings);
        // SAFETY: a system call without memory. The process ends with this one, however it ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let errors = log.try_clone()?;
        self.child = Some(command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn()?);
        Ok(())
    }

    /// Sends a signal to the process, which this run started and hasn't reaped.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: a call without memory; the process id belongs to a child that isn't reaped.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _status = child.wait();
        }
    }

    /// SIGTERM, then SIGKILL after the grace time.
    pub fn stop(&mut self, grace: Duration) {
        self.signal(SIGTERM);
        let start = Instant::now();
        while start.elapsed() < grace {
            if self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                self.child = None;
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The routers of all zones, with `hash=steady`.
pub struct Routers {
    world: Arc<World>,
    zones: Vec<usize>,
    misses: Vec<AtomicU32>,
    stop: Arc<AtomicBool>,
}

impl Routers {
    /// Starts the probes of the nodes, whose zones are given.
    pub fn start(world: &Arc<World>, zones: &[usize], stop: &Arc<AtomicBool>) -> Arc<Self> {
        let misses = zones.iter().map(|_| AtomicU32::new(MISSES_TO_LEAVE)).collect();
        let (world, stop) = (Arc::clone(world), Arc::clone(stop));
        let routers = Arc::new(Self { world, zones: zones.to_vec(), misses, stop });
        for node in 0..zones.len() {
            let routers = Arc::clone(&routers);
            thread::spawn(move || routers.probe(node));
        }
        routers
    }

    pub fn in_rotation(&self, node: usize) -> bool {
        self.misses[node].load(Ordering::Relaxed) < MISSES_TO_LEAVE
    }

    /// The node that gets the packets of a flow.
    pub fn node_for(&self, zone: usize, client: SocketAddrV4, service: SocketAddrV4) -> usize {
        let all = 0..self.zones.len();
        let own: Vec<usize> = all.clone().filter(|node| self.zones[*node] == zone).collect();
        let ready: Vec<usize> =
            own.iter().copied().filter(|node| self.in_rotation(*node)).collect();
        let nodes = if ready.is_empty() {
            let others: Vec<usize> = all.filter(|node| self.in_rotation(*node)).collect();
            if others.is_empty() { own } else { others }
        } else if ready.len() * 2 < own.len() {
            own
        } else {
            ready
        };
        let key = u64::from(u32::from(*client.ip())) << 32
            ^ u64::from(client.port()) << 16
            ^ u64::from(u32::from(*service.ip())) << 8
            ^ u64::from(service.port());
        let score = |node: &usize| mix(key ^ mix(*node as u64 + 1));
        nodes.into_iter().max_by_key(score).unwrap_or_default()
    }

    pub fn data_addr(&self, node: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.world.node_ip(node), DATA_PORT)
    }

    fn probe(&self, node: usize) {
        while !self.stop.load(Ordering::Relaxed) {
            let start = Instant::now();
            let was = self.in_rotation(node);
            if self.is_ready(node) {
                self.misses[node].store(0, Ordering::Relaxed);
            } else {
                self.misses[node].fetch_add(1, Ordering::Relaxed);
            }
            if was != self.in_rotation(node) {
                let change = if was { "leaves" } else { "joins" };
                self.world.note(&format!("node {node} {change} the rotation"));
            }
            thread::sleep(PROBE_INTERVAL.saturating_sub(start.elapsed()));
        }
    }

    fn is_ready(&self, node: usize) -> bool {
        let addr = SocketAddrV4::new(self.world.node_ip(node), READY_PORT);
        let probe = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&addr.into(), PROBE_INTERVAL)?;
            stream.set_read_timeout(Some(PROBE_INTERVAL - Duration::from_millis(20)))?;
            stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
            let mut head = [0; 12];
            stream.read_exact(&mut head)?;
            Ok(&head == b"HTTP/1.1 200")
        };
        probe().unwrap_or(false)
    }
}

fn mix(value: u64) -> u64 {
    let mut value = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    value = (value ^ value >> 30).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    value = (value ^ value >> 27).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ value >> 31
}
