//! The events that can be asked for.

use std::str::FromStr;
use std::time::Duration;

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The next entry stops gracefully and starts again.
    RestartEntry,
    /// The next entry is killed and starts again a little later.
    KillEntry,
    /// The next upstream drains.
    DrainUpstream,
    /// The next upstream turns cold without warning.
    ColdUpstream,
    /// Operators take the last zone out.
    ZoneOut,
    /// Operators bring the last zone back.
    ZoneBack,
    /// The platform's service stops answering.
    PlatformDown,
    /// The platform's service answers again.
    PlatformUp,
    /// The last zone is cut off from the others and the platform.
    CutZone,
    /// The last zone is connected again.
    HealZone,
}

/// All names.
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

/// An event and its time from the start of the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// What happens.
    pub kind: Kind,
    /// When.
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

    /// Reads `KIND@SECONDS`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, at) = text.split_once('@').ok_or("expected KIND@SECONDS")?;
        let kind = NAMES.iter().find(|(known, _)| *known == name).map(|(_, kind)| *kind);
        let names: Vec<&str> = NAMES.iter().map(|(name, _)| *name).collect();
        let kind = kind.ok_or_else(|| format!("\"{name}\" is none of {}", names.join(", ")))?;
        let seconds: f64 =
            at.parse().map_err(|_invalid| format!("\"{at}\" is not a time in seconds"))?;
        let at = Duration::try_from_secs_f64(seconds).map_err(|e| e.to_string())?;
        Ok(Self { kind, at })
    }
}
