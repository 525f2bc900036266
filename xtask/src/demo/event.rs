//! Events that the demo triggers under load: restarts, operator actions and faults.

use std::str::FromStr;
use std::time::Duration;

/// The kind of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The next entry in turn stops gracefully and is restarted.
    RestartEntry,
    /// The next entry in turn is killed, and restarted a few seconds later.
    KillEntry,
    /// The next upstream in turn starts to drain.
    DrainUpstream,
    /// The next upstream in turn becomes cold without notice.
    ColdUpstream,
    /// Operators take the last zone out of service.
    ZoneOut,
    /// Operators bring the last zone back into service.
    ZoneBack,
    /// The platform's service stops answering.
    PlatformDown,
    /// The platform's service answers again.
    PlatformUp,
    /// The last zone is partitioned from the others and from the platform.
    CutZone,
    /// The partition of the last zone ends.
    HealZone,
}

/// Names on the command line.
const NAMES: [(&str, Kind); 10] = [
    ("restart-entry", Kind::RestartEntry),
    ("kill-entry", Kind::KillEntry),
    ("drain-upstream", Kind::DrainUpstream),
    ("cold-upstream", Kind::ColdUpstream),
    ("zone-out", Kind::ZoneOut),
    ("zone-back", Kind::ZoneBack),
    ("platform-down", Kind::PlatformDown),
    ("platform-up", Kind::PlatformUp),
    ("cut-zone", Kind::CutZone),
    ("heal-zone", Kind::HealZone),
];

/// An event and when it is triggered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// What is triggered.
    pub kind: Kind,
    /// Time since the start of the load.
    pub at: Duration,
}

impl Kind {
    /// The name on the command line.
    pub fn name(self) -> &'static str {
        NAMES.iter().find(|(_, kind)| *kind == self).map_or("", |(name, _)| name)
    }
}

impl FromStr for Event {
    type Err = String;

    /// Parses `KIND@SECONDS`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, at) = text.split_once('@').ok_or("expected KIND@SECONDS")?;
        let kind = NAMES.iter().find(|(n, _)| *n == name).map(|(_, kind)| *kind);
        let names: Vec<&str> = NAMES.iter().map(|(name, _)| *name).collect();
        let kind = kind.ok_or_else(|| {
            format!("unknown event \"{name}\", expected one of {}", names.join(", "))
        })?;
        let seconds: f64 =
            at.parse().map_err(|_invalid| format!("\"{at}\" is not a time in seconds"))?;
        let at = Duration::try_from_secs_f64(seconds).map_err(|e| e.to_string())?;
        Ok(Self { kind, at })
    }
}
