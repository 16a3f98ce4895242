//! Latency histogram with a bounded relative error.

use std::collections::BTreeMap;

/// Ratio between the bounds of adjacent buckets.
const BUCKET_RATIO: f64 = 1.02;

/// Latency histogram with logarithmic buckets; its quantiles are off by at most 2%.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LatencyHistogram {
    counts: BTreeMap<u32, u64>,
    total: u64,
}

impl LatencyHistogram {
    /// Creates a histogram from bucket numbers and their counts, as returned by
    /// [`LatencyHistogram::buckets`].
    pub fn with_buckets(buckets: impl IntoIterator<Item = (u32, u64)>) -> Self {
        let mut histogram = Self::default();
        for (bucket, count) in buckets {
            histogram.add(bucket, count);
        }
        histogram
    }

    /// Records one latency, in microseconds.
    pub fn record(&mut self, micros: u64) {
        let bucket = (micros.max(1) as f64).ln() / BUCKET_RATIO.ln();
        self.add(bucket as u32, 1);
    }

    fn add(&mut self, bucket: u32, count: u64) {
        *self.counts.entry(bucket).or_default() += count;
        self.total += count;
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, count) in other.buckets() {
            self.add(bucket, count);
        }
    }

    /// Returns the number of recorded latencies.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the numbers of the non-empty buckets and their counts, in ascending order.
    pub fn buckets(&self) -> impl Iterator<Item = (u32, u64)> + '_ {
        self.counts.iter().map(|(bucket, count)| (*bucket, *count))
    }

    /// Returns the quantile at `share` (from 0 to 1), in microseconds.
    ///
    /// Returns [`None`] if the histogram is empty.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        let rank = (share * self.total as f64).ceil().max(1.0) as u64;
        let mut seen = 0;
        for (bucket, count) in &self.counts {
            seen += count;
            if seen >= rank {
                return Some(BUCKET_RATIO.powf(f64::from(*bucket) + 0.5));
            }
        }
        None
    }
}
