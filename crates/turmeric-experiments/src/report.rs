//! Result of an experiment, and whether the comparison is valid.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{ArmSamples, EffectInterval, EffectSequence, ExperimentPlan, PairSamples, UnitKind};

/// Probability of a false positive of the main metric.
const MAIN_ALPHA: f64 = 0.05;

/// Probability of a false positive of each of the 3 other metrics, which share 0.05.
const OTHER_ALPHA: f64 = 0.05 / 3.0;

/// Probability of a false positive of the check of the split between the arms.
const SPLIT_ALPHA: f64 = 0.001;

/// Minimum number of requests of each arm for a pair to be counted.
const PAIR_REQUESTS: u64 = 20;

/// A metric that is compared between the arms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MetricName {
    /// 99th percentile of the latency; the main metric.
    P99,
    /// Median of the latency.
    P50,
    /// 95th percentile of the latency.
    P95,
    /// Share of requests that were answered.
    Answered,
}

impl MetricName {
    /// All metrics, the main one first.
    pub const ALL: [Self; 4] = [Self::P99, Self::P50, Self::P95, Self::Answered];

    /// Returns the value for an arm in a pair: milliseconds, or a share from 0 to 1.
    fn value(self, samples: &ArmSamples) -> Option<f64> {
        let quantile = match self {
            Self::P99 => 0.99,
            Self::P50 => 0.5,
            Self::P95 => 0.95,
            Self::Answered => return Some(1.0 - samples.failure_share()),
        };
        Some(samples.quantile(quantile)? / 1000.0)
    }

    fn alpha(self) -> f64 {
        match self {
            Self::P99 => MAIN_ALPHA,
            _ => OTHER_ALPHA,
        }
    }
}

impl fmt::Display for MetricName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::P99 => "p99",
            Self::P50 => "p50",
            Self::P95 => "p95",
            Self::Answered => "answered",
        })
    }
}

/// Comparison of one metric between the arms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MetricResult {
    /// The metric.
    pub metric: MetricName,
    /// Geometric mean of arm A over all counted pairs.
    pub a: f64,
    /// Geometric mean of arm B over all counted pairs.
    pub b: f64,
    /// Logarithm of the ratio of arm B's value to arm A's.
    pub effect: EffectInterval,
}

/// The main metric of one pair, for plots.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PairPoint {
    /// Number of the pair.
    pub pair: u64,
    /// Arm A's value in milliseconds.
    pub a: f64,
    /// Arm B's value in milliseconds.
    pub b: f64,
}

/// Verdict on the samples.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "text", rename_all = "kebab-case")]
pub enum TrialVerdict {
    /// The comparison is invalid, for this reason.
    Invalid(String),
    /// There are too few pairs to bound the effect.
    TooFew,
    /// The samples show no significant difference.
    NoDifference,
    /// Arm B is faster.
    Faster,
    /// Arm B is slower.
    Slower,
}

impl fmt::Display for TrialVerdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(reason) => write!(formatter, "invalid comparison: {reason}"),
            Self::TooFew => formatter.write_str("too few samples so far"),
            Self::NoDifference => formatter.write_str("no significant difference"),
            Self::Faster => formatter.write_str("arm b is faster"),
            Self::Slower => formatter.write_str("arm b is slower"),
        }
    }
}

/// The result of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrialReport {
    /// Name of the run of the experiment.
    pub run: String,
    /// Kind of unit that is assigned to an arm.
    pub unit: UnitKind,
    /// Verdict on the main metric.
    pub verdict: TrialVerdict,
    /// All metrics, the main one first.
    pub metrics: Vec<MetricResult>,
    /// Number of requests of arm A in counted pairs.
    pub requests_a: u64,
    /// Number of requests of arm B in counted pairs.
    pub requests_b: u64,
    /// The main metric of each counted pair.
    pub points: Vec<PairPoint>,
    /// Number of excluded pairs, by reason.
    pub left_out: BTreeMap<String, usize>,
}

