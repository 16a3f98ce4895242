//! Latencies by size, with a fixed relative error.

use std::collections::BTreeMap;

/// Ratio between two bucket bounds that follow each other.
const BUCKET_RATIO: f64 = 1.02;

/// Counts of latencies by size; a quantile is off by at most 2%.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LatencyHistogram {
    counts: BTreeMap<u32, u64>,
    total: u64,
}

impl LatencyHistogram {
    /// Creates a histogram from buckets and their counts, as returned by
    /// [`LatencyHistogram::buckets`].
    pub fn with_buckets(buckets: impl IntoIterator<Item = (u32, u64)>) -> Self {
        let mut histogram = Self::default();
        for (bucket, count) in buckets {
            histogram.add(bucket, count);
        }
        histogram
    }

    /// Counts a latency.
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

    /// Returns the number of latencies.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns buckets and their counts, in order.
    pub fn buckets(&self) -> impl Iterator<Item = (u32, u64)> + '_ {
        self.counts.iter().map(|(bucket, count)| (*bucket, *count))
    }

    /// Returns the latency in microseconds that this share of all latencies,
    /// from 0 to 1, does not exceed; [`None`] without any.
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
