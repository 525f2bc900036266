//! Runs the demo from the first process to the verdict.

use std::collections::HashSet;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{self, Instant};

use crate::demo::documents::{self, Decisions};
use crate::demo::event::{Event, Kind};
use crate::demo::http;
use crate::demo::launch::Launcher;
use crate::demo::process::{Process, Workshop};
use crate::demo::tally::{Sum, Tally};
use crate::demo::topology::{
    ADMIN_PORT, FABRIC_IP, PLATFORM, PLATFORM_ADMIN, Place, Scale, Topology, ZONES,
};
use crate::error::{Error, Result};
use crate::{keys, repo};

/// Longest wait for an entry to be ready or to stop.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time that a killed entry stays away.
const KILLED_FOR: Duration = Duration::from_secs(3);

/// Time over which control traffic is counted at the end.
const CONTROL_SAMPLE: Duration = Duration::from_secs(3);

/// Longest wait for the callers' last answers.
const FINISH_TIMEOUT: Duration = Duration::from_secs(12);

/// UDP port that a running demo holds.
const LOCK_PORT: u16 = 9_999;

/// The zone that is taken out or cut off, by index.
const FAILING_ZONE: usize = ZONES.len() - 1;

/// What is asked for.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time of load in seconds.
    pub seconds: u64,
    /// Size.
    pub scale: Scale,
    /// Events; without any, all entries are restarted in turn.
    pub events: Vec<Event>,
}

/// Runs the demo.
pub fn run(options: Options) -> Result<()> {
    let bin = build(options.scale)?;
    let _only = lock()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut demo = Demo::start(options, bin).await?;
        demo.load().await?;
        demo.finish().await
    })
}

/// Makes sure that this is the only demo on the machine: all use the same addresses.
fn lock() -> Result<UdpSocket> {
    UdpSocket::bind((FABRIC_IP, LOCK_PORT))
        .map_err(|e| Error::Step(format!("another demo is running ({FABRIC_IP}:{LOCK_PORT}: {e})")))
}

/// Builds all programs; the large scale needs them fast.
fn build(scale: Scale) -> Result<PathBuf> {
    let (profile, folder) = match scale {
        Scale::Small => ("dev", "debug"),
        Scale::Today => ("release", "release"),
    };
    let status = Command::new(env!("CARGO"))
        .args(["build", "--quiet", "--workspace", "--bins", "--exclude", "xtask"])
        .args(["--profile", profile])
        .current_dir(repo::root())
        .status()?;
    if !status.success() {
        return Err(Error::Step("cargo build".to_owned()));
    }
    Ok(repo::target().join(folder))
}

/// Zones that were out of service at any time; flows there are given up.
type ZonesOut = Arc<Mutex<HashSet<usize>>>;

struct Demo {
    options: Options,
    launcher: Launcher,
    entries: Vec<Process>,
    callers: Vec<Process>,
    others: Vec<Process>,
    counts: Counts,
    decisions: Decisions,
    next_entry: usize,
    next_upstream: usize,
}

/// What the callers have seen, and which broken sessions are excused.
#[derive(Debug, Clone)]
struct Counts {
    tally: Tally,
    upstreams: Vec<Place>,
    zones_out: ZonesOut,
}

impl Demo {
    /// Starts everything but the callers and waits until the entries are ready.
    async fn start(options: Options, bin: PathBuf) -> Result<Self> {
        let topology = Topology::new(options.scale);
        let workshop = Workshop::new(bin, repo::target().join("demo"))?;
        keys::make(&workshop.dir().join("keys"), &topology.entry_ips())?;
        let counts = Counts {
            tally: Tally::default(),
            upstreams: topology.upstreams().collect(),
            zones_out: ZonesOut::default(),
        };
        let launcher = Launcher { topology, workshop };
        let mut others = vec![launcher.platform()?, launcher.fabric()?];
        others.extend(launcher.upstreams()?);
        let entries = (0..launcher.topology.entries.len())
            .map(|index| launcher.entry(index))
            .collect::<Result<Vec<_>>>()?;
        let demo = Self {
            options,
            launcher,
            entries,
            callers: Vec::new(),
            others,
            counts,
            decisions: Decisions::default(),
            next_entry: 0,
            next_upstream: 0,
        };
        wait_for("the platform", || http::call("GET", admin(PLATFORM_ADMIN), "/calls")).await?;
        demo.put_documents().await?;
        for entry in &demo.launcher.topology.entries {
            wait_ready(entry).await?;
        }
        // The fabric looks at readiness a few times a second.
        time::sleep(Duration::from_millis(500)).await;
        Ok(demo)
    }

