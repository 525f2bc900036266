//! Order and choice of events.

use std::fmt;

use events::{Event, Page};

/// Which events are wanted; all that is `None` is not looked at.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// The service that an event is about.
    pub service: Option<String>,
    /// The process.
    pub instance: Option<String>,
    /// The process's availability zone.
    pub zone: Option<String>,
}

/// A line of the time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Line {
    /// An event.
    Event(Event),
    /// Events that were dropped before they could be fetched.
    Gap {
        /// Where they were to be fetched.
        source: String,
        /// How many.
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

/// Puts the pages of all sources into one order, gaps first.
pub fn merge(pages: &[(String, Page)], filter: &Filter) -> Vec<Line> {
    let gap = |(source, page): &(String, Page)| {
        (page.missed > 0).then(|| Line::Gap { source: source.clone(), missed: page.missed })
    };
    let mut lines: Vec<Line> = pages.iter().filter_map(gap).collect();
    let mut events: Vec<&Event> =
        pages.iter().flat_map(|(_, page)| &page.events).filter(|e| filter.takes(e)).collect();
    events.sort_by(|a, b| {
        (a.stamp, &a.instance, a.sequence).cmp(&(b.stamp, &b.instance, b.sequence))
    });
    lines.extend(events.into_iter().cloned().map(Line::Event));
    lines
}

impl Filter {
    fn takes(&self, event: &Event) -> bool {
        let fits = |wanted: &Option<String>, value: &str| {
            wanted.as_ref().is_none_or(|wanted| wanted == value)
        };
        fits(&self.service, event.service.as_deref().unwrap_or_default())
            && fits(&self.instance, &event.instance)
            && fits(&self.zone, &event.zone)
    }
}
