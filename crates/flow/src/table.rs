//! A bounded flow table with sampled eviction and incremental expiry.

use std::hash::BuildHasherDefault;

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;

use crate::key::Key;

/// Number of flows compared to choose the one to evict.
const EVICTION_SAMPLE_SIZE: usize = 32;

/// A map from flow keys to `V` of bounded size.
#[derive(Debug, Clone)]
pub struct Table<V> {
    map: IndexMap<Key, V, BuildHasherDefault<SipHasher13>>,
    capacity: usize,
    cursor: usize,
}

impl<V> Table<V> {
    /// An empty table for at most `capacity` flows.
    pub fn new(capacity: usize) -> Self {
        Self { map: IndexMap::default(), capacity: capacity.max(1), cursor: 0 }
    }

    /// The value of a flow.
    pub fn get(&self, key: &Key) -> Option<&V> {
        self.map.get(key)
    }

    /// The value of a flow, mutably.
    pub fn get_mut(&mut self, key: &Key) -> Option<&mut V> {
        self.map.get_mut(key)
    }

    /// Removes a flow.
    pub fn remove(&mut self, key: &Key) -> Option<V> {
        self.map.swap_remove(key)
    }

    /// Number of flows.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Whether there are no flows.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// All flows, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &V)> {
        self.map.iter()
    }

    /// Inserts a flow. If the table is full, evicts and returns the flow with the lowest `rank`
    /// among the next few in scan order.
    pub fn insert<R: Ord>(
        &mut self,
        key: Key,
        value: V,
        rank: impl Fn(&V) -> R,
    ) -> Option<(Key, V)> {
        if let Some(slot) = self.map.get_mut(&key) {
            *slot = value;
            return None;
        }
        let evicted = if self.map.len() >= self.capacity { self.evict(rank) } else { None };
        self.map.insert(key, value);
        evicted
    }

    /// Visits the next `count` flows and removes those for which `expired` returns `true`.
    pub fn sweep(&mut self, count: usize, mut expired: impl FnMut(&Key, &mut V) -> bool) {
        for _ in 0..count.min(self.map.len()) {
            if self.cursor >= self.map.len() {
                self.cursor = 0;
            }
            let Some((key, value)) = self.map.get_index_mut(self.cursor) else {
                return;
            };
            if expired(key, value) {
                self.map.swap_remove_index(self.cursor);
            } else {
                self.cursor += 1;
            }
        }
    }

    fn evict<R: Ord>(&mut self, rank: impl Fn(&V) -> R) -> Option<(Key, V)> {
        let len = self.map.len();
        let victim = (0..EVICTION_SAMPLE_SIZE.min(len))
            .map(|step| (self.cursor + step) % len)
            .min_by_key(|index| self.map.get_index(*index).map(|(_, value)| rank(value)))?;
        self.cursor = victim + 1;
        self.map.swap_remove_index(victim)
    }
}
