//! A single event.

use serde::{Deserialize, Serialize};

use crate::hlc::Stamp;

stdx::value! {
    /// What changed.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum Kind {
        /// A process started.
        Started,
        /// An entry takes flows from now on.
        Ready,
        /// A process is stopping as planned.
        Leaving,
        /// A process ended as planned.
        Stopped,
        /// The entries that are homes of flows changed.
        ViewChanged,
        /// A document came into force.
        DocumentApplied,
        /// A document was not valid; the last good one stays in force.
        DocumentRejected,
        /// The platform's service can't be reached.
        PlatformLost,
        /// The platform's service can be reached again.
        PlatformBack,
        /// A peer was refused.
        PeerRefused,
    }
}

stdx::record! {
    /// An event of one process.
    #[derive(Serialize, Deserialize)]
    pub struct Event {
        /// When, over all processes.
        pub stamp: Stamp,
        /// Count of the process's events.
        pub sequence: u64,
        /// The process.
        pub instance: String,
        /// Its availability zone.
        pub zone: String,
        /// What changed.
        pub kind: Kind,
        /// The service it is about, if any.
        pub service: Option<String>,
        /// Details for a reader.
        pub detail: String,
    }
}
