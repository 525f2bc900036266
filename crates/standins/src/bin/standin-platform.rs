//! Runs the in-memory key-value service.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::{Path, State};
use axum::routing::{get, post};
use settings::{Reader, Setting};
use standins::admin;
use standins::platform::faults::Faults;
use standins::platform::server::Server;

const LISTEN: Setting = Setting {
    flag: "--listen",
    env: "STANDIN_LISTEN",
    help: "address of the gRPC port",
    default: Some("127.0.0.1:2379"),
};
const ADMIN: Setting = Setting {
    flag: "--admin",
    env: "STANDIN_ADMIN",
    help: "address of the admin port, which injects faults",
    default: Some("127.0.0.1:2380"),
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let mut reader = Reader::from_process();
    if reader.wants_help() {
        print!("{}", settings::help("standin-platform: a key-value service", &[LISTEN, ADMIN]));
        return ExitCode::SUCCESS;
    }
    let unset = SocketAddr::from(([127, 0, 0, 1], 0));
    let (listen, admin_addr) = (reader.value(&LISTEN, unset), reader.value(&ADMIN, unset));
    if let Err(problems) = reader.finish() {
        eprint!("{problems}");
        return ExitCode::FAILURE;
    }
    let server = Server::default();
    let router = Router::new()
        .route("/down", post(|State(f): State<Arc<Faults>>| async move { f.set_down(true) }))
        .route("/up", post(|State(f): State<Arc<Faults>>| async move { f.set_down(false) }))
        .route("/cut", post(|State(f): State<Arc<Faults>>| async move { f.cut_watches() }))
        .route("/slow/{millis}", post(slow))
        .route("/lose/{count}", post(lose))
        .route("/calls", get(calls))
        .with_state(server.faults());
    if let Err(e) = admin::serve(admin_addr, router).await {
        eprintln!("standin-platform: {admin_addr}: {e}");
        return ExitCode::FAILURE;
    }
    match server.serve(listen).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin-platform: {listen}: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn slow(State(faults): State<Arc<Faults>>, Path(millis): Path<u64>) {
    faults.set_delay(Duration::from_millis(millis));
}

async fn lose(State(faults): State<Arc<Faults>>, Path(count): Path<u32>) {
    faults.lose_replies(count);
}

async fn calls(State(faults): State<Arc<Faults>>) -> String {
    let calls = faults.calls();
    format!("reads={} writes={} watches={}\n", calls.reads, calls.writes, calls.watches)
}
