//! Tests of the command line program: arguments, exit codes and order of lines.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

const REFUSED: &str = r#"{"timestamp":"2026-01-01T00:00:02Z","message":"opening refused","at":2000000,"flow":"1.2.3.4:5>6.7.8.9:80","reason":"no_route"}"#;
const STARTED: &str = r#"{"timestamp":"2026-01-01T00:00:01Z","message":"started","at":1000000}"#;

/// Writes the logs of two entries and returns their paths, separated by commas.
fn logs(name: &str) -> String {
    let dir: PathBuf = std::env::temp_dir();
    let files = [("one", REFUSED), ("two", STARTED)].map(|(entry, line)| {
        let file = dir.join(format!("ibis-explain-{name}-{}-{entry}.log", std::process::id()));
        fs::write(&file, format!("{line}\n")).unwrap();
        file.display().to_string()
    });
    files.join(",")
}

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ibis-explain")).args(args).output().unwrap()
}

#[test]
fn flow_without_time() {
    let output = run(&["--flow", "1.2.3.4:5", "--logs", &logs("flow")]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.contains("refused: no route"), "{text}");
}

#[test]
fn flow_unknown_with_time() {
    let args = ["--flow", "1.1.1.1:1", "--at", "900", "--logs", &logs("at")];
    assert_eq!(run(&args).status.code(), Some(1));
}

#[test]
fn time_invalid() {
    let output = run(&["--flow", "1.1.1.1:1", "--at", "noon", "--logs", &logs("wrong")]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8(output.stderr).unwrap().contains("noon"));
}

#[test]
fn all_lines_ordered_without_flow() {
    let output = run(&["--logs", &logs("all")]);
    let text = String::from_utf8(output.stdout).unwrap();
    let position = |message: &str| text.find(message).expect(message);
    assert!(position("started") < position("opening refused"), "{text}");
}
