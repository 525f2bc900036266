//! An event and its kinds.

use serde::{Deserialize, Serialize};

use crate::hlc::Stamp;

stdx::value! {
    /// What an event is about.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum Kind {
        /// A process started.
        Started,
        /// An entry became ready to take flows.
        Ready,
        /// A process began an orderly shutdown.
        Leaving,
        /// A process completed an orderly shutdown.
        Stopped,
        /// The homes of flows or the number of entries that may be alive changed.
        ViewChanged,
        /// A document was applied.
        DocumentApplied,
        /// A document was invalid; the last valid one remains in use.
        DocumentRejected,
        /// The platform's service became unreachable.
        PlatformLost,
        /// The platform's service became reachable again.
        PlatformBack,
        /// A connection from another entry was refused.
        PeerRefused,
    }
}

stdx::record! {
    /// An event of one process.
    #[derive(Serialize, Deserialize)]
    pub struct Event {
        /// Hybrid logical clock stamp; orders the events of all processes.
        pub stamp: Stamp,
        /// Number of the event within its process, from 0.
        pub sequence: u64,
        /// Name of the process's instance.
        pub instance: String,
        /// Availability zone of the instance.
        pub zone: String,
        /// What the event is about.
        pub kind: Kind,
        /// The service concerned, if any.
        pub service: Option<String>,
        /// Human-readable details.
        pub detail: String,
    }
}