    /// Lets the callers work and the events happen.
    async fn load(&mut self) -> Result<()> {
        for service in &self.launcher.topology.services {
            let mut process = self.launcher.callers(service)?;
            if let Some(stdout) = process.stdout() {
                let name = service.name.to_owned();
                tokio::spawn(self.counts.tally.clone().follow(name, stdout));
            }
            self.callers.push(process);
        }
        let start = Instant::now();
        let printing = tokio::spawn(self.counts.clone().print_lines(start));
        for event in self.events() {
            time::sleep_until(start + event.at).await;
            println!("{:5.1}s {}", start.elapsed().as_secs_f64(), event.kind.name());
            self.cause(event.kind).await?;
        }
        time::sleep_until(start + Duration::from_secs(self.options.seconds)).await;
        printing.abort();
        println!("control bytes_per_s={:.0} (most of any entry)", self.control_rate().await?);
        Ok(())
    }

    /// Stops the callers and says whether all promises were kept.
    async fn finish(mut self) -> Result<()> {
        for caller in &self.callers {
            caller.terminate()?;
        }
        let deadline = Instant::now() + FINISH_TIMEOUT;
        while self.counts.sum().finished < self.callers.len() && Instant::now() < deadline {
            time::sleep(Duration::from_millis(100)).await;
        }
        let sum = self.counts.sum();
        let doubled = self.doubled().await?;
        for entry in &self.entries {
            entry.terminate()?;
        }
        for entry in &mut self.entries {
            entry.wait().await?;
        }
        println!(
            "flows opened={} broken={} refused={} unanswered={} given_up={}",
            sum.opened, sum.broken, sum.refused, sum.unanswered, sum.excused
        );
        println!("answers ok={} wrong={} doubled={doubled}", sum.ok, sum.wrong);
        let finished = sum.finished == self.callers.len();
        let kept = sum.broken + sum.unanswered + sum.wrong + doubled == 0;
        let alive = self.others.iter_mut().all(Process::is_running);
        if finished && kept && alive && sum.ok > 0 {
            println!("PASS");
            return Ok(());
        }
        println!("FAIL");
        let logs = self.launcher.workshop.dir().display();
        Err(Error::Step(format!("the demo broke a promise; logs are in {logs}")))
    }

    /// The most bytes of control traffic that an entry sends in a second at rest.
    async fn control_rate(&self) -> Result<f64> {
        let mut before = Vec::new();
        for entry in &self.launcher.topology.entries {
            before.push(control_bytes(entry).await?);
        }
        time::sleep(CONTROL_SAMPLE).await;
        let mut most: f64 = 0.0;
        for (entry, before) in self.launcher.topology.entries.iter().zip(before) {
            let sent = control_bytes(entry).await? - before;
            most = most.max(sent / CONTROL_SAMPLE.as_secs_f64());
        }
        Ok(most)
    }

    fn events(&self) -> Vec<Event> {
        let mut events = self.options.events.clone();
        if events.is_empty() {
            let entries = self.entries.len() as u32;
            let step = Duration::from_secs(self.options.seconds) / (entries + 1);
            let restart = |n| Event { kind: Kind::RestartEntry, at: step * n };
            events = (1..=entries).map(restart).collect();
        }
        events.sort_by_key(|event| event.at);
        events
    }

    async fn cause(&mut self, kind: Kind) -> Result<()> {
        match kind {
            Kind::RestartEntry => self.restart_entry().await,
            Kind::KillEntry => self.kill_entry().await,
            Kind::DrainUpstream => {
                let upstream = self.take_upstream();
                self.decisions.draining.push(upstream.ip);
                self.put_documents().await
            }
            Kind::ColdUpstream => post(self.take_upstream().admin(), "/cold").await,
            Kind::ZoneOut => {
                self.counts.excuse_zone(FAILING_ZONE);
                self.decisions.zones_out.push(FAILING_ZONE);
                self.put_documents().await
            }
            Kind::ZoneBack => {
                self.decisions.zones_out.clear();
                self.put_documents().await
            }
            Kind::PlatformDown => post(admin(PLATFORM_ADMIN), "/down").await,
            Kind::PlatformUp => post(admin(PLATFORM_ADMIN), "/up").await,
            Kind::CutZone => post(fabric_admin(), &format!("/cut/{}", FAILING_ZONE + 1)).await,
            Kind::HealZone => post(fabric_admin(), "/heal").await,
        }
    }

