//! Records metrics and shows them as Prometheus' text.
//!
//! Small and without a clock of its own: the usual recorder measures the processor's clock when it
//! starts, which takes an entry with a small share of a core a quarter of a second.

use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexMap;
use metrics::{
    Counter, Gauge, Histogram, HistogramFn, Key, KeyName, Metadata, Recorder, SharedString, Unit,
};

/// Upper bounds of the buckets of times, in seconds: openings take milliseconds, and clients give
/// up after 1.4 s.
const BUCKETS_S: [f64; 10] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0];

/// Everything that was recorded.
#[derive(Debug, Clone, Default)]
pub struct Exposition {
    counters: Shared<AtomicU64>,
    gauges: Shared<AtomicU64>,
    times: Shared<Times>,
}

type Shared<T> = Arc<Mutex<IndexMap<Key, Arc<T>>>>;

#[derive(Debug, Default)]
struct Times {
    buckets: [AtomicU64; BUCKETS_S.len()],
    count: AtomicU64,
    sum_us: AtomicU64,
}

impl HistogramFn for Times {
    fn record(&self, value: f64) {
        for (bucket, bound) in self.buckets.iter().zip(BUCKETS_S) {
            bucket.fetch_add(u64::from(value <= bound), Ordering::Relaxed);
        }
        self.count.fetch_add(1, Ordering::Relaxed);
        self.sum_us.fetch_add((value.max(0.0) * 1e6) as u64, Ordering::Relaxed);
    }
}

impl Recorder for Exposition {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        Counter::from_arc(known(&self.counters, key))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::from_arc(known(&self.gauges, key))
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::from_arc(known(&self.times, key))
    }
}

impl Exposition {
    /// Starts recording for the whole process.
    ///
    /// # Errors
    ///
    /// Returns an error if something records already.
    pub fn install() -> Result<Self, metrics::SetRecorderError<Self>> {
        let exposition = Self::default();
        metrics::set_global_recorder(exposition.clone())?;
        Ok(exposition)
    }

    /// All metrics as text.
    pub fn render(&self) -> String {
        let mut out = String::new();
        for (key, value) in locked(&self.counters).iter() {
            line(&mut out, key, "", None, value.load(Ordering::Relaxed));
        }
        for (key, value) in locked(&self.gauges).iter() {
            line(&mut out, key, "", None, f64::from_bits(value.load(Ordering::Relaxed)));
        }
        for (key, times) in locked(&self.times).iter() {
            for (bucket, bound) in times.buckets.iter().zip(BUCKETS_S) {
                line(
                    &mut out,
                    key,
                    "_bucket",
                    Some(&bound.to_string()),
                    bucket.load(Ordering::Relaxed),
                );
            }
            let count = times.count.load(Ordering::Relaxed);
            line(&mut out, key, "_bucket", Some("+Inf"), count);
            line(&mut out, key, "_count", None, count);
            line(&mut out, key, "_sum", None, times.sum_us.load(Ordering::Relaxed) as f64 / 1e6);
        }
        out
    }
}

fn line(
    out: &mut String,
    key: &Key,
    suffix: &str,
    bound: Option<&str>,
    value: impl std::fmt::Display,
) {
    let labels = key.labels().map(|label| format!("{}=\"{}\"", label.key(), label.value()));
    let bound = bound.map(|bound| format!("le=\"{bound}\""));
    let labels: Vec<String> = labels.chain(bound).collect();
    let labels =
        if labels.is_empty() { String::new() } else { format!("{{{}}}", labels.join(",")) };
    // Writing to a string can't fail.
    let _ = writeln!(out, "{}{suffix}{labels} {value}", key.name());
}

fn known<T: Default>(all: &Shared<T>, key: &Key) -> Arc<T> {
    Arc::clone(locked(all).entry(key.clone()).or_default())
}

fn locked<T>(all: &Shared<T>) -> std::sync::MutexGuard<'_, IndexMap<Key, Arc<T>>> {
    all.lock().unwrap_or_else(PoisonError::into_inner)
}
