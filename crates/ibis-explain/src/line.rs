//! Parses the JSON log lines of entries.

use serde::Deserialize;

/// Longest time between a client's packet and its arrival at an entry, with the difference of their
/// clocks.
const MAX_PACKET_DELAY_US: u64 = 100_000;

/// A log line of an entry.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Line {
    /// Name of the entry that wrote it.
    #[serde(skip)]
    pub instance: String,
    /// Time of writing, as in the log.
    pub timestamp: String,
    /// Time of the logged event in Unix microseconds, if the line has it.
    #[serde(default)]
    pub at: Option<u64>,
    /// Message text, which identifies the kind of event.
    pub message: String,
    /// The flow, as `client>service`.
    #[serde(default)]
    pub flow: Option<String>,
    /// The upstream, as `id@address/zone`.
    #[serde(default)]
    pub upstream: Option<String>,
    /// Name of the availability zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// Why an opening was refused or an answer counts as failed.
    #[serde(default)]
    pub reason: Option<String>,
    /// For "lines left out": the kind of lines that the rate limit suppressed.
    #[serde(default)]
    pub kind: Option<String>,
    /// For "process was paused": for how many milliseconds, until the time of the event.
    #[serde(default)]
    pub paused_ms: Option<u64>,
    /// The whole line as JSON.
    #[serde(skip)]
    pub text: String,
}

impl Line {
    /// Whether the line reports a process pause during which a packet that was sent at `at`, in Unix
    /// microseconds, may have arrived or been waiting.
    pub fn covers(&self, at: u64) -> bool {
        let pause = self.at.zip(self.paused_ms);
        pause.is_some_and(|(end, paused_ms)| {
            let start = end.saturating_sub(paused_ms * 1_000);
            (start.saturating_sub(MAX_PACKET_DELAY_US)..=end).contains(&at)
        })
    }
}

/// Parses one log; text that is not a log line of an entry is skipped.
///
/// The entry is the last word before the JSON object, as in logs collected from several entries,
/// or `instance` if there is none.
pub fn parse_log(instance: &str, log: &str) -> Vec<Line> {
    log.lines()
        .filter_map(|text| {
            let (prefix, json) = text.split_at(text.find('{')?);
            let line: Line = serde_json::from_str(json).ok()?;
            let instance = prefix.split_whitespace().next_back().unwrap_or(instance).to_owned();
            Some(Line { instance, text: json.to_owned(), ..line })
        })
        .collect()
}
