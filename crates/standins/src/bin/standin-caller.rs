//! Runs callers of one service and prints their statistics once per second.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use settings::{Reader, Setting};
use standins::callers::{Callers, Settings, Stats};
use tokio::signal::unix::{SignalKind, signal};

/// Longest wait for outstanding answers at shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(8);

const LISTEN: Setting = Setting {
    flag: "--listen",
    env: "STANDIN_LISTEN",
    help: "address at which packets are received",
    default: Some("127.3.0.1:0"),
};
const FABRIC: Setting = Setting {
    flag: "--fabric",
    env: "STANDIN_FABRIC",
    help: "address to which packets are sent",
    default: Some("127.0.1.1:7000"),
};
const SERVICE: Setting = Setting {
    flag: "--service",
    env: "STANDIN_SERVICE",
    help: "address and port of the service",
    default: None,
};
const FIRST_HOST: Setting = Setting {
    flag: "--first-host",
    env: "STANDIN_FIRST_HOST",
    help: "IPv4 address of the first caller",
    default: Some("10.3.0.1"),
};
const HOSTS: Setting = Setting {
    flag: "--hosts",
    env: "STANDIN_HOSTS",
    help: "number of callers",
    default: Some("8"),
};
const SESSIONS: Setting = Setting {
    flag: "--sessions",
    env: "STANDIN_SESSIONS",
    help: "number of sessions per caller",
    default: Some("8"),
};
const THINK: Setting = Setting {
    flag: "--think-ms",
    env: "STANDIN_THINK_MS",
    help: "mean time between requests of a session, in milliseconds",
    default: Some("500"),
};
const IDLE: Setting = Setting {
    flag: "--idle-percent",
    env: "STANDIN_IDLE_PERCENT",
    help: "percentage of sessions that stay idle until shutdown",
    default: Some("0"),
};
const REQUESTS: Setting = Setting {
    flag: "--requests",
    env: "STANDIN_REQUESTS",
    help: "number of requests after which a session is closed; 0 for never",
    default: Some("0"),
};
const BODY: Setting = Setting {
    flag: "--body",
    env: "STANDIN_BODY",
    help: "length of an answer's body in bytes",
    default: Some("200"),
};
const RAMP: Setting = Setting {
    flag: "--ramp-ms",
    env: "STANDIN_RAMP_MS",
    help: "time over which the sessions are opened, in milliseconds",
    default: Some("2000"),
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let mut reader = Reader::from_process();
    let all =
        [LISTEN, FABRIC, SERVICE, FIRST_HOST, HOSTS, SESSIONS, THINK, IDLE, REQUESTS, BODY, RAMP];
    if reader.wants_help() {
        print!("{}", settings::help("standin-caller: sessions with verified answers", &all));
        return ExitCode::SUCCESS;
    }
    let unset = SocketAddr::from(([127, 0, 0, 1], 0));
    let cfg = Settings {
        listen: reader.value(&LISTEN, unset),
        fabric: reader.value(&FABRIC, unset),
        service: reader.value(&SERVICE, SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)),
        first_host: reader.value(&FIRST_HOST, Ipv4Addr::LOCALHOST),
        hosts: reader.value(&HOSTS, 1),
        sessions: reader.value(&SESSIONS, 1),
        think_time: Duration::from_millis(reader.value(&THINK, 1)),
        idle_percent: reader.value(&IDLE, 0),
        requests_per_session: Some(reader.value(&REQUESTS, 0)).filter(|requests| *requests > 0),
        body_bytes: reader.value(&BODY, 0),
        ramp_time: Duration::from_millis(reader.value(&RAMP, 0)),
    };
    if let Err(problems) = reader.finish() {
        eprint!("{problems}");
        return ExitCode::FAILURE;
    }
    match run(cfg).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin-caller: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs until SIGTERM, then waits for outstanding answers.
async fn run(cfg: Settings) -> std::io::Result<()> {
    let mut stop = signal(SignalKind::terminate())?;
    let mut callers = Callers::start(cfg)?;
    loop {
        tokio::select! {
            done = callers.run_until(Instant::now() + Duration::from_secs(1)) => done?,
            _ = stop.recv() => break,
        }
        print(callers.stats(), false);
    }
    callers.close();
    let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
    loop {
        callers.run_until(Instant::now() + Duration::from_millis(100)).await?;
        if callers.is_quiescent() || Instant::now() > deadline {
            break;
        }
    }
    print(callers.stats(), true);
    Ok(())
}

fn print(stats: &Stats, last: bool) {
    let broken: serde_json::Map<String, serde_json::Value> =
        stats.broken.iter().map(|(ip, count)| (ip.to_string(), (*count).into())).collect();
    let line = serde_json::json!({
        "last": last,
        "open": stats.open,
        "opened": stats.opened,
        "refused": stats.refused,
        "unanswered": stats.unanswered,
        "ok": stats.ok,
        "wrong": stats.wrong,
        "broken": broken,
        "p50_us": stats.answer_time_us.value_at_quantile(0.5),
        "p99_us": stats.answer_time_us.value_at_quantile(0.99),
        "max_us": stats.answer_time_us.max(),
    });
    println!("{line}");
}
