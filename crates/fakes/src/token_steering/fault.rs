//! What can be done to the platform and the entries.

use std::time::Duration;

stdx::value! {
    /// One fault or planned change.
    pub enum Fault {
        /// An upstream dies without a word.
        UpstreamCrashes,
        /// Half of the upstreams answer openings late.
        UpstreamsSlow(Duration),
        /// An upstream takes requests and never answers them; its record says that it is well.
        UpstreamHangs(Duration),
        /// An upstream turns every request away, with a short answer.
        UpstreamShedsLoad(Duration),
        /// An upstream drains, then leaves; another one starts cold.
        UpstreamReplaced,
        /// A zone is cut off from the other zones and the store.
        ZonePartitioned(Duration),
        /// A zone is taken out of service, then back.
        ZoneOut(Duration),
        /// An entry is killed and starts again.
        EntryKilled,
        /// All entries are killed and start again.
        AllEntriesKilled,
        /// All entries are told to stop and start again, one after the other.
        RollingRestart,
        /// An entry stands still.
        EntryPaused(Duration),
        /// The store does not answer; upstreams' records run out meanwhile.
        StoreUnavailable(Duration),
        /// The store refuses one entry.
        StoreRefusesEntry(Duration),
        /// The store drops its history.
        HistoryCompacted,
        /// Every upstream dies without a word, and their records stay.
        AllUpstreamsCrash,
        /// An upstream says that it leaves, and is gone in a moment.
        UpstreamStopsBeforeDrained,
        /// All zones are taken out of service, then back.
        AllZonesOut(Duration),
        /// A new version drops the route; a later one has it again.
        RouteRemoved(Duration),
        /// A new version moves the route to the other service.
        RouteMoved,
    }
}

/// The faults that a service outlives, with times like those of the platform's days.
pub const ALL: [Fault; 15] = [
    Fault::UpstreamCrashes,
    Fault::UpstreamsSlow(Duration::from_secs(4)),
    Fault::UpstreamHangs(Duration::from_secs(5)),
    Fault::UpstreamShedsLoad(Duration::from_secs(5)),
    Fault::UpstreamReplaced,
    Fault::ZonePartitioned(Duration::from_secs(5)),
    Fault::ZoneOut(Duration::from_secs(6)),
    Fault::EntryKilled,
    Fault::AllEntriesKilled,
    Fault::RollingRestart,
    Fault::EntryPaused(Duration::from_secs(3)),
    Fault::StoreUnavailable(Duration::from_secs(5)),
    Fault::StoreRefusesEntry(Duration::from_secs(6)),
    Fault::HistoryCompacted,
    Fault::RouteMoved,
];
