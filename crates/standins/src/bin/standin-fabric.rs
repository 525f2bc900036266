//! The fabric between callers, entries and upstreams.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use axum::Router;
use axum::extract::{Path, State};
use axum::routing::post;
use settings::{Reader, Setting};
use standins::admin;
use standins::fabric::{Fabric, Settings};
use standins::links::{self, Cuts, Link};

const CALLERS: Setting = Setting {
    flag: "--callers",
    env: "STANDIN_CALLERS",
    help: "address that callers send packets to",
    default: Some("127.0.1.1:7000"),
};
const ENTRIES: Setting = Setting {
    flag: "--entries",
    env: "STANDIN_ENTRIES",
    help: "address that entries send packets to",
    default: Some("127.0.1.1:5555"),
};
const REPLIES: Setting = Setting {
    flag: "--replies",
    env: "STANDIN_REPLIES",
    help: "address that upstreams send packets to",
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
    help: "address of the port that cuts zones off",
    default: Some("127.0.1.1:9000"),
};
const CALLER_DELAY: Setting = Setting {
    flag: "--caller-delay-us",
    env: "STANDIN_CALLER_DELAY_US",
    help: "one-way delay to callers in microseconds",
    default: Some("3000"),
};
const REPLY_DELAY: Setting = Setting {
    flag: "--reply-delay-us",
    env: "STANDIN_REPLY_DELAY_US",
    help: "one-way delay from upstreams in microseconds",
    default: Some("500"),
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let mut reader = Reader::from_process();
    let all = [CALLERS, ENTRIES, REPLIES, MEMBERS, LINKS, ADMIN, CALLER_DELAY, REPLY_DELAY];
    if reader.wants_help() {
        print!("{}", settings::help("standin-fabric: sprays packets over the entries", &all));
        return ExitCode::SUCCESS;
    }
    let unset = SocketAddr::from(([127, 0, 0, 1], 0));
    let cuts = Cuts::default();
    let links: Vec<Link> = reader.list(&LINKS);
    let port = reader.value(&ADMIN, unset);
    let cfg = Settings {
        callers: reader.value(&CALLERS, unset),
        entries: reader.value(&ENTRIES, unset),
        replies: reader.value(&REPLIES, unset),
        members: reader.list(&MEMBERS),
        caller_delay: Duration::from_micros(reader.value(&CALLER_DELAY, 0)),
        reply_delay: Duration::from_micros(reader.value(&REPLY_DELAY, 0)),
        cuts: cuts.clone(),
    };
    if let Err(problems) = reader.finish() {
        eprint!("{problems}");
        return ExitCode::FAILURE;
    }
    let router = Router::new()
        .route("/cut/{zone}", post(cut))
        .route("/heal", post(|State(cuts): State<Cuts>| async move { cuts.heal() }))
        .with_state(cuts.clone());
    if let Err(e) = admin::serve(port, router).await {
        eprintln!("standin-fabric: {port}: {e}");
        return ExitCode::FAILURE;
    }
    for link in links {
        tokio::spawn(links::run(link, cuts.clone()));
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

async fn cut(State(cuts): State<Cuts>, Path(zone): Path<u8>) {
    cuts.cut(zone);
}
