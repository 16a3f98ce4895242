//! Intervals that hold however often one looks.

use serde::{Deserialize, Serialize};

/// Bets on the size of a difference, as the inverse of a logarithm: for runs
/// whose pairs differ much among themselves, a little, and hardly.
const BETS: [f64; 3] = [1.0, 3.0, 10.0];

/// Largest effect that is looked for, as a logarithm.
const EFFECT_LIMIT: f64 = 4.6;

/// Halvings of the range in the search for the bounds of an interval.
const SEARCH_STEPS: u32 = 13;

/// Bounds of an effect, as differences of logarithms.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EffectInterval {
    /// Least effect that the samples allow.
    pub low: f64,
    /// Mean of the differences.
    pub middle: f64,
    /// Largest effect that the samples allow.
    pub high: f64,
}

impl EffectInterval {
    /// Returns whether "no effect" is ruled out.
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
/// If the arms are alike, each difference `d` is as likely as its negative
/// given all earlier ones, because the order of the arms was drawn anew for
/// the pair. Then the product of `exp(k d) / cosh(k d)` is a martingale for
/// each bet `k`, and so is the mean over several bets. (With the bound
/// `cosh(x) <= exp(x² / 2)` it is the self-normalized process of de la Peña,
/// Klass and Lai, 2004.) By Ville's inequality it ever exceeds `1 / alpha`
/// with a probability of at most `alpha`, so one may look after every pair
/// and stop at will. No moment has to exist, so heavy tails do no harm.
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

    /// Returns the evidence against an effect: how much all bets together
    /// have won.
    fn evidence(&self, effect: f64) -> f64 {
        let win = |bet: f64| -> f64 {
            let stakes = self.differences.iter().map(|known| {
                let gain = bet * (known - effect);
                gain - log_cosh(gain)
            });
            stakes.sum::<f64>().exp()
        };
        let wins: f64 = BETS.iter().map(|bet| win(*bet) + win(-bet)).sum();
        wins / (2 * BETS.len()) as f64
    }

    /// Returns all effects against which the evidence does not exceed
    /// `1 / alpha` now, as an interval.
    pub fn interval(&self, alpha: f64) -> EffectInterval {
        let is_open = |effect: f64| self.evidence(effect) < 1.0 / alpha;
        let middle =
            self.differences.iter().sum::<f64>() / (self.differences.len() as f64).max(1.0);
        let mut low = search(middle, -EFFECT_LIMIT, is_open);
        let mut high = search(middle, EFFECT_LIMIT, is_open);
        if is_open(0.0) {
            // What is not ruled out is never left out.
            low = low.min(0.0);
            high = high.max(0.0);
        }
        EffectInterval { low, middle, high }
    }
}

/// Returns the last effect on the way from `start` to `end` that is open.
fn search(start: f64, end: f64, is_open: impl Fn(f64) -> bool) -> f64 {
    if is_open(end) {
        return end;
    }
    let (mut open, mut closed) = (start, end);
    for _ in 0..SEARCH_STEPS {
        let middle = (open + closed) / 2.0;
        if is_open(middle) {
            open = middle;
        } else {
            closed = middle;
        }
    }
    closed
}

/// Returns the logarithm of the hyperbolic cosine, also of large numbers.
fn log_cosh(number: f64) -> f64 {
    let size = number.abs();
    size + (-2.0 * size).exp().ln_1p() - std::f64::consts::LN_2
}
