//! The result of an experiment, and whether it can be trusted.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{ArmSamples, EffectInterval, EffectSequence, ExperimentPlan, PairSamples, UnitKind};

/// Probability with which the main metric may show a difference that is none.
const MAIN_ALPHA: f64 = 0.05;

/// The same for each of the other metrics, which share one such probability.
const OTHER_ALPHA: f64 = 0.05 / 3.0;

/// The same for the check of the split.
const SPLIT_ALPHA: f64 = 0.001;

/// Fewest requests of each arm for a pair to count.
const PAIR_REQUESTS: u64 = 20;

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MetricName {
    /// Latency that 99 of 100 requests keep; the main metric.
    P99,
    /// Latency that half of the requests keep.
    P50,
    /// Latency that 95 of 100 requests keep.
    P95,
    /// Share of requests that got an answer.
    Answered,
}

impl MetricName {
    /// All metrics, the main one first.
    pub const ALL: [Self; 4] = [Self::P99, Self::P50, Self::P95, Self::Answered];

    /// Returns the value of an arm in a pair: milliseconds, or a share.
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

/// One metric in both arms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MetricResult {
    /// What is compared.
    pub metric: MetricName,
    /// Geometric mean of arm A over all pairs that count.
    pub a: f64,
    /// Geometric mean of arm B.
    pub b: f64,
    /// Logarithm of arm B's value over arm A's.
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

/// What the samples say.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "text", rename_all = "kebab-case")]
pub enum TrialVerdict {
    /// The comparison cannot be trusted, for this reason.
    Invalid(String),
    /// There are too few pairs to bound the effect.
    TooFew,
    /// No difference is shown.
    NoDifference,
    /// Arm B is faster.
    Faster,
    /// Arm B is slower.
    Slower,
}

impl fmt::Display for TrialVerdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(reason) => write!(formatter, "not to be trusted: {reason}"),
            Self::TooFew => formatter.write_str("too few samples yet"),
            Self::NoDifference => formatter.write_str("no difference shown"),
            Self::Faster => formatter.write_str("arm b is faster"),
            Self::Slower => formatter.write_str("arm b is slower"),
        }
    }
}

/// The result of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrialReport {
    /// Name of the run.
    pub run: String,
    /// What is assigned.
    pub unit: UnitKind,
    /// What the samples say of the main metric.
    pub verdict: TrialVerdict,
    /// All metrics, the main one first.
    pub metrics: Vec<MetricResult>,
    /// Requests of arm A in pairs that count.
    pub requests_a: u64,
    /// Requests of arm B in pairs that count.
    pub requests_b: u64,
    /// The main metric of each pair that counts.
    pub points: Vec<PairPoint>,
    /// How many pairs were left out, by reason.
    pub left_out: BTreeMap<String, usize>,
}

impl TrialReport {
    /// Judges the pairs of a run, which are in the order of time.
    ///
    /// It may be asked after every pair; the intervals allow for that.
    pub fn new(plan: &ExperimentPlan, pairs: &[PairSamples]) -> Self {
        let mut left_out: BTreeMap<String, usize> = BTreeMap::new();
        let mut counted = Vec::new();
        for pair in pairs {
            match reason_to_leave_out(pair) {
                Some(reason) => *left_out.entry(reason).or_default() += 1,
                None => counted.push(pair),
            }
        }
        let metrics: Vec<MetricResult> = MetricName::ALL
            .iter()
            .map(|metric| compare(*metric, &counted))
            .collect();
        let verdict = find_fault(plan, pairs, &counted)
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

/// Returns why a pair does not count, if it does not.
fn reason_to_leave_out(pair: &PairSamples) -> Option<String> {
    if pair.disturbance.is_some() {
        return pair.disturbance.clone();
    }
    // Requests that arrived are counted, not answers, which depend on the arm.
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

/// Returns why the comparison cannot be trusted, if it cannot.
fn find_fault(
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
        let is_wrong = |pair: &&PairSamples| pair.first_arm != Some(plan.first_arm(pair.pair));
        let wrong = pairs.iter().filter(is_wrong).count();
        return (wrong > 0).then(|| format!("the arms of {wrong} pairs are not as assigned"));
    }
    let mut sequence = EffectSequence::new();
    for pair in counted {
        let (a, b) = (pair.a.requests() as f64, pair.b.requests() as f64);
        sequence.push(b.ln() - a.ln());
    }
    let split = sequence.interval(SPLIT_ALPHA);
    split.excludes_zero().then(|| {
        let ratio = split.middle.exp();
        format!("arm b has {ratio:.3} times the requests of arm a, where both should have as many")
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
