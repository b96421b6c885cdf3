//! A linear regression that is updated with each observation.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::model::LoadShare;
use super::snapshot::SlopeRecord;

/// The number of causes that a fit distinguishes. Further ones are ignored.
const CAUSE_LIMIT: usize = 48;
/// The slope that is assumed for a cause without evidence.
const PRIOR_SLOPE: f64 = 0.012;
/// The weight of the assumed slope, in squared amounts times observations.
const PRIOR_WEIGHT: f64 = 15.0;
/// The sum of amounts times effects that corresponds to the assumed slope and its weight.
const PRIOR_EFFECT: f64 = PRIOR_WEIGHT * PRIOR_SLOPE;
/// The fraction of the evidence that is retained after observations of the weight below.
const RETENTION: f64 = 0.9985;
/// The weight of observations that one factor of retention stands for.
const RETENTION_WEIGHT: f64 = 2.0;
/// The least weight of new observations with which the fit is solved again.
const SOLVE_WEIGHT: f64 = 2.0;
/// The fraction of the retained weight that has to be new before the fit is solved again. The more
/// evidence there is, the less a single observation changes the slopes.
const SOLVE_FRACTION: f64 = 0.02;

/// A ridge regression of an effect on the amounts of several causes, with exponential decay of old
/// observations.
///
/// The causes are best-effort images, and their amounts are the processors that they use. Amounts
/// and effects are differences from their moving averages, so there is no intercept. Slopes
/// with little evidence are drawn to a small positive value.
#[derive(Debug, Clone, Default)]
pub(super) struct LinearFit {
    causes: Vec<SmolStr>,
    /// The index of each cause.
    indices: BTreeMap<SmolStr, usize>,
    /// The sums of products of amounts, by pairs of causes.
    products: Vec<Vec<f64>>,
    /// The sums of amounts times effects.
    effects: Vec<f64>,
    /// The newest slope of each cause.
    solution: Vec<f64>,
    /// The weight of the observations since the newest solution.
    unsolved: f64,
    /// The weight of the observations before it, as far as it is retained.
    solved: f64,
    /// The number of solutions so far.
    solutions: u64,
}

impl LinearFit {
    /// Adds an observation.
    pub(super) fn observe(&mut self, shares: &[LoadShare], effect: f64, weight: f64) {
        let mut terms = Vec::with_capacity(shares.len());
        for share in shares {
            if let Some(index) = self.cause_index(&share.image) {
                terms.push((index, share.processors));
            }
        }
        self.grow();
        for &(row, amount) in &terms {
            self.effects[row] += weight * amount * effect;
            for &(column, other) in &terms {
                self.products[row][column] += weight * amount * other;
            }
        }
        self.unsolved += weight;
        if self.unsolved >= SOLVE_WEIGHT.max(self.solved * SOLVE_FRACTION) {
            self.solve();
        }
    }

    /// Returns the slope of a cause, which is never negative.
    pub(super) fn slope(&self, cause: &SmolStr) -> f64 {
        let index = self.indices.get(cause);
        index.map_or(PRIOR_SLOPE, |index| self.slope_at(*index))
    }

    /// Restores a fit from the slopes of its causes and the weight of the evidence for each.
    pub(super) fn restore(slopes: impl IntoIterator<Item = SlopeRecord>) -> Self {
        let mut fit = Self::default();
        for slope in slopes {
            let Some(index) = fit.cause_index(&slope.image) else {
                continue;
            };
            fit.grow();
            fit.products[index][index] = slope.weight;
            // With these sums, the solution is the restored slope.
            fit.effects[index] = slope.slope * (slope.weight + PRIOR_WEIGHT) - PRIOR_EFFECT;
        }
        fit.solve();
        fit
    }

    /// Returns the slope of each cause with the weight of the evidence for it.
    pub(super) fn slope_records(&self) -> Vec<SlopeRecord> {
        let record = |(index, cause): (usize, &SmolStr)| SlopeRecord {
            image: cause.clone(),
            slope: self.slope_at(index),
            weight: self.products[index][index],
        };
        self.causes.iter().enumerate().map(record).collect()
    }

    /// Returns the number of times that the slopes were solved for.
    pub(super) fn solution_count(&self) -> u64 {
        self.solutions
    }

    /// Returns the slopes of all causes.
    pub(super) fn slopes(&self) -> impl Iterator<Item = f64> {
        (0..self.causes.len()).map(|index| self.slope_at(index))
    }

    /// Returns the slope of the cause with an index, which is never negative.
    fn slope_at(&self, index: usize) -> f64 {
        let slope = self.solution.get(index);
        slope.copied().unwrap_or(PRIOR_SLOPE).max(0.0)
    }

    /// Returns the index of a cause. Adds an unknown cause, unless there are too many.
    fn cause_index(&mut self, image: &SmolStr) -> Option<usize> {
        let known = self.indices.get(image).copied();
        if known.is_some() || self.causes.len() >= CAUSE_LIMIT {
            return known;
        }
        let index = self.causes.len();
        self.causes.push(image.clone());
        self.indices.insert(image.clone(), index);
        Some(index)
    }

    /// Extends the sums to all known causes.
    fn grow(&mut self) {
        let size = self.causes.len();
        for row in &mut self.products {
            row.resize(size, 0.0);
        }
        self.products.resize(size, vec![0.0; size]);
        self.effects.resize(size, 0.0);
    }

    fn solve(&mut self) {
        let size = self.effects.len();
        let mut rows = self.products.clone();
        let mut right = self.effects.clone();
        for (index, row) in rows.iter_mut().enumerate() {
            row[index] += PRIOR_WEIGHT;
            right[index] += PRIOR_EFFECT;
        }
        self.solution = solve_symmetric(rows, right);
        self.solutions += 1;
        let retained = RETENTION.powf(self.unsolved / RETENTION_WEIGHT);
        self.solved = (self.solved + self.unsolved) * retained;
        self.unsolved = 0.0;
        for row in 0..size {
            self.effects[row] *= retained;
            for sum in &mut self.products[row] {
                *sum *= retained;
            }
        }
    }
}

/// Solves a system of linear equations with a symmetric, positive definite matrix.
fn solve_symmetric(mut rows: Vec<Vec<f64>>, mut right: Vec<f64>) -> Vec<f64> {
    let size = right.len();
    for pivot in 0..size {
        let (head, tail) = rows.split_at_mut(pivot + 1);
        let pivot_row = &head[pivot];
        for (offset, row) in tail.iter_mut().enumerate() {
            let factor = row[pivot] / pivot_row[pivot];
            for (value, above) in row.iter_mut().zip(pivot_row).skip(pivot) {
                *value -= factor * above;
            }
            right[pivot + 1 + offset] -= factor * right[pivot];
        }
    }
    for index in (0..size).rev() {
        let known: f64 = (index + 1..size)
            .map(|column| rows[index][column] * right[column])
            .sum();
        right[index] = (right[index] - known) / rows[index][index];
    }
    right
}
