//! Linear regression that takes in one observation after the other.

/// Share of what is known that is kept with each observation, so that what
/// was seen an hour ago hardly counts.
const KEPT_SHARE: f64 = 0.9995;

/// A linear regression by recursive least squares, with a prior.
///
/// Each coefficient has a mean and, with all others, a covariance; an
/// observation moves both by Bayes' rule for normal errors.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinearRegression {
    means: Vec<f64>,
    covariance: Vec<Vec<f64>>,
    /// Variances before any observation, which forgetting never passes.
    priors: Vec<f64>,
}

impl LinearRegression {
    /// Adds a coefficient that is expected to be `mean`; returns its place.
    pub(crate) fn add(&mut self, mean: f64, variance: f64) -> usize {
        let place = self.means.len();
        self.means.push(mean);
        self.priors.push(variance);
        for row in &mut self.covariance {
            row.push(0.0);
        }
        let mut row = vec![0.0; place + 1];
        row[place] = variance;
        self.covariance.push(row);
        place
    }

    /// Returns the mean of a coefficient.
    pub(crate) fn mean(&self, place: usize) -> f64 {
        self.means[place]
    }

    /// Returns by how much the variance of a coefficient has shrunk: 0 when
    /// nothing is known of it, towards 1 when it is known well.
    pub(crate) fn certainty(&self, place: usize) -> f64 {
        1.0 - self.covariance[place][place] / self.priors[place]
    }

    /// Returns the sum of the coefficients, each times its feature.
    pub(crate) fn predict(&self, features: &[f64]) -> f64 {
        dot(&self.means, features)
    }

    /// Takes in a sum that was observed with an error of this variance.
    pub(crate) fn observe(&mut self, features: &[f64], observed: f64, variance: f64) {
        self.forget();
        let spread: Vec<f64> = self
            .covariance
            .iter()
            .map(|row| dot(row, features))
            .collect();
        let total = dot(&spread, features) + variance;
        let error = observed - self.predict(features);
        for (mean, spread) in self.means.iter_mut().zip(&spread) {
            *mean += spread / total * error;
        }
        for (row, left) in self.covariance.iter_mut().zip(&spread) {
            for (cell, right) in row.iter_mut().zip(&spread) {
                *cell -= left * right / total;
            }
        }
    }

    /// Lets variances grow, up to what they were at first.
    fn forget(&mut self) {
        let growths: Vec<f64> = (0..self.priors.len())
            .map(|place| {
                let variance = self.covariance[place][place].max(f64::MIN_POSITIVE);
                let limit = (self.priors[place] / variance).sqrt();
                (1.0 / KEPT_SHARE.sqrt()).min(limit)
            })
            .collect();
        for (row, left) in self.covariance.iter_mut().zip(&growths) {
            for (cell, right) in row.iter_mut().zip(&growths) {
                *cell *= left * right;
            }
        }
    }
}

fn dot(left: &[f64], right: &[f64]) -> f64 {
    left.iter()
        .zip(right)
        .map(|(left, right)| left * right)
        .sum()
}
