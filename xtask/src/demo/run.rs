//! Runs the demo: starts the processes, triggers the events under load and prints the result.

use std::collections::HashSet;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{self, Instant};

use crate::demo::caller_stats::{CallerStats, Totals};
use crate::demo::documents::{self, OperatorState};
use crate::demo::event::{Event, Kind};
use crate::demo::http;
use crate::demo::launch::Launcher;
use crate::demo::process::{Process, ProgramRunner};
use crate::demo::topology::{
    ADMIN_PORT, FABRIC_IP, Instance, PLATFORM, PLATFORM_ADMIN, Scale, Topology, ZONES,
};
use crate::error::{Error, Result};
use crate::{keys, repo};

/// Time limit for a process to become ready and for an entry to stop.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(15);

/// Time from killing an entry to restarting it.
const RESTART_DELAY: Duration = Duration::from_secs(3);

/// Time over which the rate of control traffic is sampled after the load.
const CONTROL_SAMPLE_TIME: Duration = Duration::from_secs(3);

/// Time limit for the callers to print their final statistics.
const FINISH_TIMEOUT: Duration = Duration::from_secs(12);

/// UDP port that a running demo binds, so that a second one fails to start.
const LOCK_PORT: u16 = 9_999;

/// The zone that is taken out of service or partitioned, as an index into [`ZONES`].
const FAULT_ZONE: usize = ZONES.len() - 1;

/// Options of the command line.
#[derive(Debug, Clone)]
pub struct Options {
    /// Duration of the load in seconds.
    pub seconds: u64,
    /// Number of processes and sessions.
    pub scale: Scale,
    /// Events to trigger; if empty, all entries are restarted in turn.
    pub events: Vec<Event>,
}

/// Runs the demo; returns an error if a session broke or a request was not answered as it should.
pub fn run(options: Options) -> Result<()> {
    let bin_dir = build(options.scale)?;
    let _lock = lock()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut demo = Demo::start(options, bin_dir).await?;
        demo.run_load().await?;
        demo.finish().await
    })
}

/// Allows one demo at a time on a machine, as all use the same addresses.
fn lock() -> Result<UdpSocket> {
    UdpSocket::bind((FABRIC_IP, LOCK_PORT))
        .map_err(|e| Error::Step(format!("another demo is running ({FABRIC_IP}:{LOCK_PORT}: {e})")))
}

