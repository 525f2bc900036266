//! Command line program that prints the cause of a flow's failure and the log lines about it.

use std::path::Path;
use std::process::ExitCode;

use ibis_explain::{Cause, Line, explain, parse_log};
use settings::{Reader, Setting};

/// Exit code when the logs don't explain the flow.
const EXIT_UNKNOWN: u8 = 1;

/// Exit code for wrong arguments and unreadable files.
const EXIT_USAGE: u8 = 2;

const FLOW: Setting = Setting {
    flag: "--flow",
    env: "IBIS_EXPLAIN_FLOW",
    help: "the flow: CLIENT_IP:PORT, or CLIENT_IP:PORT>SERVICE_IP:PORT; without it, all lines are printed in order of time",
    default: Some(""),
};
const LOGS: Setting = Setting {
    flag: "--logs",
    env: "IBIS_EXPLAIN_LOGS",
    help: "files with the logs of the entries, separated by commas",
    default: None,
};

const AT: Setting = Setting {
    flag: "--at",
    env: "IBIS_EXPLAIN_AT",
    help: "when the request was sent, in Unix seconds; helps to explain a flow without log lines",
    default: Some(""),
};

const ABOUT: &str = "ibis-explain: why a flow failed, from the logs of all entries

  --json     print one JSON object with the cause and the lines

Exit codes: 0 explained, 1 not explained by the logs, 2 wrong usage or a file can't be read";

fn main() -> ExitCode {
    let mut reader = Reader::from_process();
    if reader.wants_help() {
        print!("{}", settings::help(ABOUT, &[FLOW, LOGS, AT]));
        return ExitCode::SUCCESS;
    }
    let json = reader.switch("--json");
    let flow = reader.value(&FLOW, String::new());
    let logs: Vec<String> = reader.list(&LOGS);
    let at: Vec<f64> = reader.list(&AT);
    if let Err(problems) = reader.finish() {
        eprint!("{problems}");
        return ExitCode::from(EXIT_USAGE);
    }
    let mut lines: Vec<Line> = Vec::new();
    for path in logs {
        match std::fs::read_to_string(&path) {
            Ok(text) => lines.extend(parse_log(file_stem(&path), &text)),
            Err(e) => {
                eprintln!("ibis-explain: {path}: {e}");
                return ExitCode::from(EXIT_USAGE);
            }
        }
    }
    if flow.is_empty() {
        print_all(&mut lines);
        return ExitCode::SUCCESS;
    }
    let at_us = at.first().map(|at| (at * 1e6) as u64);
    let explanation = explain(&lines, &flow, at_us);
    if json {
        let lines: Vec<&str> = explanation.lines.iter().map(|line| line.text.as_str()).collect();
        let cause = explanation.cause.to_string();
        println!("{}", serde_json::json!({ "flow": flow, "cause": cause, "lines": lines }));
    } else {
        for line in &explanation.lines {
            println!("{} {}", line.instance, line.text);
        }
        println!("{flow}: {}", explanation.cause);
    }
    match explanation.cause {
        Cause::Unknown => ExitCode::from(EXIT_UNKNOWN),
        _ => ExitCode::SUCCESS,
    }
}

/// Prints the lines of all entries in order of time.
fn print_all(lines: &mut [Line]) {
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    for line in lines {
        println!("{} {}", line.instance, line.text);
    }
}

fn file_stem(path: &str) -> &str {
    Path::new(path).file_stem().and_then(|stem| stem.to_str()).unwrap_or(path)
}
