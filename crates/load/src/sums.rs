//! Loads of upstreams as a sorted list of sparse sums, and their packed form.
//!
//! Packed are, in bits, the distances between codes and the differences of quantized values from
//! their mean, both Rice coded: some 2.3 bytes an upstream if most of 150 have load.

use stdx::hash;

use crate::bits::{BitReader, BitWriter};

/// Bits of an upstream's code. In one fleet of 23 with 150 upstreams two share a code; each of them
/// then seems to have the load of both.
const CODE_BITS: u32 = 18;

/// Maximum records in a report, so that it fits into a datagram. Of more upstreams the least busy
/// count as idle.
const MAX_RECORDS: usize = 400;
const RECORDS_BITS: u32 = 9;

/// Load of code 1; code 0 is none. Codes are four to an octave, up to 724 requests.
const MIN_LOAD: f32 = 1.0 / 64.0;
const LOAD_CODES_PER_OCTAVE: f32 = 4.0;
const LOAD_BITS: u32 = 6;

/// Code of the usual time of service; code 0 is unknown. Codes are six to an octave, from 0.18 to
/// 5.7 times the usual.
const USUAL_SLOWNESS_CODE: f32 = 16.0;
const SLOWNESS_CODES_PER_OCTAVE: f32 = 6.0;
const SLOWNESS_BITS: u32 = 5;

/// Bits of a Rice parameter.
const RICE_BITS: u32 = 5;

/// The load of an upstream, as seen by some entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Code of the upstream.
    pub code: u32,
    /// Requests in flight.
    pub in_flight: f32,
    /// Binary logarithm of the time of service relative to the usual; `None` if unknown.
    pub slowness_log2: Option<f32>,
}

/// Loads in ascending order of codes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sums(Vec<Load>);

/// The code of an upstream, the same at all entries.
pub const fn code_of(upstream: u64) -> u32 {
    (hash::mix(upstream) >> (u64::BITS - CODE_BITS)) as u32
}

impl Sums {
    /// Sums the loads; codes may repeat.
    pub fn new(mut loads: Vec<Load>) -> Self {
        loads.sort_unstable_by_key(|load| load.code);
        loads.dedup_by(|later, kept| {
            let is_same = later.code == kept.code;
            if is_same {
                *kept = kept.joined(later);
            }
            is_same
        });
        Self(loads)
    }

    /// Number of upstreams with load.
    pub const fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is no load at all.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The load of the upstream with a code.
    pub fn get(&self, code: u32) -> Option<&Load> {
        let index = self.0.binary_search_by_key(&code, |load| load.code).ok()?;
        self.0.get(index)
    }

    /// Adds other loads, multiplied by `factor`.
    pub fn add(&mut self, other: &Self, factor: f32) {
        let scaled = |load: &Load| Load { in_flight: load.in_flight * factor, ..*load };
        let mut joined = Vec::with_capacity(self.0.len() + other.0.len());
        let mut own = self.0.iter().peekable();
        for load in &other.0 {
            while let Some(before) = own.next_if(|own| own.code < load.code) {
                joined.push(*before);
            }
            let same = own.next_if(|own| own.code == load.code);
            joined.push(same.map_or_else(|| scaled(load), |own| own.joined(&scaled(load))));
        }
        joined.extend(own);
        self.0 = joined;
    }

    /// The packed form.
    pub fn pack(&self, with_slowness: bool) -> Vec<u8> {
        let (min_in_flight, mut equal) = self.min_packed();
        let is_packed = |load: &&Load| {
            load.in_flight > min_in_flight
                || load.in_flight >= min_in_flight
                    && equal.checked_sub(1).map(|left| equal = left).is_some()
        };
        let mut records: Vec<[u32; 3]> = Vec::with_capacity(self.0.len().min(MAX_RECORDS));
        let mut next_code = 0;
        for load in self.0.iter().filter(is_packed) {
            let (in_flight, slowness) = load.codes();
            let slowness = if with_slowness { slowness } else { 0 };
            if in_flight > 0 || slowness > 0 {
                records.push([load.code - next_code, in_flight, slowness]);
                next_code = load.code + 1;
            }
        }
        let mut bits = BitWriter::new(records.len() * 3);
        bits.write(records.len() as u32, RECORDS_BITS);
        let [mut in_flight, mut slowness] = [LOAD_BITS, SLOWNESS_BITS].map(Deviations::new);
        in_flight.set_mean(records.iter().map(|record| record[1]));
        slowness.set_mean(records.iter().map(|record| record[2]));
        let distance_parameter = rice_parameter(&records.iter().map(|record| record[0]));
        bits.write(distance_parameter, RICE_BITS);
        in_flight.write_head(&mut bits);
        slowness.write_head(&mut bits);
        for record in records {
            bits.write_rice(record[0], distance_parameter);
            in_flight.write(&mut bits, record[1]);
            slowness.write(&mut bits, record[2]);
        }
        bits.into_bytes()
    }

    /// Reads the packed form. Any bytes are valid; what is missing or exceeds the bounds is left
    /// out.
    pub fn unpack(bytes: &[u8]) -> Self {
        let mut bits = BitReader::new(bytes);
        let loads = Self::read(&mut bits).unwrap_or_default();
        Self::new(loads)
    }

