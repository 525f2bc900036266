//! Who exchanges news with whom: relays on rings, and entries that report to a relay.
//!
//! A pure function of the list of entries, so that all agree on it without messages.

use indexmap::IndexMap;
use stdx::hash;

use crate::news::Entry;

/// Entries below which nothing is exchanged: an entry's own counts say enough.
const MIN_ENTRIES: usize = 8;

/// Steps on the ring of a zone at most, enough for 256 relays; steps between zones have the numbers
/// from here on.
pub const FIRST_ZONE_STEP: usize = 8;

/// Steps at most, enough for 16 zones.
pub const MAX_STEPS: usize = 12;

/// Ratio of the relays of two zones up to which sums are made in each zone first.
const MAX_RELAYS_RATIO: usize = 2;

/// Entries that report to a relay, apart from those whose relay has failed.
const LEAVES_PER_RELAY: usize = 2;

/// The place of this entry in the exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Topology {
    /// Number of entries.
    pub entries: usize,
    /// The relays of each zone, in the order of the ring. Sums are made on the ring of each zone
    /// first, so that they need no links between zones, and then on the ring of the zones.
    relays: Vec<Vec<u64>>,
    /// Index of this entry's zone.
    zone: usize,
    /// This entry's part.
    pub role: Role,
}

/// The part that an entry has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Passes on sums: its index on the ring of its zone, and the entries that report to it.
    Relay(usize, Vec<u64>),
    /// Reports to the first of these relays that answers.
    Leaf(Vec<u64>),
}

impl Topology {
    /// The place of the entry `own`; `None` if it is not listed or there are few entries.
    pub fn new(own: u64, entries: &[Entry]) -> Option<Self> {
        if entries.len() < MIN_ENTRIES {
            return None;
        }
        let own_zone = entries.iter().find(|entry| entry.id == own)?.zone;
        let mut zones: IndexMap<u64, Vec<&Entry>> = IndexMap::new();
        for entry in entries {
            zones.entry(entry.zone).or_default().push(entry);
        }
        zones.sort_unstable_by(|one, _, other, _| hash::mix(*one).cmp(&hash::mix(*other)));
        let mut all_relays = Vec::new();
        let mut place = None;
        for (zone, members) in &mut zones {
            members.sort_unstable_by_key(|entry| {
                (std::cmp::Reverse(entry.capacity), hash::mix(entry.id), entry.id)
            });
            let (relays, leaves) = members.split_at(members.len().div_ceil(1 + LEAVES_PER_RELAY));
            let relays: Vec<u64> = relays.iter().map(|relay| relay.id).collect();
            if *zone == own_zone {
                let role = role(own, &relays, leaves)?;
                place = Some((all_relays.len(), role));
            }
            all_relays.push(relays);
        }
        let (mut zone, mut role) = place?;
        let fewest = all_relays.iter().map(Vec::len).min()?;
        let most = all_relays.iter().map(Vec::len).max()?;
        if most > MAX_RELAYS_RATIO * fewest {
            // The few relays of a small zone could not serve all of a large one: one ring for all.
            if let Role::Relay(index, _) = &mut role {
                *index += all_relays[..zone].iter().map(Vec::len).sum::<usize>();
            }
            all_relays = vec![all_relays.concat()];
            zone = 0;
        }
        if let Role::Leaf(candidates) = &mut role {
            // Relays of other zones are the last resort.
            let others = all_relays.iter().flatten().filter(|relay| !candidates.contains(relay));
            let others: Vec<u64> = others.copied().collect();
            candidates.extend(others);
        }
        Some(Self { entries: entries.len(), relays: all_relays, zone, role })
    }

    /// The steps until this entry's sums cover all, in order.
    pub fn steps(&self) -> impl Iterator<Item = usize> + Clone {
        let in_zone = step_count(self.own_ring().len()).min(FIRST_ZONE_STEP);
        let between = step_count(self.relays.len()).min(MAX_STEPS - FIRST_ZONE_STEP);
        (0..in_zone).chain(FIRST_ZONE_STEP..FIRST_ZONE_STEP + between)
    }

    /// Reports of a relay in a round at most, apart from those to entries whose relay has failed.
    pub fn reports_per_round(&self) -> usize {
        let fewest = self.relays.iter().map(Vec::len).min().unwrap_or_default();
        let larger_zones = self.relays.iter().filter(|relays| relays.len() > fewest).count();
        self.steps().count() + LEAVES_PER_RELAY + larger_zones.min(step_count(self.relays.len()))
    }

    /// The relays that get the window of the relay at `index` at a step, and whether the window is
    /// sent without the sender (or, between zones, its zone).
    ///
    /// A step doubles the windows, or, as the size of the ring needs not be a power of two, makes
    /// them one less than double: then it is the sender that both windows have.
    pub fn step(&self, index: usize, step: usize) -> (Vec<u64>, bool) {
        let ring = self.own_ring();
        let Some(zone_step) = step.checked_sub(FIRST_ZONE_STEP) else {
            let (distance, without_own) = step_of(ring.len(), step);
            return (vec![ring[(index + distance) % ring.len()]], without_own);
        };
        let (distance, without_own) = step_of(self.relays.len(), zone_step);
        let others = &self.relays[(self.zone + distance) % self.relays.len()];
        let recipients = others.iter().skip(index).step_by(ring.len());
        (recipients.copied().collect(), without_own)
    }

    /// The entry from which this one takes over rounds: the farthest one before it that reports to
    /// it, so that the first relay of the first zone sets them for all in few steps.
    pub fn pacemaker(&self) -> Option<u64> {
        let before = |ring: usize, index: usize| {
            let mut distances = (0..step_count(ring)).rev().map(|step| step_of(ring, step).0);
            distances.find(|distance| *distance <= index)
        };
        match &self.role {
            Role::Leaf(relays) => relays.first().copied(),
            Role::Relay(0, _) => {
                let distance = before(self.relays.len(), self.zone)?;
                self.relays[self.zone - distance].first().copied()
            }
            Role::Relay(index, _) => {
                let distance = before(self.own_ring().len(), *index)?;
                Some(self.own_ring()[index - distance])
            }
        }
    }

    fn own_ring(&self) -> &[u64] {
        &self.relays[self.zone]
    }
}

/// The part of the entry `own` in a zone; `None` if it is not there.
fn role(own: u64, relays: &[u64], leaves: &[&Entry]) -> Option<Role> {
    let reports_to = |leaf: usize| leaf % relays.len();
    if let Some(index) = relays.iter().position(|relay| *relay == own) {
        let reporters = leaves.iter().enumerate().filter(|(leaf, _)| reports_to(*leaf) == index);
        return Some(Role::Relay(index, reporters.map(|(_, leaf)| leaf.id).collect()));
    }
    let leaf = leaves.iter().position(|leaf| leaf.id == own)?;
    let mut candidates = relays.to_vec();
    candidates.rotate_left(reports_to(leaf));
    Some(Role::Leaf(candidates))
}

/// Number of steps until a window covers a ring.
const fn step_count(ring: usize) -> usize {
    ring.next_power_of_two().trailing_zeros() as usize
}

/// How far a step goes on a ring, and whether its windows are sent without the sender.
const fn step_of(ring: usize, step: usize) -> (usize, bool) {
    let window = ring.div_ceil(1 << (step_count(ring) - step));
    let next = ring.div_ceil(1 << (step_count(ring) - step - 1));
    if next == 2 * window { (window, false) } else { (window - 1, true) }
}
