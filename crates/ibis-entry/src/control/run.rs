//! Starts all parts of an entry and stops them in order after a signal.

use std::io;
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

use ::events::Ring;
use kameo::actor::{ActorRef, Spawn};
use metrics_exporter_prometheus::PrometheusBuilder;
use stdx::time::Clock;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{self, Instant, MissedTickBehavior};

use crate::control::actor::{ControlState, IsIdle, Leave, TICK_INTERVAL, Tick};
use crate::settings::Settings;
use crate::traffic::Command;
use crate::traffic::thread::{self, Handle};
use crate::{admin, peers, platform_watch, tls};

/// Number of events kept for readers of the admin port.
const MAX_RING_EVENTS: usize = 4_096;

/// Minimum time that a stopping entry continues to serve, so that all peers learn that it leaves.
const MIN_LINGER: Duration = Duration::from_secs(1);

/// Interval of checks whether a stopping entry is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An error that prevents an entry's start, or the error of its traffic thread.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum Error {
    /// A socket, thread or signal handler could not be set up, or the traffic thread failed.
    #[display("{_0}")]
    Io(io::Error),
    /// Certificates or keys are unreadable or invalid.
    #[display("{_0}")]
    Tls(tls::Error),
    /// The address of the platform's service is invalid.
    #[display("{_0}")]
    Platform(kv::Error),
    /// The metrics recorder could not be installed.
    #[display("metrics: {_0}")]
    Metrics(metrics_exporter_prometheus::BuildError),
}

/// Runs an entry until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if a part can't be started or the traffic thread has failed.
pub fn run(cfg: &Settings) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(cfg))
}

async fn serve(cfg: &Settings) -> Result<(), Error> {
    let mut signals = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let clock = Clock::start();
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let ring = Arc::new(Mutex::new(Ring::new(&cfg.name, &cfg.zone, MAX_RING_EVENTS)));
    let tls = tls::load_configs(cfg)?;
    let traffic = thread::start(cfg, clock)?;
    let endpoint = peers::bind(cfg, &tls)?;
    let links = peers::Links::start(cfg, &endpoint, &tls);
    let (ready_tx, ready_rx) = tokio::sync::watch::channel(false);
    let state =
        ControlState::new(cfg, clock, Arc::clone(&ring), traffic.commands.clone(), links, ready_tx);
    let actor = ControlState::spawn(state);
    tokio::spawn(send_ticks(actor.clone()));
    tokio::spawn(peers::accept(cfg.peers.clone(), endpoint.clone(), actor.clone()));
    tokio::spawn(platform_watch::run(kv::Client::new(&cfg.platform)?, actor.clone()));
    let commands = traffic.commands.clone();
    let (reports, thread) = into_parts(traffic);
    tokio::spawn(forward_reports(reports, actor.clone()));
    admin::serve(cfg.admin, metrics, ring, ready_rx).await?;
    tracing::info!(name = cfg.name, zone = cfg.zone, listen = %cfg.listen, "started");

    wait_for_signal(&mut signals).await;
    tracing::info!("stopping gracefully");
    let _ = actor.ask(Leave).await;
    tokio::select! {
        () = wait_until_idle(cfg, &actor) => {}
        () = wait_for_signal(&mut signals) => tracing::warn!("second signal received; stopping immediately"),
    }
    stop_traffic(&commands, thread)?;
    endpoint.close(0_u32.into(), b"stopped");
    tracing::info!("stopped");
    Ok(())
}

type Reports = tokio::sync::mpsc::Receiver<crate::traffic::Report>;
type Thread = std::thread::JoinHandle<io::Result<()>>;

fn into_parts(traffic: Handle) -> (Reports, Thread) {
    (traffic.reports, traffic.thread)
}

async fn wait_for_signal(signals: &mut (Signal, Signal)) {
    tokio::select! {
        _ = signals.0.recv() => {}
        _ = signals.1.recv() => {}
    }
}

/// Continues to serve until the fabric sends no more packets, for at most `--linger-ms`.
async fn wait_until_idle(cfg: &Settings, actor: &ActorRef<ControlState>) {
    let start = Instant::now();
    time::sleep(MIN_LINGER.min(cfg.linger)).await;
    while start.elapsed() < cfg.linger {
        if actor.ask(IsIdle).await.unwrap_or(true) {
            return;
        }
        time::sleep(IDLE_CHECK_INTERVAL).await;
    }
}

fn stop_traffic(commands: &mpsc::Sender<Command>, thread: Thread) -> io::Result<()> {
    let _ = commands.send(Command::Stop);
    match thread.join() {
        Ok(result) => result,
        Err(_panic) => Err(io::Error::other("the traffic thread panicked")),
    }
}

async fn send_ticks(actor: ActorRef<ControlState>) {
    let mut interval = time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if actor.tell(Tick).await.is_err() {
            return;
        }
    }
}

async fn forward_reports(mut reports: Reports, actor: ActorRef<ControlState>) {
    while let Some(report) = reports.recv().await {
        if actor.tell(report).await.is_err() {
            return;
        }
    }
}
