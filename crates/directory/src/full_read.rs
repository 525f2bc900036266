//! Progress of a full read of the store, page by page.
//!
//! When all entries start at once, the store and slow links are busy with everybody's pages. A call
//! that times out then must not cost the pages before it, or nobody ever completes.

use std::time::Duration;

use stdx::time::Timestamp;

use crate::record::Revision;

/// Maximum factor by which the timeout grows while pages fail. A longer one would delay the
/// detection that the store is back.
const MAX_TIMEOUT_FACTOR: u32 = 2;

/// Pages read so far, with items of type `T`.
#[derive(Debug, Clone)]
pub struct FullRead<T> {
    items: Vec<T>,
    /// Key of the last item; the next page starts after it.
    last_key: Option<String>,
    /// Start of the first page's call and the store's revision in its response.
    first: Option<(Timestamp, Revision)>,
    failures: u32,
}

/// A completed read. Changes that were acknowledged before `as_of` are in `items`; later ones follow
/// `revision`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteRead<T> {
    /// All items.
    pub items: Vec<T>,
    /// Revision from which to watch for changes. Pages are no snapshot, so it is the first page's.
    pub revision: Revision,
    /// When the first page was requested.
    pub as_of: Timestamp,
}

impl<T> FullRead<T> {
    /// A read without pages.
    pub const fn new() -> Self {
        Self { items: Vec::new(), last_key: None, first: None, failures: 0 }
    }

    /// Key after which the next page starts; `None` for the first page. Pages older than `max_age`
    /// are discarded.
    pub fn next_page(&mut self, now: Timestamp, max_age: Duration) -> Option<&str> {
        if self.first.is_some_and(|(started_at, _)| now.since(started_at) > max_age) {
            *self = Self { failures: self.failures, ..Self::new() };
        }
        self.last_key.as_deref()
    }

    /// Timeout of the next page's call, from that of a call without failures before.
    pub fn timeout(&self, base: Duration) -> Duration {
        base * (1 + self.failures).min(MAX_TIMEOUT_FACTOR)
    }

    /// Whether some pages were read.
    pub fn has_pages(&self) -> bool {
        self.first.is_some()
    }

    /// Records that a page could not be read. The pages before it are kept.
    pub fn on_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Discards all pages.
    pub fn restart(&mut self) {
        *self = Self::new();
    }

    /// Adds a page that was requested at `requested_at`. `last_key` is the key of its last item, and
    /// `None` if it is empty. Returns the complete read after the last page. Pages of an earlier era
    /// than this one's are discarded, and this one as well if it isn't the first; a page of an
    /// earlier era than theirs is discarded.
    pub fn on_page(
        &mut self,
        requested_at: Timestamp,
        items: Vec<T>,
        last_key: Option<String>,
        revision: Revision,
        truncated: bool,
    ) -> Option<CompleteRead<T>> {
        if let Some((_, first)) = self.first.filter(|(_, first)| first.era != revision.era) {
            if first.era < revision.era {
                self.restart();
            }
            return None;
        }
        self.failures = 0;
        let (as_of, revision) = *self.first.get_or_insert((requested_at, revision));
        self.items.extend(items);
        if truncated && last_key.is_some() {
            self.last_key = last_key;
            return None;
        }
        let Self { items, .. } = std::mem::take(self);
        Some(CompleteRead { items, revision, as_of })
    }
}

impl<T> Default for FullRead<T> {
    fn default() -> Self {
        Self::new()
    }
}
