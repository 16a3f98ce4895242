//! Confidence intervals that remain valid under repeated analysis.

use serde::{Deserialize, Serialize};

/// Bets on the size of a difference, as the inverse of a logarithm: for runs with
/// large, moderate and very small variation between their pairs.
const BETS: [f64; 3] = [1.0, 3.0, 10.0];

/// Largest effect in the search range, as a logarithm.
const EFFECT_LIMIT: f64 = 4.6;

/// Bisection steps of the search for each bound of an interval.
const SEARCH_STEPS: u32 = 13;

/// Confidence interval of an effect, as differences of logarithms.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EffectInterval {
    /// Smallest effect that the samples do not rule out.
    pub low: f64,
    /// Mean of the differences.
    pub middle: f64,
    /// Largest effect that the samples do not rule out.
    pub high: f64,
}

impl EffectInterval {
    /// Returns whether the samples rule out that there is no effect.
    pub fn excludes_zero(&self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }

    /// Returns whether the samples bound the effect on both sides.
    pub fn is_bounded(&self) -> bool {
        self.low > -EFFECT_LIMIT && self.high < EFFECT_LIMIT
    }
}

/// Differences between the arms, one for each pair, in the order of time.
///
/// If the arms do not differ, each difference `d` is as likely as its negative
/// given all earlier ones, because the order of the arms was drawn independently
/// for the pair. Then the product of `exp(k d) / cosh(k d)` is a martingale for
/// each bet `k`, and so is the mean over several bets. (With the bound
/// `cosh(x) <= exp(x² / 2)` it is the self-normalized process of de la Peña,
/// Klass and Lai, 2004.) By Ville's inequality it ever exceeds `1 / alpha`
/// with a probability of at most `alpha`, so the samples may be
/// analysed after every pair and the run may be stopped at any time. No moment
/// has to exist, so heavy tails do not invalidate the interval.
#[derive(Clone, Debug, Default)]
pub struct EffectSequence {
    differences: Vec<f64>,
}

impl EffectSequence {
    /// Creates a sequence without differences.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the difference of the next pair.
    pub fn push(&mut self, difference: f64) {
        self.differences.push(difference);
    }

    /// Returns the evidence against an effect: the mean winnings over all bets.
    fn evidence(&self, effect: f64) -> f64 {
        let win = |bet: f64| -> f64 {
            let stakes = self.differences.iter().map(|difference| {
                let gain = bet * (difference - effect);
                gain - log_cosh(gain)
            });
            stakes.sum::<f64>().exp()
        };
        let wins: f64 = BETS.iter().map(|bet| win(*bet) + win(-bet)).sum();
        wins / (2 * BETS.len()) as f64
    }

    /// Returns the interval of all effects against which the evidence is currently
    /// below `1 / alpha`.
    pub fn interval(&self, alpha: f64) -> EffectInterval {
        let is_plausible = |effect: f64| self.evidence(effect) < 1.0 / alpha;
        let middle =
            self.differences.iter().sum::<f64>() / (self.differences.len() as f64).max(1.0);
        let mut low = search(middle, -EFFECT_LIMIT, is_plausible);
        let mut high = search(middle, EFFECT_LIMIT, is_plausible);
        if is_plausible(0.0) {
            // The interval always contains 0 while 0 is not ruled out.
            low = low.min(0.0);
            high = high.max(0.0);
        }
        EffectInterval { low, middle, high }
    }
}

/// Returns the bound between `start` and `end` up to which effects are plausible.
///
/// The result is `end`, or an effect that is just ruled out.
fn search(start: f64, end: f64, is_plausible: impl Fn(f64) -> bool) -> f64 {
    if is_plausible(end) {
        return end;
    }
    let (mut plausible, mut excluded) = (start, end);
    for _ in 0..SEARCH_STEPS {
        let middle = (plausible + excluded) / 2.0;
        if is_plausible(middle) {
            plausible = middle;
        } else {
            excluded = middle;
        }
    }
    excluded
}

/// Returns the logarithm of the hyperbolic cosine, without overflow for large numbers.
fn log_cosh(number: f64) -> f64 {
    let size = number.abs();
    size + (-2.0 * size).exp().ln_1p() - std::f64::consts::LN_2
}
