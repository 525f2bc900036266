//! Prints the events of all processes in one order.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use ibis_timeline::{Filter, Line, Source, merge};
use settings::{Reader, Setting};

/// Exit code when a setting is wrong.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Time between looks for new events when following.
const FOLLOW_EVERY: Duration = Duration::from_millis(500);

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

  --json     one JSON object a line
  --follow   go on printing new events; order then holds within half a second";

fn main() -> ExitCode {
    let mut reader = Reader::from_process();
    if reader.wants_help() {
        print!("{}", settings::help(ABOUT, &[FROM, SERVICE, INSTANCE, ZONE]));
        return ExitCode::SUCCESS;
    }
    let json = reader.switch("--json");
    let follow = reader.switch("--follow");
    let from: Vec<SocketAddr> = reader.list(&FROM);
    let mut wanted = |setting| Some(reader.value(setting, String::new())).filter(|s| !s.is_empty());
    let filter =
        Filter { service: wanted(&SERVICE), instance: wanted(&INSTANCE), zone: wanted(&ZONE) };
    if let Err(problems) = reader.finish() {
        eprint!("{problems}");
        return ExitCode::from(EXIT_BAD_SETTINGS);
    }
    let mut sources: Vec<Source> = from.into_iter().map(Source::new).collect();
    loop {
        let complete = print_new(&mut sources, &filter, json);
        if !follow {
            return if complete { ExitCode::SUCCESS } else { ExitCode::FAILURE };
        }
        thread::sleep(FOLLOW_EVERY);
    }
}

/// Prints what is new; returns whether every process answered.
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