    fn read(bits: &mut BitReader<'_>) -> Option<Vec<Load>> {
        let count = (bits.read(RECORDS_BITS)? as usize).min(MAX_RECORDS);
        let distance_parameter = bits.read(RICE_BITS)?;
        let in_flight = Deviations::read_head(bits, LOAD_BITS)?;
        let slowness = Deviations::read_head(bits, SLOWNESS_BITS)?;
        let mut loads = Vec::with_capacity(count);
        let mut code = 0_u32;
        for _ in 0..count {
            let Some(distance) = bits.read_rice(distance_parameter) else {
                break;
            };
            let (Some(in_flight), Some(slowness)) = (in_flight.read(bits), slowness.read(bits))
            else {
                break;
            };
            code = code.saturating_add(distance);
            if code >= 1 << CODE_BITS {
                break;
            }
            loads.push(Load::from_codes(code, in_flight, slowness));
            code = code.saturating_add(1);
        }
        Some(loads)
    }

    /// The least load that is packed, and how many of it are: less than all if there are too many
    /// records.
    fn min_packed(&self) -> (f32, usize) {
        let mut loads: Vec<f32> = self.0.iter().map(|load| load.in_flight).collect();
        loads.sort_unstable_by(|one, other| other.total_cmp(one));
        loads.truncate(MAX_RECORDS);
        let least = loads.last().copied().unwrap_or_default();
        (least, loads.iter().filter(|load| **load <= least).count())
    }
}

impl Load {
    /// The sum of two loads of an upstream. Slowness counts by the load at which it was seen.
    fn joined(&self, other: &Self) -> Self {
        let slowness_log2 = match (self.slowness_log2, other.slowness_log2) {
            (Some(own), Some(theirs)) => {
                let weights = (self.in_flight + MIN_LOAD, other.in_flight + MIN_LOAD);
                Some((own * weights.0 + theirs * weights.1) / (weights.0 + weights.1))
            }
            (own, theirs) => own.or(theirs),
        };
        Self { code: self.code, in_flight: self.in_flight + other.in_flight, slowness_log2 }
    }

    fn codes(&self) -> (u32, u32) {
        let max = |bits: u32| ((1 << bits) - 1) as f32;
        let octaves = (self.in_flight / MIN_LOAD).max(f32::MIN_POSITIVE).log2();
        let in_flight = (1.0 + LOAD_CODES_PER_OCTAVE * octaves).round().clamp(0.0, max(LOAD_BITS));
        let slowness = self.slowness_log2.map_or(0.0, |log2| {
            let code = (USUAL_SLOWNESS_CODE + SLOWNESS_CODES_PER_OCTAVE * log2).round();
            code.clamp(1.0, max(SLOWNESS_BITS))
        });
        (in_flight as u32, slowness as u32)
    }

    fn from_codes(code: u32, in_flight: u32, slowness: u32) -> Self {
        let octaves = (in_flight as f32 - 1.0) / LOAD_CODES_PER_OCTAVE;
        let slowness_log2 = (slowness as f32 - USUAL_SLOWNESS_CODE) / SLOWNESS_CODES_PER_OCTAVE;
        Self {
            code,
            in_flight: if in_flight == 0 { 0.0 } else { MIN_LOAD * octaves.exp2() },
            slowness_log2: (slowness > 0).then_some(slowness_log2),
        }
    }
}

/// Values of some bits, coded as differences from a mean.
struct Deviations {
    value_bits: u32,
    mean: u32,
    parameter: u32,
}

impl Deviations {
    const fn new(value_bits: u32) -> Self {
        Self { value_bits, mean: 0, parameter: 0 }
    }

    fn set_mean(&mut self, values: impl ExactSizeIterator<Item = u32> + Clone) {
        self.mean = values.clone().sum::<u32>() / (values.len() as u32).max(1);
        self.parameter = rice_parameter(&values.map(|value| self.deviation(value)));
    }

    fn write_head(&self, bits: &mut BitWriter) {
        bits.write(self.mean, self.value_bits);
        bits.write(self.parameter, RICE_BITS);
    }

    fn read_head(bits: &mut BitReader<'_>, value_bits: u32) -> Option<Self> {
        Some(Self { value_bits, mean: bits.read(value_bits)?, parameter: bits.read(RICE_BITS)? })
    }

    fn write(&self, bits: &mut BitWriter, value: u32) {
        bits.write_rice(self.deviation(value), self.parameter);
    }

    fn read(&self, bits: &mut BitReader<'_>) -> Option<u32> {
        let deviation = bits.read_rice(self.parameter)?;
        let distance = deviation.div_ceil(2);
        let value = if deviation.is_multiple_of(2) {
            self.mean.saturating_add(distance)
        } else {
            self.mean.saturating_sub(distance)
        };
        Some(value.min((1 << self.value_bits) - 1))
    }

    /// Differences from the mean as 0, -1, 1, -2, ...
    const fn deviation(&self, value: u32) -> u32 {
        let distance = value.abs_diff(self.mean);
        if value >= self.mean { 2 * distance } else { 2 * distance - 1 }
    }
}

/// The Rice parameter that needs the fewest bits.
fn rice_parameter(values: &(impl Iterator<Item = u32> + Clone)) -> u32 {
    let bits = |parameter: u32| -> u32 {
        values.clone().map(|value| 1 + parameter + (value >> parameter)).sum()
    };
    (0..CODE_BITS).min_by_key(|parameter| bits(*parameter)).unwrap_or_default()
}
