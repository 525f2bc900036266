//! Parses the JSON log lines of entries.

use serde::Deserialize;

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
    /// The whole line as JSON.
    #[serde(skip)]
    pub text: String,
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
