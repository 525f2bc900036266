//! Runs all checks of the project in order of cost.

use std::fs;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use crate::error::{Error, Result};
use crate::repo;

/// Tests that fail because of a known fault; its lines `test NAME` name them.
const KNOWN_RED: &str = "KNOWN-RED.txt";

const STEPS: [&[&str]; 4] = [
    &["fmt", "--all", "--check"],
    &["clippy", "--workspace", "--all-targets", "--quiet", "--", "-D", "warnings"],
    &["test", "--workspace", "--quiet"],
    &["doc", "--workspace", "--no-deps", "--quiet"],
];

/// Runs all steps, stops at the first failure, and prints the number of passed tests. Passes over the
/// tests in [`KNOWN_RED`], and prints them.
pub fn run() -> Result<()> {
    let known_red = fs::read_to_string(repo::root().join(KNOWN_RED)).unwrap_or_default();
    let known_red: Vec<&str> =
        known_red.lines().filter_map(|line| line.strip_prefix("test ")).map(str::trim).collect();
    let mut passed = 0;
    for step in STEPS {
        let mut args = step.to_vec();
        if step.first() == Some(&"test") && !known_red.is_empty() {
            args.extend(["--", "--exact"]);
            args.extend(known_red.iter().flat_map(|name| ["--skip", name]));
        }
        passed += run_step(&args)?;
    }
    println!("ci: all steps passed");
    for name in known_red {
        println!("ci: known red, passed over: {name}");
    }
    println!("{passed} passed, 0 failed");
    Ok(())
}

/// Runs a step and returns the number of tests that passed.
fn run_step(step: &[&str]) -> Result<u32> {
    println!("ci: cargo {}", step.join(" "));
    let mut child = Command::new(env!("CARGO"))
        .args(step)
        .current_dir(repo::root())
        .env("RUSTDOCFLAGS", "-D warnings")
        .stdout(Stdio::piped())
        .spawn()?;
    let mut passed = 0;
    for line in child.stdout.take().into_iter().flat_map(|out| BufReader::new(out).lines()) {
        let line = line?;
        println!("{line}");
        passed += passed_in(&line).unwrap_or_default();
    }
    if !child.wait()?.success() {
        return Err(Error::Step(format!("cargo {}", step.join(" "))));
    }
    Ok(passed)
}

/// The number of passed tests, if `line` is a result line of the test harness.
fn passed_in(line: &str) -> Option<u32> {
    let (_, rest) = line.split_once("test result: ok. ")?;
    rest.split_once(" passed")?.0.parse().ok()
}
