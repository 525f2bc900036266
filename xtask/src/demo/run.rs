//! Runs the demo from the first process to the verdict.

use std::collections::HashSet;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use tokio::time::{self, Instant};

use crate::demo::documents::{self, Decisions};
use crate::demo::event::{Event, Kind};
use crate::demo::http;
use crate::demo::process::{Process, Workshop};
use crate::demo::tally::{Sum, Tally};
use crate::demo::topology::{
    ADMIN_PORT, ENTRY_PORT, FABRIC_IP, PLATFORM, PLATFORM_ADMIN, Place, Scale, Service, Topology,
    UPSTREAM_PORT, ZONES,
};
use crate::error::{Error, Result};
use crate::{keys, repo};

/// Key of the flow hash in the demo.
const HASH_KEY: &str = "000102030405060708090a0b0c0d0e0f";

/// Longest wait for an entry to be ready or to stop.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time that a killed entry stays away.
const KILLED_FOR: Duration = Duration::from_secs(3);

/// Longest wait for the callers' last answers.
const FINISH_TIMEOUT: Duration = Duration::from_secs(12);

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
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut demo = Demo::start(options, bin).await?;
        demo.load().await?;
        demo.finish().await
    })
}

/// Builds all programs; the large scale needs them fast.
fn build(scale: Scale) -> Result<PathBuf> {
    let profile = if scale == Scale::Today {
        "release"
    } else {
        "dev"
    };
    let args = [
        "build",
        "--quiet",
        "--workspace",
        "--bins",
        "--exclude",
        "xtask",
    ];
    let status = Command::new(env!("CARGO"))
        .args(args)
        .args(["--profile", profile])
        .current_dir(repo::root())
        .status()?;
    if !status.success() {
        return Err(Error::Step("cargo build".to_owned()));
    }
    let folder = if scale == Scale::Today {
        "release"
    } else {
        "debug"
    };
    Ok(repo::target().join(folder))
}

struct Demo {
    options: Options,
    topology: Topology,
    workshop: Workshop,
    entries: Vec<Process>,
    callers: Vec<Process>,
    others: Vec<Process>,
    tally: Tally,
    decisions: Decisions,
    zones_ever_out: HashSet<usize>,
    next_entry: usize,
    next_upstream: usize,
}

impl Demo {
    /// Starts everything but the callers and waits until the entries are ready.
    async fn start(options: Options, bin: PathBuf) -> Result<Self> {
        let topology = Topology::new(options.scale);
        let workshop = Workshop::new(bin, repo::target().join("demo"))?;
        keys::make(&workshop.dir().join("keys"), &topology.entry_ips())?;
        let mut demo = Self {
            options,
            topology,
            workshop,
            entries: Vec::new(),
            callers: Vec::new(),
            others: Vec::new(),
            tally: Tally::default(),
            decisions: Decisions::default(),
            zones_ever_out: HashSet::new(),
            next_entry: 0,
            next_upstream: 0,
        };
        demo.start_platform()?;
        demo.start_fabric()?;
        demo.start_upstreams()?;
        for index in 0..demo.topology.entries.len() {
            let entry = demo.start_entry(index)?;
            demo.entries.push(entry);
        }
        wait_for("the platform", || {
            http::call("GET", admin(PLATFORM_ADMIN), "/calls")
        })
        .await?;
        demo.put_documents().await?;
        for entry in demo.topology.entries.clone() {
            wait_ready(&entry).await?;
        }
        // The fabric looks at readiness a few times a second.
        time::sleep(Duration::from_millis(500)).await;
        Ok(demo)
    }

    /// Lets the callers work and the events happen.
    async fn load(&mut self) -> Result<()> {
        self.start_callers()?;
        let start = Instant::now();
        let end = start + Duration::from_secs(self.options.seconds);
        let mut events = self.events();
        let mut next_line = start + Duration::from_secs(1);
        while Instant::now() < end {
            let next_event = events.first().map_or(end, |event| start + event.at);
            time::sleep_until(next_event.min(next_line).min(end)).await;
            if Instant::now() >= next_line {
                next_line += Duration::from_secs(1);
                self.print_line(start);
            }
            if Instant::now() >= next_event && !events.is_empty() {
                let event = events.remove(0);
                println!(
                    "{:5.1}s {}",
                    start.elapsed().as_secs_f64(),
                    event.kind.name()
                );
                self.cause(event.kind).await?;
            }
        }
        Ok(())
    }

