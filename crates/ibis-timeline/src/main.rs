//! Command line program that prints the merged events of all processes.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use ibis_timeline::{Filter, Line, Source, merge};
use settings::{Reader, Setting};

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Time between fetches with `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

const FROM: Setting = Setting {
    flag: "--from",
    env: "IBIS_TIMELINE_FROM",
    help: "admin ports of the processes as HOST:PORT, separated by commas",
    default: None,
};
const SERVICE: Setting = Setting {
    flag: "--service",
    env: "IBIS_TIMELINE_SERVICE",
    help: "only events about this service",
    default: Some(""),
};
const INSTANCE: Setting = Setting {
    flag: "--instance",
    env: "IBIS_TIMELINE_INSTANCE",
    help: "only events of this process",
    default: Some(""),
};
const ZONE: Setting = Setting {
    flag: "--zone",
    env: "IBIS_TIMELINE_ZONE",
    help: "only events of this availability zone",
    default: Some(""),
};

const ABOUT: &str = "ibis-timeline: the events of all processes in one order

  --json     print one JSON object per line
  --follow   keep printing new events, fetched every 500 ms and ordered within each fetch";

fn main() -> ExitCode {
    let mut reader = Reader::from_process();
    if reader.wants_help() {
        print!("{}", settings::help(ABOUT, &[FROM, SERVICE, INSTANCE, ZONE]));
        return ExitCode::SUCCESS;
    }
    let json = reader.switch("--json");
    let follow = reader.switch("--follow");
    let from: Vec<SocketAddr> = reader.list(&FROM);
    let mut optional =
        |setting| Some(reader.value(setting, String::new())).filter(|s| !s.is_empty());
    let filter = Filter {
        service: optional(&SERVICE),
        instance: optional(&INSTANCE),
        zone: optional(&ZONE),
    };
    if let Err(problems) = reader.finish() {
        eprint!("{problems}");
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    }
    let mut sources: Vec<Source> = from.into_iter().map(Source::new).collect();
    loop {
        let complete = print_new(&mut sources, &filter, json);
        if !follow {
            return if complete { ExitCode::SUCCESS } else { ExitCode::FAILURE };
        }
        thread::sleep(FOLLOW_INTERVAL);
    }
}

/// Prints events recorded since the last call; returns whether every process answered.
fn print_new(sources: &mut [Source], filter: &Filter, json: bool) -> bool {
    let mut pages = Vec::new();
    let mut complete = true;
    for source in sources {
        match source.fetch() {
            Ok(page) => pages.push(page),
            Err(e) => {
                eprintln!("ibis-timeline: {e}");
                complete = false;
            }
        }
    }
    for line in merge(&pages, filter) {
        match (&line, json) {
            (Line::Event(event), true) => println!("{}", serde_json::json!(event)),
            (Line::Gap { source, missed }, true) => {
                println!("{}", serde_json::json!({ "gap": source, "missed": missed }));
            }
            (_, false) => println!("{line}"),
        }
    }
    complete
}
