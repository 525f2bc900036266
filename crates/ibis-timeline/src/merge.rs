//! Filters events and merges them by their hybrid logical clock stamps.

use std::fmt;

use events::{Event, Page};

/// Selects events; a field that is `None` matches every event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// Service that an event is about.
    pub service: Option<String>,
    /// Name of the process that recorded the event.
    pub instance: Option<String>,
    /// Availability zone of that process.
    pub zone: Option<String>,
}

/// A line of the timeline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Line {
    /// An event.
    Event(Event),
    /// Events that were overwritten before they could be fetched.
    Gap {
        /// Address of the process's admin port.
        source: String,
        /// Number of events.
        missed: u64,
    },
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { source, missed } => write!(f, "-- {missed} events of {source} are lost --"),
            Self::Event(event) => {
                let seconds = event.stamp.micros as f64 / 1e6;
                let service = event.service.as_deref().unwrap_or("-");
                write!(
                    f,
                    "{seconds:.6}+{} {} {} {:?} {service} {}",
                    event.stamp.counter, event.zone, event.instance, event.kind, event.detail
                )
            }
        }
    }
}

/// Merges the pages of all sources into one order. Gaps come first.
pub fn merge(pages: &[(String, Page)], filter: &Filter) -> Vec<Line> {
    let gap = |(source, page): &(String, Page)| {
        (page.missed > 0).then(|| Line::Gap { source: source.clone(), missed: page.missed })
    };
    let mut lines: Vec<Line> = pages.iter().filter_map(gap).collect();
    let mut events: Vec<&Event> =
        pages.iter().flat_map(|(_, page)| &page.events).filter(|e| filter.matches(e)).collect();
    events.sort_by(|a, b| {
        (a.stamp, &a.instance, a.sequence).cmp(&(b.stamp, &b.instance, b.sequence))
    });
    lines.extend(events.into_iter().cloned().map(Line::Event));
    lines
}

impl Filter {
    fn matches(&self, event: &Event) -> bool {
        let matches = |expected: &Option<String>, value: &str| {
            expected.as_ref().is_none_or(|expected| expected == value)
        };
        matches(&self.service, event.service.as_deref().unwrap_or_default())
            && matches(&self.instance, &event.instance)
            && matches(&self.zone, &event.zone)
    }
}
