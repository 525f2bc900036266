//! Baseline of answer latencies and sizes per service address, used to detect failed answers.
//!
//! Answers don't pass through the entry. The client's acknowledgements show when the first byte
//! arrived and how many bytes followed. An upstream that rejects a request also answers, but with
//! far fewer bytes.

use std::time::Duration;

use crate::latency::LatencyEstimator;

/// Minimum answer timeout. Clients retransmit a lost packet within this time, and links lose far
/// fewer packets than an outlier fails requests.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum answer timeout, also used until [`MIN_SAMPLES`] answers were observed. Clients give up
/// after some seconds.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Multiple of the estimated timeout that an answer may take.
const ANSWER_TIMEOUT_FACTOR: u32 = 2;

/// EWMA weight of a new sample in the mean and variance of answer sizes, in the manner of RFC 6298.
const SIZE_GAIN: f64 = 1.0 / 16.0;

/// Answers that have to be observed before others are compared with the baseline.
const MIN_SAMPLES: u32 = 16;

/// Standard deviations below the mean logarithm that an answer's size may lie: 1 in 700 answers of
/// log-normal size is smaller.
const SIZE_DEVIATIONS: f64 = 3.0;

/// Minimum margin below the mean logarithm, for sizes that hardly vary: half of the bytes.
const MIN_SIZE_MARGIN_LN: f64 = std::f64::consts::LN_2;

/// Bytes of an answer that rejects a request, at most; half a packet. The first acknowledgement of a
/// large answer covers more.
const MAX_REJECTION_BYTES: u32 = 600;

/// Sequence numbers that a client acknowledges if the upstream sent nothing but its FIN.
const FIN_ONLY_BYTES: u32 = 1;

/// Latency and size of the answers of one service address.
#[derive(Debug, Clone, Default)]
pub struct AnswerBaseline {
    first_byte_latency: LatencyEstimator,
    size_samples: u32,
    size_ln_mean: f64,
    size_ln_variance: f64,
}

impl AnswerBaseline {
    /// The time without a byte of the answer after which a request counts as failed.
    pub fn timeout(&self) -> Duration {
        if self.size_samples < MIN_SAMPLES {
            return MAX_ANSWER_TIMEOUT;
        }
        let timeout = self.first_byte_latency.timeout(Duration::ZERO, MAX_ANSWER_TIMEOUT);
        (timeout * ANSWER_TIMEOUT_FACTOR).clamp(MIN_ANSWER_TIMEOUT, MAX_ANSWER_TIMEOUT)
    }

    /// Adds the latency of an answer's first byte. Returns its ratio to the mean before, in
    /// thousandths, once enough answers were observed.
    pub fn observe_first_byte(&mut self, latency: Duration) -> Option<u32> {
        let mean = self.first_byte_latency.mean().as_secs_f64();
        self.first_byte_latency.observe(latency);
        let has_baseline = self.size_samples >= MIN_SAMPLES && mean > 0.0;
        has_baseline.then(|| (latency.as_secs_f64() / mean * 1e3) as u32)
    }

    /// Whether an answer whose first acknowledgement covers so few bytes may reject the request. It
    /// takes no time to reject one, so its latency says nothing about the upstream's speed.
    pub fn may_be_rejection(&self, first_bytes: u32) -> bool {
        let is_short =
            f64::from(first_bytes.max(1)).ln() < self.size_ln_mean - std::f64::consts::LN_2;
        self.size_samples >= MIN_SAMPLES && is_short && first_bytes <= MAX_REJECTION_BYTES
    }

    /// Returns whether a complete answer of this size is too short; adds the size to the baseline
    /// if not.
    pub fn observe_size(&mut self, bytes: u32) -> bool {
        if bytes <= FIN_ONLY_BYTES {
            return true;
        }
        let size_ln = f64::from(bytes).ln();
        let margin = (SIZE_DEVIATIONS * self.size_ln_variance.sqrt()).max(MIN_SIZE_MARGIN_LN);
        if self.size_samples >= MIN_SAMPLES && size_ln < self.size_ln_mean - margin {
            return true;
        }
        self.size_samples = self.size_samples.saturating_add(1);
        let gain = SIZE_GAIN.max(1.0 / f64::from(self.size_samples));
        let error = size_ln - self.size_ln_mean;
        self.size_ln_mean += gain * error;
        self.size_ln_variance += gain * (error * error * (1.0 - gain) - self.size_ln_variance);
        false
    }
}
