//! Latency estimation after RFC 6298, which sets the delay of hedged requests and answer timeouts.

use std::time::Duration;

/// EWMA weight of a new sample in the mean, as in RFC 6298.
const MEAN_GAIN: f64 = 1.0 / 8.0;

/// EWMA weight of a new sample in the mean deviation, as in RFC 6298.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// Multiple of the mean deviation that is added to the mean, as in RFC 6298.
const DEVIATION_FACTOR: f64 = 4.0;

/// Minimum margin above the mean, as a fraction of it: for identical samples the deviation is zero.
const MIN_MARGIN_RATIO: f64 = 0.5;

/// Running estimate of a latency, such as that from an opening to its acknowledgement.
#[derive(Debug, Clone, Default)]
pub struct LatencyEstimator {
    mean_s: f64,
    deviation_s: f64,
    samples: u64,
}

impl LatencyEstimator {
    /// Adds a sample.
    pub fn observe(&mut self, sample: Duration) {
        let sample_s = sample.as_secs_f64();
        self.samples += 1;
        if self.samples == 1 {
            self.mean_s = sample_s;
            self.deviation_s = sample_s / 2.0;
            return;
        }
        self.deviation_s += DEVIATION_GAIN * ((sample_s - self.mean_s).abs() - self.deviation_s);
        self.mean_s += MEAN_GAIN * (sample_s - self.mean_s);
    }

    /// The mean plus a margin, clamped to `min..=max`; `max` before the first sample.
    pub fn timeout(&self, min: Duration, max: Duration) -> Duration {
        if self.samples == 0 {
            return max;
        }
        let margin = (DEVIATION_FACTOR * self.deviation_s).max(MIN_MARGIN_RATIO * self.mean_s);
        let timeout_s = self.mean_s + margin;
        Duration::from_secs_f64(timeout_s.max(0.0)).clamp(min, max)
    }

    /// The mean latency; zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s.max(0.0))
    }
}
