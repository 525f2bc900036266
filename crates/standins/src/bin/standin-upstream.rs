//! Runs one upstream of a service.

use std::net::{SocketAddr, SocketAddrV4};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::routing::{get, post};
use settings::{Reader, Setting};
use standins::admin;
use standins::upstream::{Settings, SharedState, Upstream};

const LISTEN: Setting = Setting {
    flag: "--listen",
    env: "STANDIN_LISTEN",
    help: "address to which entries send packets",
    default: None,
};
const ADMIN: Setting = Setting {
    flag: "--admin",
    env: "STANDIN_ADMIN",
    help: "address of the admin port",
    default: None,
};
const FABRIC: Setting = Setting {
    flag: "--fabric",
    env: "STANDIN_FABRIC",
    help: "address to which replies are sent",
    default: Some("127.0.1.1:5556"),
};
const SERVICE: Setting = Setting {
    flag: "--service",
    env: "STANDIN_SERVICE",
    help: "address and port of the service",
    default: None,
};
const SLOTS: Setting = Setting {
    flag: "--slots",
    env: "STANDIN_SLOTS",
    help: "maximum number of requests processed at the same time",
    default: Some("2"),
};
const RUN_TIME: Setting = Setting {
    flag: "--run-time-us",
    env: "STANDIN_RUN_TIME_US",
    help: "processing time of a request, in microseconds",
    default: Some("2000"),
};
const DELAY: Setting = Setting {
    flag: "--delay-us",
    env: "STANDIN_DELAY_US",
    help: "one-way delay from entries, in microseconds",
    default: Some("500"),
};
const MAX_CONNECTIONS: Setting = Setting {
    flag: "--max-connections",
    env: "STANDIN_MAX_CONNECTIONS",
    help: "maximum number of open connections",
    default: Some("4000"),
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let mut reader = Reader::from_process();
    let all = [LISTEN, ADMIN, FABRIC, SERVICE, SLOTS, RUN_TIME, DELAY, MAX_CONNECTIONS];
    if reader.wants_help() {
        print!(
            "{}",
            settings::help("standin-upstream: a TCP server with limited concurrency", &all)
        );
        return ExitCode::SUCCESS;
    }
    let unset = SocketAddr::from(([127, 0, 0, 1], 0));
    let admin_addr = reader.value(&ADMIN, unset);
    let cfg = Settings {
        listen: reader.value(&LISTEN, unset),
        fabric: reader.value(&FABRIC, unset),
        service: reader.value(&SERVICE, SocketAddrV4::new([127, 0, 0, 1].into(), 0)),
        slots: reader.value(&SLOTS, 1),
        run_time: Duration::from_micros(reader.value(&RUN_TIME, 0)),
        delay: Duration::from_micros(reader.value(&DELAY, 0)),
        max_connections: reader.value(&MAX_CONNECTIONS, 1),
    };
    if let Err(problems) = reader.finish() {
        eprint!("{problems}");
        return ExitCode::FAILURE;
    }
    let shared = Arc::new(SharedState::default());
    let router = Router::new()
        .route("/executed", get(executed))
        .route("/stats", get(stats))
        .route(
            "/cold",
            post(|State(shared): State<Arc<SharedState>>| async move { shared.start_cold() }),
        )
        .with_state(Arc::clone(&shared));
    if let Err(e) = admin::serve(admin_addr, router).await {
        eprintln!("standin-upstream: {admin_addr}: {e}");
        return ExitCode::FAILURE;
    }
    let result = match Upstream::start(cfg, shared) {
        Ok(upstream) => upstream.run().await,
        Err(e) => Err(e),
    };
    if let Err(e) = result {
        eprintln!("standin-upstream: {}: {e}", cfg.listen);
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Ids of the requests that were started, one line for each execution.
async fn executed(State(shared): State<Arc<SharedState>>) -> String {
    let mut text = String::new();
    for id in shared.executed() {
        text.push_str(&id.to_string());
        text.push('\n');
    }
    text
}

async fn stats(State(shared): State<Arc<SharedState>>) -> axum::Json<serde_json::Value> {
    axum::Json(serde_json::json!({
        "open": shared.open_connections(),
        "foreign": shared.misrouted(),
        "silent_ms": shared.time_since_last_packet().map(|elapsed| elapsed.as_millis() as u64),
    }))
}