impl TrialReport {
    /// Analyses the pairs of a run, which are in the order of time.
    ///
    /// It may be called after every pair: the intervals remain valid under repeated
    /// analysis.
    pub fn new(plan: &ExperimentPlan, pairs: &[PairSamples]) -> Self {
        let mut left_out: BTreeMap<String, usize> = BTreeMap::new();
        let mut counted = Vec::new();
        for pair in pairs {
            match exclusion_reason(pair) {
                Some(reason) => *left_out.entry(reason).or_default() += 1,
                None => counted.push(pair),
            }
        }
        let metrics: Vec<MetricResult> = MetricName::ALL
            .iter()
            .map(|metric| compare(*metric, &counted))
            .collect();
        let verdict = find_invalidity(plan, pairs, &counted)
            .map_or_else(|| judge(&metrics[0].effect), TrialVerdict::Invalid);
        Self {
            run: plan.run.clone(),
            unit: plan.unit,
            verdict,
            requests_a: counted.iter().map(|pair| pair.a.requests()).sum(),
            requests_b: counted.iter().map(|pair| pair.b.requests()).sum(),
            points: counted.iter().filter_map(|pair| point_of(pair)).collect(),
            metrics,
            left_out,
        }
    }
}

/// Returns the reason why a pair is excluded, if it is.
fn exclusion_reason(pair: &PairSamples) -> Option<String> {
    if pair.disturbance.is_some() {
        return pair.disturbance.clone();
    }
    // Counts requests and not answers, since the number of answers depends on the arm.
    let fewest = pair.a.requests().min(pair.b.requests());
    (fewest < PAIR_REQUESTS).then(|| "too few requests".to_owned())
}

fn point_of(pair: &PairSamples) -> Option<PairPoint> {
    Some(PairPoint {
        pair: pair.pair.get(),
        a: MetricName::P99.value(&pair.a)?,
        b: MetricName::P99.value(&pair.b)?,
    })
}

fn compare(metric: MetricName, pairs: &[&PairSamples]) -> MetricResult {
    let mut sequence = EffectSequence::new();
    let (mut sum_a, mut sum_b, mut count) = (0.0, 0.0, 0.0);
    for pair in pairs {
        let values = (metric.value(&pair.a), metric.value(&pair.b));
        let (Some(a), Some(b)) = values else { continue };
        let (a, b) = (a.max(f64::MIN_POSITIVE).ln(), b.max(f64::MIN_POSITIVE).ln());
        sequence.push(b - a);
        sum_a += a;
        sum_b += b;
        count += 1.0;
    }
    MetricResult {
        metric,
        a: (sum_a / f64::max(count, 1.0)).exp(),
        b: (sum_b / f64::max(count, 1.0)).exp(),
        effect: sequence.interval(metric.alpha()),
    }
}

/// Returns the reason why the comparison is invalid, if it is.
fn find_invalidity(
    plan: &ExperimentPlan,
    pairs: &[PairSamples],
    counted: &[&PairSamples],
) -> Option<String> {
    if plan.share_percent != 50 {
        return Some(format!(
            "arm b has {}% of the units; a comparison needs 50%",
            plan.share_percent
        ));
    }
    if plan.unit == UnitKind::TimeSlot {
        let is_mismatched = |pair: &&PairSamples| pair.first_arm != Some(plan.first_arm(pair.pair));
        let wrong = pairs.iter().filter(is_mismatched).count();
        return (wrong > 0)
            .then(|| format!("the first arm of {wrong} pairs differs from the assignment"));
    }
    let mut sequence = EffectSequence::new();
    for pair in counted {
        let (a, b) = (pair.a.requests() as f64, pair.b.requests() as f64);
        sequence.push(b.ln() - a.ln());
    }
    let split = sequence.interval(SPLIT_ALPHA);
    split.excludes_zero().then(|| {
        let ratio = split.middle.exp();
        format!("arm b has {ratio:.3} times the requests of arm a; both should have equally many")
    })
}

fn judge(effect: &EffectInterval) -> TrialVerdict {
    if effect.high < 0.0 {
        TrialVerdict::Faster
    } else if effect.low > 0.0 {
        TrialVerdict::Slower
    } else if effect.is_bounded() {
        TrialVerdict::NoDifference
    } else {
        TrialVerdict::TooFew
    }
}
