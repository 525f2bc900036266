//! How answers on one address usually look, so that one that fails is seen for what it is.
//!
//! Answers pass by. What shows is the client's acknowledgements: when the first byte came, and how
//! many there were. An upstream that turns a request away answers too, but with far fewer bytes.

use std::time::Duration;

use crate::latency::LatencyEstimator;

/// Least wait for an answer after which it counts as missing: clients send a packet that was lost
/// again by then, and links lose far fewer than an outlier fails.
const PATIENCE_LEAST: Duration = Duration::from_millis(200);

/// The same at most, and while nothing was measured: clients give up after seconds.
const PATIENCE_MOST: Duration = Duration::from_secs(2);

/// Times its usual bound that an answer may take.
const PATIENCE_TIMES: u32 = 2;

/// Weight of a new sample in the sizes' mean and deviation, as in RFC 6298.
const GAIN: f64 = 1.0 / 16.0;

/// Answers from which on others may be judged.
const SAMPLES_LEAST: u32 = 16;

/// Deviations below the mean, in logarithms, that are still usual: 1 in 700 of a log-normal size.
const DEVIATIONS: f64 = 3.0;

/// Least margin below the mean, in logarithms, for sizes that are all alike: half of the bytes.
const MARGIN_LEAST: f64 = std::f64::consts::LN_2;

/// Bytes that an upstream's close alone acknowledges.
const CLOSE_ONLY: u32 = 1;

/// What is usual for the answers of one address.
#[derive(Debug, Clone, Default)]
pub struct AnswerBaseline {
    first_byte: LatencyEstimator,
    samples: u32,
    ln_mean: f64,
    ln_variance: f64,
}

impl AnswerBaseline {
    /// The wait after which an answer counts as missing.
    pub fn patience(&self) -> Duration {
        if self.samples < SAMPLES_LEAST {
            return PATIENCE_MOST;
        }
        let late = self.first_byte.timeout(Duration::ZERO, PATIENCE_MOST);
        (late * PATIENCE_TIMES).clamp(PATIENCE_LEAST, PATIENCE_MOST)
    }

    /// Takes the time from a request to the first byte of its answer. Returns it in thousandths of
    /// what was usual, if that is known.
    pub fn observe_first_byte(&mut self, took: Duration) -> Option<u32> {
        let mean = self.first_byte.mean().as_secs_f64();
        self.first_byte.observe(took);
        let known = self.samples >= SAMPLES_LEAST && mean > 0.0;
        known.then(|| (took.as_secs_f64() / mean * 1e3) as u32)
    }

    /// Judges the bytes of an answer that has ended, and learns from it unless it is too short.
    pub fn is_short(&mut self, bytes: u32) -> bool {
        if bytes <= CLOSE_ONLY {
            return true;
        }
        let ln = f64::from(bytes).ln();
        let margin = (DEVIATIONS * self.ln_variance.sqrt()).max(MARGIN_LEAST);
        if self.samples >= SAMPLES_LEAST && ln < self.ln_mean - margin {
            return true;
        }
        self.samples = self.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        let off = ln - self.ln_mean;
        self.ln_mean += gain * off;
        self.ln_variance += gain * (off * off * (1.0 - gain) - self.ln_variance);
        false
    }
}
