//! Max-min fair division of a capacity between workspaces by their demand.
//!
//! All workspaces get what they ask for up to a common level, the share; what smaller ones leave unused raises the level
//! for the others. Only the proportions of the demands matter: the capacity is given as the fraction of the total demand
//! that is admitted.

use crate::{relay::measurements::Key, util::Map};

/// Fraction of its requests that every workspace keeps while any are admitted, so that none is shut out however large
/// its demand is.
const MIN_ADMITTED: f64 = 0.05;

/// A demand that one or several workspaces have.
#[derive(Clone, Copy, Debug)]
struct Step {
    size: f64,
    /// Sum of the smaller demands.
    below: f64,
    /// Number of workspaces with this demand or a larger one.
    count: f64,
}

/// Demands of the workspaces of a group, prepared for finding the share at any capacity.
#[derive(Clone, Debug, Default)]
pub struct MaxMin {
    demands: Map<Key, f64>,
    /// By increasing size.
    steps: Vec<Step>,
    total: f64,
    /// Smallest known demand, which also stands for each demand that is not known.
    smallest: f64,
}

impl MaxMin {
    /// Prepares demands that are part of a total. What is missing from the total counts as workspaces with the smallest
    /// known demand: only the smallest are not known.
    pub fn new(demands: Map<Key, f64>, total: f64) -> Self {
        let mut sizes: Vec<_> = demands.values().copied().filter(|size| *size > 0.0).collect();
        sizes.sort_unstable_by(f64::total_cmp);
        let Some(&smallest) = sizes.first() else { return Self::default() };
        let known: f64 = sizes.iter().sum();
        let rest = (total - known).max(0.0);
        let mut below = rest;
        let mut steps = Vec::with_capacity(sizes.len() + 1);
        if rest > 0.0 {
            steps.push(Step { size: smallest, below: 0.0, count: rest / smallest + sizes.len() as f64 });
        }
        for (i, &size) in sizes.iter().enumerate() {
            steps.push(Step { size, below, count: (sizes.len() - i) as f64 });
            below += size;
        }
        Self { demands, steps, total: known + rest, smallest }
    }

    /// Demands that are known.
    pub fn demands(&self) -> impl Iterator<Item = (Key, f64)> {
        self.demands.iter().map(|(key, demand)| (*key, *demand))
    }

    /// The share at which this fraction of the total demand is admitted; infinite if all of it is.
    pub fn share(&self, admitted: f64) -> f64 {
        let capacity = admitted.clamp(0.0, 1.0) * self.total;
        let i = self.steps.partition_point(|step| step.below + step.count * step.size < capacity);
        self.steps.get(i).map_or(f64::INFINITY, |step| (capacity - step.below) / step.count)
    }

    /// Chance of refusal for a workspace in place of one in `0..1` that applies to all alike. The expected number of
    /// refusals of all workspaces is the same.
    pub fn chance(&self, key: Key, of_all: f64) -> f64 {
        if self.steps.len() < 2 {
            return of_all;
        }
        let kept = MIN_ADMITTED.min(1.0 - of_all);
        let share = self.share((1.0 - of_all - kept) / (1.0 - kept));
        let demand = self.demands.get(&key).copied().unwrap_or(self.smallest);
        (1.0 - kept) * (1.0 - share / demand).max(0.0)
    }
}
