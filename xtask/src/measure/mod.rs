//! Measurements against the stated targets.
//!
//! Each value is printed as `measure NAME VALUE UNIT bound OP LIMIT pass|fail`, or with
//! `bound none` if it has no target.

mod balance;
pub mod path;
mod report;
mod slopes;
mod survival;
mod zone;

use crate::error::{Error, Result};
use report::Report;

/// Runs a group of measurements.
type Measure = fn(&mut Report);

/// All groups by name, in the order in which they run.
const GROUPS: [(&str, Measure); 5] = [
    ("survival", survival::run),
    ("balance", balance::run),
    ("zone", zone::run),
    ("slopes", slopes::run),
    ("path", path::run),
];

/// Runs the group with this name, or all groups.
pub fn run(name: Option<&str>) -> Result<()> {
    let selected: Vec<_> =
        GROUPS.iter().filter(|(group, _)| name.is_none_or(|n| n == *group)).collect();
    if selected.is_empty() {
        let names: Vec<&str> = GROUPS.iter().map(|(name, _)| *name).collect();
        return Err(Error::Usage(format!(
            "unknown measurement, expected one of {}",
            names.join(", ")
        )));
    }
    let mut report = Report::default();
    for (_, measure) in selected {
        measure(&mut report);
    }
    match report.failed() {
        [] => Ok(()),
        failed => Err(Error::Step(format!("bounds not met: {}", failed.join(", ")))),
    }
}
