//! Runs the fabric between callers, entries and upstreams.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use axum::Router;
use axum::extract::{Path, State};
use axum::routing::post;
use settings::{Reader, Setting};
use standins::admin;
use standins::fabric::{Fabric, Settings};
use standins::links::{self, Link, Partitions};

const CALLERS: Setting = Setting {
    flag: "--callers",
    env: "STANDIN_CALLERS",
    help: "address to which callers send packets",
    default: Some("127.0.1.1:7000"),
};
const ENTRIES: Setting = Setting {
    flag: "--entries",
    env: "STANDIN_ENTRIES",
    help: "address to which entries send packets",
    default: Some("127.0.1.1:5555"),
};
const REPLIES: Setting = Setting {
    flag: "--replies",
    env: "STANDIN_REPLIES",
    help: "address to which upstreams send packets",
    default: Some("127.0.1.1:5556"),
};
const MEMBERS: Setting = Setting {
    flag: "--members",
    env: "STANDIN_MEMBERS",
    help: "entries as PACKETS/ADMIN, separated by commas",
    default: None,
};
const LINKS: Setting = Setting {
    flag: "--links",
    env: "STANDIN_LINKS",
    help: "links to instances as IP:PUBLIC_PORT/PORT, separated by commas",
    default: Some(""),
};
const ADMIN: Setting = Setting {
    flag: "--admin",
    env: "STANDIN_ADMIN",
    help: "address of the admin port, which partitions zones",
    default: Some("127.0.1.1:9000"),
};
const CALLER_DELAY: Setting = Setting {
    flag: "--caller-delay-us",
    env: "STANDIN_CALLER_DELAY_US",
    help: "one-way delay between callers and entries, in microseconds",
    default: Some("3000"),
};
const REPLY_DELAY: Setting = Setting {
    flag: "--reply-delay-us",
    env: "STANDIN_REPLY_DELAY_US",
    help: "one-way delay from upstreams to entries, in microseconds",
    default: Some("500"),
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let mut reader = Reader::from_process();
    let all = [CALLERS, ENTRIES, REPLIES, MEMBERS, LINKS, ADMIN, CALLER_DELAY, REPLY_DELAY];
    if reader.wants_help() {
        print!("{}", settings::help("standin-fabric: forwards packets to healthy entries", &all));
        return ExitCode::SUCCESS;
    }
    let unset = SocketAddr::from(([127, 0, 0, 1], 0));
    let partitions = Partitions::default();
    let links: Vec<Link> = reader.list(&LINKS);
    let admin_addr = reader.value(&ADMIN, unset);
    let cfg = Settings {
        callers: reader.value(&CALLERS, unset),
        entries: reader.value(&ENTRIES, unset),
        replies: reader.value(&REPLIES, unset),
        members: reader.list(&MEMBERS),
        caller_delay: Duration::from_micros(reader.value(&CALLER_DELAY, 0)),
        reply_delay: Duration::from_micros(reader.value(&REPLY_DELAY, 0)),
        partitions: partitions.clone(),
    };
    if let Err(problems) = reader.finish() {
        eprint!("{problems}");
        return ExitCode::FAILURE;
    }
    let router = Router::new()
        .route("/cut/{zone}", post(isolate))
        .route(
            "/heal",
            post(|State(partitions): State<Partitions>| async move { partitions.heal() }),
        )
        .with_state(partitions.clone());
    if let Err(e) = admin::serve(admin_addr, router).await {
        eprintln!("standin-fabric: {admin_addr}: {e}");
        return ExitCode::FAILURE;
    }
    for link in links {
        tokio::spawn(links::run(link, partitions.clone()));
    }
    let result = match Fabric::start(cfg) {
        Ok(fabric) => fabric.run().await,
        Err(e) => Err(e),
    };
    if let Err(e) = result {
        eprintln!("standin-fabric: {e}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

async fn isolate(State(partitions): State<Partitions>, Path(zone): Path<u8>) {
    partitions.isolate(zone);
}
