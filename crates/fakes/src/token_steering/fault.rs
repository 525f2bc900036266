//! Faults and planned changes of the platform and the entries.

use std::time::Duration;

stdx::value! {
    /// One fault or planned change.
    pub enum Fault {
        /// An upstream crashes, and its record is deleted.
        UpstreamCrashes,
        /// Half of the upstreams answer openings with a delay.
        UpstreamsSlow(Duration),
        /// An upstream accepts requests but never answers them, while its record shows it as
        /// usable.
        UpstreamHangs(Duration),
        /// An upstream sheds every request with a short response.
        UpstreamShedsLoad(Duration),
        /// An upstream ends without a word. Its record expires later; in between, an upstream of the
        /// other service takes its address.
        UpstreamGoesDark,
        /// The same of a quarter of the service's upstreams, all at once.
        QuarterGoesDark,
        /// An upstream drains, then stops; a cold one replaces it.
        UpstreamReplaced,
        /// A zone is partitioned from the other zones and the store.
        ZonePartitioned(Duration),
        /// A zone is taken out of service and returned.
        ZoneOut(Duration),
        /// An entry is killed and restarted.
        EntryKilled,
        /// Every second entry is killed and restarted.
        HalfOfEntriesKilled,
        /// All entries are killed and restarted.
        AllEntriesKilled,
        /// All entries are gracefully restarted, one after the other.
        RollingRestart,
        /// An entry's process is paused.
        EntryPaused(Duration),
        /// The store does not answer; the upstreams' leases expire meanwhile.
        StoreUnavailable(Duration),
        /// The store refuses the calls of one entry.
        StoreRefusesEntry(Duration),
        /// The store comes back from a copy that is as old as this.
        StoreStepsBack(Duration),
        /// The store compacts its history.
        HistoryCompacted,
        /// All upstreams crash, and their records stay.
        AllUpstreamsCrash,
        /// An upstream is marked as leaving and stops 100 ms later, before it is drained.
        UpstreamStopsBeforeDrained,
        /// All zones are taken out of service and returned.
        AllZonesOut(Duration),
        /// A configuration removes the route; a later one restores it.
        RouteRemoved(Duration),
        /// A configuration moves the route to the other service.
        RouteMoved,
        /// A class of requests, or all, comes at a multiple of its rate, in thousandths.
        Burst(Option<usize>, u32, Duration),
    }
}

/// The faults that most requests must survive, with durations as they occur on the platform.
pub const ALL: [Fault; 18] = [
    Fault::UpstreamCrashes,
    Fault::UpstreamGoesDark,
    Fault::UpstreamsSlow(Duration::from_secs(4)),
    Fault::UpstreamHangs(Duration::from_secs(5)),
    Fault::UpstreamShedsLoad(Duration::from_secs(5)),
    Fault::UpstreamReplaced,
    Fault::ZonePartitioned(Duration::from_secs(5)),
    Fault::ZoneOut(Duration::from_secs(6)),
    Fault::EntryKilled,
    Fault::HalfOfEntriesKilled,
    Fault::AllEntriesKilled,
    Fault::RollingRestart,
    Fault::EntryPaused(Duration::from_secs(3)),
    Fault::StoreUnavailable(Duration::from_secs(5)),
    Fault::StoreRefusesEntry(Duration::from_secs(6)),
    Fault::StoreStepsBack(Duration::from_secs(4)),
    Fault::HistoryCompacted,
    Fault::RouteMoved,
];
