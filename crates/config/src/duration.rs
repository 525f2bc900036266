//! Parses durations written as an integer and a unit, such as `500ms`, `30s` or `2h`.

use std::time::Duration;

/// Units and their lengths; `ms` precedes `s`, since the first matching suffix is used.
const UNITS_MS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Parses a duration; `None` if it is not an integer with a unit, or if it overflows.
pub fn parse(text: &str) -> Option<Duration> {
    let (unit, unit_ms) = UNITS_MS.iter().find(|(unit, _)| text.ends_with(unit))?;
    let count: u64 = text.strip_suffix(unit)?.parse().ok()?;
    count.checked_mul(*unit_ms).map(Duration::from_millis)
}