    async fn restart_entry(&mut self) -> Result<()> {
        let index = self.take_entry();
        self.entries[index].terminate()?;
        let stopped = time::timeout(ENTRY_TIMEOUT, self.entries[index].wait()).await;
        stopped.map_err(|_late| Error::Step("an entry did not stop".to_owned()))??;
        self.start_again(index).await
    }

    async fn kill_entry(&mut self) -> Result<()> {
        let index = self.take_entry();
        self.entries[index].kill().await?;
        time::sleep(KILLED_FOR).await;
        self.start_again(index).await
    }

    async fn start_again(&mut self, index: usize) -> Result<()> {
        self.entries[index] = self.launcher.entry(index)?;
        wait_ready(&self.launcher.topology.entries[index]).await
    }

    fn take_entry(&mut self) -> usize {
        let index = self.next_entry % self.entries.len();
        self.next_entry += 1;
        index
    }

    fn take_upstream(&mut self) -> Place {
        let upstreams = &self.launcher.topology.services[0].upstreams;
        let upstream = upstreams[self.next_upstream % upstreams.len()];
        self.next_upstream += 1;
        upstream
    }

    async fn put_documents(&self) -> Result<()> {
        let workshop = &self.launcher.workshop;
        for service in &self.launcher.topology.services {
            let file = workshop.dir().join(format!("{}.toml", service.name));
            fs::write(&file, documents::text(service, &self.decisions))?;
            let platform = format!("--platform=http://{PLATFORM}");
            let args = ["put".to_owned(), file.display().to_string(), platform];
            workshop.run("ibisctl", &args).await?;
        }
        Ok(())
    }

    /// Requests that have run more than once, over all upstreams.
    async fn doubled(&self) -> Result<u64> {
        let mut ids = HashSet::new();
        let mut doubled = 0;
        for upstream in &self.counts.upstreams {
            let executed = http::call("GET", upstream.admin(), "/executed").await?;
            doubled += executed.lines().filter(|id| !ids.insert((*id).to_owned())).count() as u64;
        }
        Ok(doubled)
    }
}

impl Counts {
    fn sum(&self) -> Sum {
        let out = self.zones_out.lock().unwrap_or_else(PoisonError::into_inner);
        let excused = |ip: Ipv4Addr| {
            self.upstreams.iter().any(|place| place.ip == ip && out.contains(&place.zone))
        };
        self.tally.sum(excused)
    }

    fn excuse_zone(&self, zone: usize) {
        self.zones_out.lock().unwrap_or_else(PoisonError::into_inner).insert(zone);
    }

    /// Prints a line of progress each second.
    async fn print_lines(self, start: Instant) {
        let mut interval =
            time::interval_at(start + Duration::from_secs(1), Duration::from_secs(1));
        loop {
            interval.tick().await;
            let sum = self.sum();
            println!(
                "{:5.1}s open={} opened={} broken={} refused={} ok={} wrong={} p99={:.1}ms max={:.0}ms",
                start.elapsed().as_secs_f64(),
                sum.open,
                sum.opened,
                sum.broken,
                sum.refused,
                sum.ok,
                sum.wrong,
                sum.p99_us as f64 / 1e3,
                sum.max_us as f64 / 1e3,
            );
        }
    }
}

/// The control bytes that an entry has sent so far.
async fn control_bytes(entry: &Place) -> Result<f64> {
    let metrics = http::call("GET", entry.admin(), "/metrics").await?;
    let line = metrics.lines().find_map(|l| l.strip_prefix("ibis_control_sent_bytes_total "));
    line.and_then(|value| value.parse().ok())
        .ok_or_else(|| Error::Step(format!("{}: no count of control bytes", entry.ip)))
}

fn fabric_admin() -> SocketAddr {
    SocketAddr::from((FABRIC_IP, ADMIN_PORT))
}

fn admin(addr: &str) -> SocketAddr {
    addr.parse().unwrap_or_else(|e| unreachable!("{addr}: {e}"))
}

async fn post(addr: SocketAddr, path: &str) -> Result<()> {
    http::call("POST", addr, path).await.map(drop)
}

async fn wait_ready(entry: &Place) -> Result<()> {
    let admin = entry.admin();
    wait_for(&format!("entry {}", entry.ip), || http::call("GET", admin, "/ready")).await
}

async fn wait_for<T, F>(what: &str, mut call: impl FnMut() -> F) -> Result<()>
where
    F: Future<Output = Result<T>>,
{
    let deadline = Instant::now() + ENTRY_TIMEOUT;
    while Instant::now() < deadline {
        if call().await.is_ok() {
            return Ok(());
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    Err(Error::Step(format!("{what} is not ready")))
}
