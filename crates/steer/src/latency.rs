//! How long things usually take, so that a hedge is sent soon but not too soon.

use std::time::Duration;

/// Weight of a new sample in the mean, as in RFC 6298.
const MEAN_GAIN: f64 = 1.0 / 8.0;

/// Weight of a new sample in the deviation, as in RFC 6298.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// Deviations above the mean that are still usual, as in RFC 6298.
const DEVIATIONS: f64 = 4.0;

/// Least margin above the mean, as a part of it: answers that are all alike leave no deviation.
const LEAST_MARGIN: f64 = 0.5;

/// Running estimate of a time, such as that from an opening to its acknowledgement.
#[derive(Debug, Clone, Default)]
pub struct LatencyEstimator {
    mean_s: f64,
    deviation_s: f64,
    samples: u64,
}

impl LatencyEstimator {
    /// Takes a sample.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.samples += 1;
        if self.samples == 1 {
            self.mean_s = took;
            self.deviation_s = took / 2.0;
            return;
        }
        self.deviation_s += DEVIATION_GAIN * ((took - self.mean_s).abs() - self.deviation_s);
        self.mean_s += MEAN_GAIN * (took - self.mean_s);
    }

    /// The wait after which an opening is late, between `least` and `most`; `most` while unknown.
    pub fn timeout(&self, least: Duration, most: Duration) -> Duration {
        if self.samples == 0 {
            return most;
        }
        let margin = (DEVIATIONS * self.deviation_s).max(LEAST_MARGIN * self.mean_s);
        let late = self.mean_s + margin;
        Duration::from_secs_f64(late.max(0.0)).clamp(least, most)
    }

    /// The usual time.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s.max(0.0))
    }
}