/// Builds all programs, with optimisations for the large scale, and returns their directory.
fn build(scale: Scale) -> Result<PathBuf> {
    let (profile, dir) = match scale {
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
    Ok(repo::target_dir().join(dir))
}

/// Zones that were out of service at any time; sessions there are expected to break.
type ZoneSet = Arc<Mutex<HashSet<usize>>>;

struct Demo {
    options: Options,
    launcher: Launcher,
    entries: Vec<Process>,
    callers: Vec<Process>,
    standins: Vec<Process>,
    stats: LoadStats,
    operator_state: OperatorState,
    next_entry: usize,
    next_upstream: usize,
}

/// The callers' statistics, and the zones whose broken sessions are counted separately.
#[derive(Debug, Clone)]
struct LoadStats {
    callers: CallerStats,
    upstreams: Vec<Instance>,
    zones_out: ZoneSet,
}

impl Demo {
    /// Starts everything but the callers and waits until the entries are ready.
    async fn start(options: Options, bin_dir: PathBuf) -> Result<Self> {
        let topology = Topology::new(options.scale);
        let runner = ProgramRunner::new(bin_dir, repo::target_dir().join("demo"))?;
        keys::generate(&runner.dir().join("keys"), &topology.entry_ips())?;
        let stats = LoadStats {
            callers: CallerStats::default(),
            upstreams: topology.upstreams().collect(),
            zones_out: ZoneSet::default(),
        };
        let launcher = Launcher { topology, runner };
        let mut standins = vec![launcher.platform()?, launcher.fabric()?];
        standins.extend(launcher.upstreams()?);
        let entries = (0..launcher.topology.entries.len())
            .map(|index| launcher.entry(index))
            .collect::<Result<Vec<_>>>()?;
        let demo = Self {
            options,
            launcher,
            entries,
            callers: Vec::new(),
            standins,
            stats,
            operator_state: OperatorState::default(),
            next_entry: 0,
            next_upstream: 0,
        };
        wait_for("the platform", || http::call("GET", admin(PLATFORM_ADMIN), "/calls")).await?;
        demo.put_documents().await?;
        for entry in &demo.launcher.topology.entries {
            wait_ready(entry).await?;
        }
        // The fabric polls the entries' readiness a few times a second.
        time::sleep(Duration::from_millis(500)).await;
        Ok(demo)
    }

    /// Starts the callers and triggers the events under their load.
    async fn run_load(&mut self) -> Result<()> {
        for service in &self.launcher.topology.services {
            let mut process = self.launcher.callers(service)?;
            if let Some(stdout) = process.stdout() {
                let name = service.name.to_owned();
                tokio::spawn(self.stats.callers.clone().read_output(name, stdout));
            }
            self.callers.push(process);
        }
        let start = Instant::now();
        let progress = tokio::spawn(self.stats.clone().print_progress(start));
        for event in self.events() {
            time::sleep_until(start + event.at).await;
            println!("{:5.1}s {}", start.elapsed().as_secs_f64(), event.kind.name());
            self.trigger(event.kind).await?;
        }
        time::sleep_until(start + Duration::from_secs(self.options.seconds)).await;
        progress.abort();
        println!(
            "control bytes_per_s={:.0} (most of any entry)",
            self.max_control_bytes_per_s().await?
        );
        Ok(())
    }

    /// Stops the callers and the entries and prints the result.
    async fn finish(mut self) -> Result<()> {
        for caller in &self.callers {
            caller.terminate()?;
        }
        let deadline = Instant::now() + FINISH_TIMEOUT;
        while self.stats.totals().finished < self.callers.len() && Instant::now() < deadline {
            time::sleep(Duration::from_millis(100)).await;
        }
        let totals = self.stats.totals();
        let duplicates = self.duplicate_executions().await?;
        for entry in &self.entries {
            entry.terminate()?;
        }
        for entry in &mut self.entries {
            entry.wait().await?;
        }
        println!(
            "flows opened={} broken={} refused={} unanswered={} given_up={}",
            totals.opened, totals.broken, totals.refused, totals.unanswered, totals.broken_zone_out
        );
        println!("answers ok={} wrong={} doubled={duplicates}", totals.ok, totals.wrong);
        let finished = totals.finished == self.callers.len();
        let no_failures = totals.broken + totals.unanswered + totals.wrong + duplicates == 0;
        let alive = self.standins.iter_mut().all(Process::is_running);
        if finished && no_failures && alive && totals.ok > 0 {
            println!("PASS");
            return Ok(());
        }
        println!("FAIL");
        let dir = self.launcher.runner.dir().display();
        Err(Error::Step(format!("demo checks, see the counts above; logs are in {dir}")))
    }

    /// Highest rate of control traffic that any entry sends without events, in bytes per second.
    async fn max_control_bytes_per_s(&self) -> Result<f64> {
        let mut start_bytes = Vec::new();
        for entry in &self.launcher.topology.entries {
            start_bytes.push(control_bytes_sent(entry).await?);
        }
        time::sleep(CONTROL_SAMPLE_TIME).await;
        let mut max: f64 = 0.0;
        for (entry, start_bytes) in self.launcher.topology.entries.iter().zip(start_bytes) {
            let sent = control_bytes_sent(entry).await? - start_bytes;
            max = max.max(sent / CONTROL_SAMPLE_TIME.as_secs_f64());
        }
        Ok(max)
    }

    /// The requested events, or restarts of all entries spread over the load, ordered by time.
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

    async fn trigger(&mut self, kind: Kind) -> Result<()> {
        match kind {
            Kind::RestartEntry => self.restart_entry().await,
            Kind::KillEntry => self.kill_entry().await,
            Kind::DrainUpstream => {
                let upstream = self.pick_upstream();
                self.operator_state.draining.push(upstream.ip);
                self.put_documents().await
            }
            Kind::ColdUpstream => post(self.pick_upstream().admin(), "/cold").await,
            Kind::ZoneOut => {
                self.stats.add_zone_out(FAULT_ZONE);
                self.operator_state.zones_out.push(FAULT_ZONE);
                self.put_documents().await
            }
            Kind::ZoneBack => {
                self.operator_state.zones_out.clear();
                self.put_documents().await
            }
            Kind::PlatformDown => post(admin(PLATFORM_ADMIN), "/down").await,
            Kind::PlatformUp => post(admin(PLATFORM_ADMIN), "/up").await,
            Kind::CutZone => post(fabric_admin(), &format!("/cut/{}", FAULT_ZONE + 1)).await,
            Kind::HealZone => post(fabric_admin(), "/heal").await,
        }
    }

    async fn restart_entry(&mut self) -> Result<()> {
        let index = self.pick_entry();
        self.entries[index].terminate()?;
        let stopped = time::timeout(PROCESS_TIMEOUT, self.entries[index].wait()).await;
        stopped.map_err(|_elapsed| {
            Error::Step(format!(
                "entry {} did not stop within {PROCESS_TIMEOUT:?}",
                self.launcher.topology.entries[index].ip
            ))
        })??;
        self.relaunch_entry(index).await
    }

    async fn kill_entry(&mut self) -> Result<()> {
        let index = self.pick_entry();
        self.entries[index].kill().await?;
        time::sleep(RESTART_DELAY).await;
        self.relaunch_entry(index).await
    }

    async fn relaunch_entry(&mut self, index: usize) -> Result<()> {
        self.entries[index] = self.launcher.entry(index)?;
        wait_ready(&self.launcher.topology.entries[index]).await
    }

    /// The index of the next entry in turn.
    fn pick_entry(&mut self) -> usize {
        let index = self.next_entry % self.entries.len();
        self.next_entry += 1;
        index
    }

    /// The next upstream of the first service in turn.
    fn pick_upstream(&mut self) -> Instance {
        let upstreams = &self.launcher.topology.services[0].upstreams;
        let upstream = upstreams[self.next_upstream % upstreams.len()];
        self.next_upstream += 1;
        upstream
    }

    /// Writes the documents of all services to the platform.
    async fn put_documents(&self) -> Result<()> {
        let runner = &self.launcher.runner;
        for service in &self.launcher.topology.services {
            let file = runner.dir().join(format!("{}.toml", service.name));
            fs::write(&file, documents::render(service, &self.operator_state))?;
            let platform = format!("--platform=http://{PLATFORM}");
            let args = ["put".to_owned(), file.display().to_string(), platform];
            runner.run("ibisctl", &args).await?;
        }
        Ok(())
    }

    /// Number of repeated executions of the same request, over all upstreams.
    async fn duplicate_executions(&self) -> Result<u64> {
        let mut ids = HashSet::new();
        let mut duplicates = 0;
        for upstream in &self.stats.upstreams {
            let executed = http::call("GET", upstream.admin(), "/executed").await?;
            duplicates +=
                executed.lines().filter(|id| !ids.insert((*id).to_owned())).count() as u64;
        }
        Ok(duplicates)
    }
}

impl LoadStats {
    fn totals(&self) -> Totals {
        let zones_out = self.zones_out.lock().unwrap_or_else(PoisonError::into_inner);
        let is_zone_out =
            |ip: Ipv4Addr| self.upstreams.iter().any(|u| u.ip == ip && zones_out.contains(&u.zone));
        self.callers.totals(is_zone_out)
    }

    /// Counts broken sessions of this zone separately.
    fn add_zone_out(&self, zone: usize) {
        self.zones_out.lock().unwrap_or_else(PoisonError::into_inner).insert(zone);
    }

    /// Prints the totals each second.
    async fn print_progress(self, start: Instant) {
        let mut interval =
            time::interval_at(start + Duration::from_secs(1), Duration::from_secs(1));
        loop {
            interval.tick().await;
            let totals = self.totals();
            println!(
                "{:5.1}s open={} opened={} broken={} refused={} ok={} wrong={} p99={:.1}ms max={:.0}ms",
                start.elapsed().as_secs_f64(),
                totals.open,
                totals.opened,
                totals.broken,
                totals.refused,
                totals.ok,
                totals.wrong,
                totals.p99_us as f64 / 1e3,
                totals.max_us as f64 / 1e3,
            );
        }
    }
}

/// Bytes of control messages that an entry has sent since its start.
async fn control_bytes_sent(entry: &Instance) -> Result<f64> {
    let metrics = http::call("GET", entry.admin(), "/metrics").await?;
    let line = metrics.lines().find_map(|l| l.strip_prefix("ibis_control_sent_bytes_total "));
    line.and_then(|value| value.parse().ok())
        .ok_or_else(|| Error::Step(format!("entry {}: no metric of control bytes sent", entry.ip)))
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

async fn wait_ready(entry: &Instance) -> Result<()> {
    let admin = entry.admin();
    wait_for(&format!("entry {}", entry.ip), || http::call("GET", admin, "/ready")).await
}

async fn wait_for<T, F>(what: &str, mut call: impl FnMut() -> F) -> Result<()>
where
    F: Future<Output = Result<T>>,
{
    let deadline = Instant::now() + PROCESS_TIMEOUT;
    while Instant::now() < deadline {
        if call().await.is_ok() {
            return Ok(());
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    Err(Error::Step(format!("{what} was not ready within {PROCESS_TIMEOUT:?}")))
}