    /// Stops the callers and says whether all promises were kept.
    async fn finish(mut self) -> Result<()> {
        for caller in &self.callers {
            caller.terminate()?;
        }
        let deadline = Instant::now() + FINISH_TIMEOUT;
        while self.sum().finished < self.callers.len() && Instant::now() < deadline {
            time::sleep(Duration::from_millis(100)).await;
        }
        let sum = self.sum();
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
        println!(
            "answers ok={} wrong={} doubled={doubled}",
            sum.ok, sum.wrong
        );
        let finished = sum.finished == self.callers.len();
        let kept = sum.broken + sum.unanswered + sum.wrong + doubled == 0;
        if finished && kept && sum.ok > 0 {
            println!("PASS");
            return Ok(());
        }
        println!("FAIL");
        let logs = self.workshop.dir().display();
        Err(Error::Step(format!(
            "the demo broke a promise; logs are in {logs}"
        )))
    }

    fn events(&self) -> Vec<Event> {
        let mut events = self.options.events.clone();
        if events.is_empty() {
            let entries = self.topology.entries.len() as u32;
            let step = Duration::from_secs(self.options.seconds) / (entries + 1);
            let restart = |n| Event {
                kind: Kind::RestartEntry,
                at: step * n,
            };
            events = (1..=entries).map(restart).collect();
        }
        events.sort_by_key(|event| event.at);
        events
    }

    async fn cause(&mut self, kind: Kind) -> Result<()> {
        let last_zone = ZONES.len() - 1;
        match kind {
            Kind::RestartEntry => self.restart_entry().await,
            Kind::KillEntry => self.kill_entry().await,
            Kind::DrainUpstream => {
                let upstream = self.take_upstream();
                self.decisions.draining.push(upstream.ip);
                self.put_documents().await
            }
            Kind::ColdUpstream => {
                let upstream = self.take_upstream();
                http::call("POST", upstream.admin(), "/cold")
                    .await
                    .map(drop)
            }
            Kind::ZoneOut => {
                self.decisions.zones_out.push(last_zone);
                self.zones_ever_out.insert(last_zone);
                self.put_documents().await
            }
            Kind::ZoneBack => {
                self.decisions.zones_out.clear();
                self.put_documents().await
            }
            Kind::PlatformDown => http::call("POST", admin(PLATFORM_ADMIN), "/down")
                .await
                .map(drop),
            Kind::PlatformUp => http::call("POST", admin(PLATFORM_ADMIN), "/up")
                .await
                .map(drop),
            Kind::CutZone | Kind::HealZone => Err(Error::Usage(format!(
                "{} is not supported yet",
                kind.name()
            ))),
        }
    }

    async fn restart_entry(&mut self) -> Result<()> {
        let index = self.take_entry();
        self.entries[index].terminate()?;
        let stopped = time::timeout(ENTRY_TIMEOUT, self.entries[index].wait()).await;
        stopped.map_err(|_late| Error::Step("an entry did not stop".to_owned()))??;
        self.entries[index] = self.start_entry(index)?;
        wait_ready(&self.topology.entries[index]).await
    }

    async fn kill_entry(&mut self) -> Result<()> {
        let index = self.take_entry();
        self.entries[index].kill().await?;
        time::sleep(KILLED_FOR).await;
        self.entries[index] = self.start_entry(index)?;
        wait_ready(&self.topology.entries[index]).await
    }

    fn take_entry(&mut self) -> usize {
        let index = self.next_entry % self.entries.len();
        self.next_entry += 1;
        index
    }

    fn take_upstream(&mut self) -> Place {
        let upstreams = &self.topology.services[0].upstreams;
        let upstream = upstreams[self.next_upstream % upstreams.len()];
        self.next_upstream += 1;
        upstream
    }

    async fn put_documents(&self) -> Result<()> {
        for service in &self.topology.services {
            let file = self.workshop.dir().join(format!("{}.toml", service.name));
            fs::write(&file, documents::text(service, &self.decisions))?;
            let args = [
                "put".to_owned(),
                file.display().to_string(),
                format!("--platform=http://{PLATFORM}"),
            ];
            self.workshop.run("ibisctl", &args).await?;
        }
        Ok(())
    }

    fn start_platform(&mut self) -> Result<()> {
        let args = [
            format!("--listen={PLATFORM}"),
            format!("--admin={PLATFORM_ADMIN}"),
        ];
        let process = self.workshop.start("platform", "standin-platform", &args)?;
        self.others.push(process);
        Ok(())
    }

