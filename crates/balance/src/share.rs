//! The share of an upstream's limit that one entry may use without coordination.

stdx::value! {
    /// Number of entries among which the limits are divided.
    ///
    /// Shares are rounded down, so their sum stays within the limit as long as every entry counts
    /// at least all the entries that open flows.
    pub struct Share {
        /// Entries that may be alive, including this one; at least one.
        pub entries: u32,
    }
}

impl Share {
    /// The share of the only entry.
    pub const SOLE: Self = Self { entries: 1 };

    /// This entry's share of `limit`.
    pub fn of(self, limit: u32) -> u32 {
        limit / self.entries.max(1)
    }
}
