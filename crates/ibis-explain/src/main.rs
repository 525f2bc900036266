//! Prints what became of a flow.

use std::path::Path;
use std::process::ExitCode;

use ibis_explain::{Cause, Line, explain, read};
use settings::{Reader, Setting};

/// Exit code when nothing is known of the flow.
const EXIT_UNKNOWN: u8 = 1;

/// Exit code when an argument is wrong.
const EXIT_USAGE: u8 = 2;

const FLOW: Setting = Setting {
    flag: "--flow",
    env: "IBIS_EXPLAIN_FLOW",
    help: "the flow: CLIENT_IP:PORT, or CLIENT_IP:PORT>SERVICE_IP:PORT; all lines in one order without it",
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
    help: "when the request was sent, in Unix seconds; tells more of a flow without lines",
    default: Some(""),
};

const ABOUT: &str = "ibis-explain: what became of a flow, from the logs of all entries

  --json     one JSON object: the cause, and the lines

Exit codes: 0 explained, 1 nothing is known of the flow, 2 wrong usage or a file can't be read";

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
    for file in logs {
        match std::fs::read_to_string(&file) {
            Ok(text) => lines.extend(read(stem(&file), &text)),
            Err(e) => {
                eprintln!("ibis-explain: {file}: {e}");
                return ExitCode::from(EXIT_USAGE);
            }
        }
    }
    if flow.is_empty() {
        print_all(&mut lines);
        return ExitCode::SUCCESS;
    }
    let at = at.first().map(|at| (at * 1e6) as u64);
    let course = explain(&lines, &flow, at);
    if json {
        let lines: Vec<&str> = course.lines.iter().map(|line| line.text.as_str()).collect();
        let cause = course.cause.to_string();
        println!("{}", serde_json::json!({ "flow": flow, "cause": cause, "lines": lines }));
    } else {
        for line in &course.lines {
            println!("{} {}", line.instance, line.text);
        }
        println!("{flow}: {}", course.cause);
    }
    match course.cause {
        Cause::Unknown => ExitCode::from(EXIT_UNKNOWN),
        _ => ExitCode::SUCCESS,
    }
}

/// The lines of all entries in one order: what they did, as one time line.
fn print_all(lines: &mut [Line]) {
    lines.sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
    for line in lines {
        println!("{} {}", line.instance, line.text);
    }
}

fn stem(file: &str) -> &str {
    Path::new(file).file_stem().and_then(|stem| stem.to_str()).unwrap_or(file)
}
