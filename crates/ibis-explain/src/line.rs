//! Lines of logs.

use serde::Deserialize;

/// A line that an entry wrote.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Line {
    /// The entry that wrote it.
    #[serde(skip)]
    pub instance: String,
    /// When it was written.
    pub timestamp: String,
    /// When the decision was taken, in Unix microseconds, if the line is about one.
    #[serde(default)]
    pub at: Option<u64>,
    /// What happened.
    pub message: String,
    /// The flow, as client>service.
    #[serde(default)]
    pub flow: Option<String>,
    /// The upstream, as number@address/zone.
    #[serde(default)]
    pub upstream: Option<String>,
    /// The zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// The reason of a refusal.
    #[serde(default)]
    pub reason: Option<String>,
    /// The kind of lines that were left out.
    #[serde(default)]
    pub kind: Option<String>,
    /// The whole line.
    #[serde(skip)]
    pub text: String,
}

/// Reads the lines of one log; what is not a line of an entry is passed over.
///
/// A word before the line names the entry, as where logs of many are collected; `instance` does
/// otherwise.
pub fn read(instance: &str, log: &str) -> Vec<Line> {
    log.lines()
        .filter_map(|text| {
            let (before, json) = text.split_at(text.find('{')?);
            let line: Line = serde_json::from_str(json).ok()?;
            let instance = before.split_whitespace().next_back().unwrap_or(instance).to_owned();
            Some(Line { instance, text: json.to_owned(), ..line })
        })
        .collect()
}