    fn start_fabric(&mut self) -> Result<()> {
        let member = |entry: &Place| format!("{}:{ENTRY_PORT}/{}", entry.ip, entry.admin());
        let members: Vec<String> = self.topology.entries.iter().map(member).collect();
        let args = [format!("--members={}", members.join(","))];
        let process = self.workshop.start("fabric", "standin-fabric", &args)?;
        self.others.push(process);
        Ok(())
    }

    fn start_upstreams(&mut self) -> Result<()> {
        for service in &self.topology.services {
            for upstream in &service.upstreams {
                let name = format!("upstream-{}", upstream.ip);
                let args = upstream_args(service, upstream);
                self.others
                    .push(self.workshop.start(&name, "standin-upstream", &args)?);
            }
        }
        Ok(())
    }

    fn start_entry(&self, index: usize) -> Result<Process> {
        let entry = self.topology.entries[index];
        let files = keys::files(&self.workshop.dir().join("keys"), entry.ip);
        let peers: Vec<String> = self
            .topology
            .entry_ips()
            .iter()
            .map(Ipv4Addr::to_string)
            .collect();
        let name = format!("entry-{}", entry.ip);
        let args = [
            format!("--name={name}"),
            format!("--zone={}", ZONES[entry.zone]),
            format!("--listen={}:{ENTRY_PORT}", entry.ip),
            format!("--admin={}", entry.admin()),
            format!("--peers={}", peers.join(",")),
            format!("--fabric={FABRIC_IP}:5555"),
            format!("--upstream-port={UPSTREAM_PORT}"),
            format!("--platform=http://{PLATFORM}"),
            format!("--ca={}", files.ca.display()),
            format!("--cert={}", files.cert.display()),
            format!("--key={}", files.key.display()),
            format!("--hash-key={HASH_KEY}"),
        ];
        self.workshop.start(&name, "ibis-entry", &args)
    }

    fn start_callers(&mut self) -> Result<()> {
        for service in &self.topology.services {
            let name = format!("caller-{}", service.name);
            let args = caller_args(service);
            let mut process = self.workshop.start(&name, "standin-caller", &args)?;
            if let Some(stdout) = process.stdout() {
                tokio::spawn(self.tally.clone().follow(name, stdout));
            }
            self.callers.push(process);
        }
        Ok(())
    }

    fn sum(&self) -> Sum {
        let upstreams: Vec<Place> = self
            .topology
            .services
            .iter()
            .flat_map(|service| service.upstreams.clone())
            .collect();
        self.tally.sum(|ip| {
            upstreams
                .iter()
                .any(|u| u.ip == ip && self.zones_ever_out.contains(&u.zone))
        })
    }

    fn print_line(&self, start: Instant) {
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

    /// Requests that have run more than once, over all upstreams.
    async fn doubled(&self) -> Result<u64> {
        let mut seen = HashSet::new();
        let mut doubled = 0;
        for service in &self.topology.services {
            for upstream in &service.upstreams {
                let ids = http::call("GET", upstream.admin(), "/executed").await?;
                doubled += ids
                    .lines()
                    .filter(|id| !seen.insert((*id).to_owned()))
                    .count() as u64;
            }
        }
        Ok(doubled)
    }
}

fn upstream_args(service: &Service, upstream: &Place) -> Vec<String> {
    vec![
        format!("--listen={}:{UPSTREAM_PORT}", upstream.ip),
        format!("--admin={}:{ADMIN_PORT}", upstream.ip),
        format!("--fabric={FABRIC_IP}:5556"),
        format!("--service={}", service.address),
    ]
}

fn caller_args(service: &Service) -> Vec<String> {
    vec![
        format!("--listen={}:0", service.caller_ip),
        format!("--fabric={FABRIC_IP}:7000"),
        format!("--service={}", service.address),
        format!("--first-host={}", service.first_host),
        format!("--hosts={}", service.hosts),
        format!("--sessions={}", service.sessions),
        format!("--think-ms={}", service.think_ms),
        format!("--idle-percent={}", service.idle_percent),
        format!("--requests={}", service.requests),
        format!("--ramp-ms={}", service.ramp_ms),
    ]
}

fn admin(addr: &str) -> SocketAddr {
    addr.parse().unwrap_or_else(|e| unreachable!("{addr}: {e}"))
}

async fn wait_ready(entry: &Place) -> Result<()> {
    let admin = entry.admin();
    wait_for(&format!("entry {}", entry.ip), || {
        http::call("GET", admin, "/ready")
    })
    .await
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
