//! Linear regression that is updated with one observation at a time.

/// Weight that earlier observations keep with each new one, so that an observation
/// of an hour ago hardly counts.
const FORGETTING_FACTOR: f64 = 0.9995;

/// A linear regression by recursive least squares, with a prior.
///
/// Each coefficient has a mean and, with all others, a covariance; an
/// observation updates both by Bayes' rule for normal errors.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinearRegression {
    means: Vec<f64>,
    covariance: Vec<Vec<f64>>,
    /// Variances before any observation, which are upper limits when forgetting.
    priors: Vec<f64>,
}

impl LinearRegression {
    /// Adds a coefficient that is expected to be `mean`; returns its index.
    pub(crate) fn add(&mut self, mean: f64, variance: f64) -> usize {
        let index = self.means.len();
        self.means.push(mean);
        self.priors.push(variance);
        for row in &mut self.covariance {
            row.push(0.0);
        }
        let mut row = vec![0.0; index + 1];
        row[index] = variance;
        self.covariance.push(row);
        index
    }

    /// Returns the mean of a coefficient.
    pub(crate) fn mean(&self, index: usize) -> f64 {
        self.means[index]
    }

    /// Returns the share by which the variance of a coefficient has shrunk.
    ///
    /// It is 0 when nothing is known of the coefficient and approaches 1 when it
    /// is known well.
    pub(crate) fn certainty(&self, index: usize) -> f64 {
        1.0 - self.covariance[index][index] / self.priors[index]
    }

    /// Returns the sum of the coefficients, each times its feature.
    pub(crate) fn predict(&self, features: &[f64]) -> f64 {
        dot(&self.means, features)
    }

    /// Adds an observed sum whose error has this variance.
    pub(crate) fn observe(&mut self, features: &[f64], observed: f64, variance: f64) {
        self.forget();
        let gains: Vec<f64> = self
            .covariance
            .iter()
            .map(|row| dot(row, features))
            .collect();
        let total_variance = dot(&gains, features) + variance;
        let error = observed - self.predict(features);
        for (mean, gain) in self.means.iter_mut().zip(&gains) {
            *mean += gain / total_variance * error;
        }
        for (row, left) in self.covariance.iter_mut().zip(&gains) {
            for (cell, right) in row.iter_mut().zip(&gains) {
                *cell -= left * right / total_variance;
            }
        }
    }

    /// Increases the variances, up to their values before any observation.
    fn forget(&mut self) {
        let growths: Vec<f64> = (0..self.priors.len())
            .map(|index| {
                let variance = self.covariance[index][index].max(f64::MIN_POSITIVE);
                let limit = (self.priors[index] / variance).sqrt();
                (1.0 / FORGETTING_FACTOR.sqrt()).min(limit)
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
