//! A bounded table that makes room by the clock algorithm.

use std::hash::BuildHasherDefault;

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;

use crate::key::Key;

/// Entries looked at to find one that may be evicted.
const EVICTION_SCAN: usize = 32;

/// A map from flows to `V` that never holds more than its bound.
#[derive(Debug, Clone)]
pub struct Table<V> {
    map: IndexMap<Key, V, BuildHasherDefault<SipHasher13>>,
    bound: usize,
    hand: usize,
}

impl<V> Table<V> {
    /// An empty table for at most `bound` flows.
    pub fn new(bound: usize) -> Self {
        Self { map: IndexMap::default(), bound: bound.max(1), hand: 0 }
    }

    /// The value of a flow.
    pub fn get(&self, key: &Key) -> Option<&V> {
        self.map.get(key)
    }

    /// The value of a flow, to be changed.
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

    /// Stores a flow. When the table is full, evicts the flow with the lowest `rank` among the
    /// next few and returns it.
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
        let evicted = if self.map.len() >= self.bound { self.evict(rank) } else { None };
        self.map.insert(key, value);
        evicted
    }

    /// Visits the next `count` flows and removes those that `expired` picks.
    pub fn sweep(&mut self, count: usize, mut expired: impl FnMut(&Key, &mut V) -> bool) {
        for _ in 0..count.min(self.map.len()) {
            if self.hand >= self.map.len() {
                self.hand = 0;
            }
            let Some((key, value)) = self.map.get_index_mut(self.hand) else {
                return;
            };
            if expired(key, value) {
                self.map.swap_remove_index(self.hand);
            } else {
                self.hand += 1;
            }
        }
    }

    fn evict<R: Ord>(&mut self, rank: impl Fn(&V) -> R) -> Option<(Key, V)> {
        let len = self.map.len();
        let victim = (0..EVICTION_SCAN.min(len))
            .map(|step| (self.hand + step) % len)
            .min_by_key(|index| self.map.get_index(*index).map(|(_, value)| rank(value)))?;
        self.hand = victim + 1;
        self.map.swap_remove_index(victim)
    }
}
