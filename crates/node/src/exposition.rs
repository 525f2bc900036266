//! Records metrics and renders them in the Prometheus text format.
//!
//! The usual recorder calibrates the processor's clock when it starts, which takes 250 ms on an
//! entry with a small share of a core. This one needs no clock.

use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexMap;
use metrics::{
    Counter, Gauge, Histogram, HistogramFn, Key, KeyName, Metadata, Recorder, SharedString, Unit,
};

/// Upper bounds of the histogram buckets, in seconds: openings take milliseconds, and clients give
/// up after 1.4 s.
const BUCKETS_S: [f64; 10] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0];

/// All recorded metrics.
#[derive(Debug, Clone, Default)]
pub struct Exposition {
    counters: Shared<AtomicU64>,
    gauges: Shared<AtomicU64>,
    histograms: Shared<TimeHistogram>,
}

type Shared<T> = Arc<Mutex<IndexMap<Key, Arc<T>>>>;

#[derive(Debug, Default)]
struct TimeHistogram {
    buckets: [AtomicU64; BUCKETS_S.len()],
    count: AtomicU64,
    sum_us: AtomicU64,
}

impl HistogramFn for TimeHistogram {
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
        Counter::from_arc(get_or_register(&self.counters, key))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::from_arc(get_or_register(&self.gauges, key))
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::from_arc(get_or_register(&self.histograms, key))
    }
}

impl Exposition {
    /// Installs a recorder for the whole process.
    ///
    /// # Errors
    ///
    /// Returns an error if a recorder is already installed.
    pub fn install() -> Result<Self, metrics::SetRecorderError<Self>> {
        let exposition = Self::default();
        metrics::set_global_recorder(exposition.clone())?;
        Ok(exposition)
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut out = String::new();
        for (key, value) in lock(&self.counters).iter() {
            write_line(&mut out, key, "", None, value.load(Ordering::Relaxed));
        }
        for (key, value) in lock(&self.gauges).iter() {
            write_line(&mut out, key, "", None, f64::from_bits(value.load(Ordering::Relaxed)));
        }
        for (key, histogram) in lock(&self.histograms).iter() {
            for (bucket, bound) in histogram.buckets.iter().zip(BUCKETS_S) {
                write_line(
                    &mut out,
                    key,
                    "_bucket",
                    Some(&bound.to_string()),
                    bucket.load(Ordering::Relaxed),
                );
            }
            let count = histogram.count.load(Ordering::Relaxed);
            write_line(&mut out, key, "_bucket", Some("+Inf"), count);
            write_line(&mut out, key, "_count", None, count);
            write_line(
                &mut out,
                key,
                "_sum",
                None,
                histogram.sum_us.load(Ordering::Relaxed) as f64 / 1e6,
            );
        }
        out
    }
}

fn write_line(
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
    // Writing to a string never fails.
    let _ = writeln!(out, "{}{suffix}{labels} {value}", key.name());
}

fn get_or_register<T: Default>(metrics: &Shared<T>, key: &Key) -> Arc<T> {
    Arc::clone(lock(metrics).entry(key.clone()).or_default())
}

fn lock<T>(metrics: &Shared<T>) -> std::sync::MutexGuard<'_, IndexMap<Key, Arc<T>>> {
    metrics.lock().unwrap_or_else(PoisonError::into_inner)
}
