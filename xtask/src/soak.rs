//! The fault soak of the platform's programs.

use std::process::Command;

use crate::error::{Error, Result};
use crate::repo;

/// Plays the courses of `seeds`, such as `100..150`, or those that CI plays.
pub fn run(seeds: Option<&str>) -> Result<()> {
    let mut command = Command::new(env!("CARGO"));
    command
        .args(["test", "--quiet", "--package", "platform", "--test", "soak", "--", "--nocapture"])
        .current_dir(repo::root());
    if let Some(seeds) = seeds {
        command.env("IBIS_SOAK_SEEDS", seeds);
    }
    if command.status()?.success() { Ok(()) } else { Err(Error::Step("the soak".to_owned())) }
}
