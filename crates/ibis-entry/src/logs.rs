//! Structured logging. State changes are logged; frequent events such as packets are counted in
//! metrics instead.

use std::str::FromStr;

use tracing_subscriber::EnvFilter;

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// One line of text per event.
    Text,
    /// One JSON object per event.
    Json,
}

impl FromStr for Format {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("expected text or json"),
        }
    }
}

/// Starts logging to standard error. An invalid filter is replaced by `info`.
pub fn start(format: Format, filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_invalid| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match format {
        Format::Text => builder.with_ansi(false).init(),
        Format::Json => builder.json().init(),
    }
}
