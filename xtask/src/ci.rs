//! Every check of the project, in the order of their cost.

use std::process::Command;

use crate::error::{Error, Result};
use crate::repo;

const STEPS: [&[&str]; 4] = [
    &["fmt", "--all", "--check"],
    &["clippy", "--workspace", "--all-targets", "--quiet", "--", "-D", "warnings"],
    &["test", "--workspace", "--quiet"],
    &["doc", "--workspace", "--no-deps", "--quiet"],
];

/// Runs all steps and stops at the first that fails.
pub fn run() -> Result<()> {
    for step in STEPS {
        println!("ci: cargo {}", step.join(" "));
        let status = Command::new(env!("CARGO"))
            .args(step)
            .current_dir(repo::root())
            .env("RUSTDOCFLAGS", "-D warnings")
            .status()?;
        if !status.success() {
            return Err(Error::Step(format!("cargo {}", step.join(" "))));
        }
    }
    println!("ci: all steps passed");
    Ok(())
}
