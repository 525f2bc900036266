//! Measurements against the stated targets.
//!
//! Each prints `measure NAME VALUE UNIT bound OP LIMIT pass|fail`, a baseline `bound none`.

mod balance;
pub mod path;
mod report;
mod slopes;
mod survival;
mod zone;

use crate::error::{Error, Result};
use report::Report;

/// A group of measurements.
type Measure = fn(&mut Report);

/// All groups by name.
const ALL: [(&str, Measure); 5] = [
    ("survival", survival::run),
    ("balance", balance::run),
    ("zone", zone::run),
    ("slopes", slopes::run),
    ("path", path::run),
];

/// Runs the measurements whose name is given, or all.
pub fn run(name: Option<&str>) -> Result<()> {
    let chosen: Vec<_> = ALL.iter().filter(|(known, _)| name.is_none_or(|n| n == *known)).collect();
    if chosen.is_empty() {
        let names: Vec<&str> = ALL.iter().map(|(name, _)| *name).collect();
        return Err(Error::Usage(format!("measure one of {}", names.join(", "))));
    }
    let mut report = Report::default();
    for (_, measure) in chosen {
        measure(&mut report);
    }
    match report.failed() {
        [] => Ok(()),
        failed => Err(Error::Step(format!("bounds of {}", failed.join(", ")))),
    }
}
