//! Durations as operators write them: a whole number and a unit, such as `500ms`, `30s` or `2h`.

use std::time::Duration;

/// Milliseconds in each unit, longest unit name first.
const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Reads a duration; `None` if it is not a whole number with a unit, or too long.
pub fn parse(text: &str) -> Option<Duration> {
    let (unit, millis) = UNITS.iter().find(|(unit, _)| text.ends_with(unit))?;
    let number: u64 = text.strip_suffix(unit)?.parse().ok()?;
    number.checked_mul(*millis).map(Duration::from_millis)
}
