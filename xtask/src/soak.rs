//! Runs the soak test of the platform's programs, which injects random faults.

use std::process::Command;

use crate::error::{Error, Result};
use crate::repo;

/// Runs the soak test with `seeds`, such as `100..150`, or with those of CI; `is_large` runs it with
/// many processes.
pub fn run(seeds: Option<&str>, is_large: bool) -> Result<()> {
    let mut command = Command::new(env!("CARGO"));
    command
        .args(["test", "--quiet", "--package", "platform", "--test", "soak", "--", "--nocapture"])
        .current_dir(repo::root());
    if let Some(seeds) = seeds {
        command.env("IBIS_SOAK_SEEDS", seeds);
    }
    if is_large {
        command.env("IBIS_SOAK_SCALE", "large");
    }
    if command.status()?.success() { Ok(()) } else { Err(Error::Step("soak test".to_owned())) }
}
