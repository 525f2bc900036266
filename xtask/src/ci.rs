//! Runs all checks of the project in order of cost.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use crate::error::{Error, Result};
use crate::repo;

const STEPS: [&[&str]; 4] = [
    &["fmt", "--all", "--check"],
    &["clippy", "--workspace", "--all-targets", "--quiet", "--", "-D", "warnings"],
    &["test", "--workspace", "--quiet"],
    &["doc", "--workspace", "--no-deps", "--quiet"],
];

/// Runs all steps, stops at the first failure, and prints the number of passed tests.
pub fn run() -> Result<()> {
    let mut passed = 0;
    for step in STEPS {
        passed += run_step(step)?;
    }
    println!("ci: all steps passed");
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
