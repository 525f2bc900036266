//! The part of an upstream's limit that one entry may use on its own.

stdx::value! {
    /// How many entries may be opening flows at the same time.
    ///
    /// Shares err low: the sum over entries stays within the limit as long as every entry counts
    /// at least the entries that really open flows.
    pub struct Share {
        /// Entries that may be alive, this one included; at least one.
        pub entries: u32,
    }
}

impl Share {
    /// The share of the only entry.
    pub const SOLE: Self = Self { entries: 1 };

    /// The part of `limit` that this entry may use.
    pub fn of(self, limit: u32) -> u32 {
        limit / self.entries.max(1)
    }
}
