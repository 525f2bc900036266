//! Every check of the project, in the order of their cost.

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

/// Runs all steps, stops at the first that fails, and closes with the number of tests.
pub fn run() -> Result<()> {
    let mut passed = 0;
    for step in STEPS {
        passed += run_step(step)?;
    }
    println!("ci: all steps passed");
    println!("{passed} passed, 0 failed");
    Ok(())
}

/// Runs a step and returns how many tests passed in it.
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

/// The number of tests that a line of the test runner reports as passed.
fn passed_in(line: &str) -> Option<u32> {
    let (_, rest) = line.split_once("test result: ok. ")?;
    rest.split_once(" passed")?.0.parse().ok()
}
