//! Messages between entries.

stdx::value! {
    /// An entry that takes part in the exchange.
    pub struct Entry {
        /// Identifies the entry, such as its address and port as a number.
        pub id: u64,
        /// A number for its zone.
        pub zone: u64,
        /// Capacity of its link in Mbit/s; 0 if unknown. Entries with the most relay for others.
        pub capacity: u32,
    }

    /// What a report covers.
    pub enum Scope {
        /// The sender alone.
        Own,
        /// The sender and relays before it on the ring of its zone, each with the entries that report
        /// to it, or its zone and zones before it. The number is that of the step.
        Window(u8),
        /// All entries.
        Fleet,
    }
}

stdx::record! {
    /// Loads of upstreams as seen by some entries.
    pub struct Report {
        /// What it covers.
        pub scope: Scope,
        /// Number of entries whose parts are in the sums.
        pub entries: u32,
        /// Mean age of the parts when it was sent, by the entries that each covers, in milliseconds.
        pub age_ms: u32,
        /// The sender's clock, in milliseconds, modulo 2^32.
        pub sent_ms: u32,
        /// Time since the sender's round began, in milliseconds.
        pub round_ms: u32,
        /// Time of the sender's rounds, in milliseconds.
        pub round_time_ms: u32,
        /// Sums by upstream, packed by this crate.
        pub loads: Vec<u8>,
    }

    /// A report for another entry.
    pub struct News {
        /// The recipient's [`Entry::id`].
        pub to: u64,
        /// The report.
        pub report: Report,
    }
}
