//! Searches orders of steps for violations: all merges of short sequences, and random walks.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checker::Violation;
use crate::leader::Leader;
use crate::step::{CallChoice, CallKind, Step};
use crate::world::{Assumptions, World};

/// A violation with the steps that lead to it.
#[derive(Debug)]
pub struct FoundViolation {
    pub violation: Violation,
    pub steps: Vec<Step>,
    pub log: Vec<String>,
}

/// Returns the violation in a world, with the steps that were taken there.
fn found_violation(world: World, steps: Vec<Step>) -> Option<FoundViolation> {
    Some(FoundViolation {
        violation: world.checker.violation?,
        steps,
        log: world.log,
    })
}

/// The time for which jobs are kept, unless a test needs a short one.
pub const LONG_RETENTION: Duration = Duration::from_mins(4);

/// Takes the steps of an order, skipping those that aren't possible, and returns the violation.
pub fn replay(
    assumptions: Assumptions,
    tasks: u32,
    job_retention: Duration,
    steps: &[Step],
) -> Option<FoundViolation> {
    let mut world = World::open(assumptions, tasks, job_retention);
    let mut taken = Vec::new();
    for step in steps {
        if world.take(*step) {
            taken.push(*step);
        }
        if world.checker.violation.is_some() {
            return found_violation(world, taken);
        }
    }
    None
}

/// Removes steps for as long as the order still leads to a violation of the same kind.
pub fn shorten(assumptions: Assumptions, tasks: u32, found: FoundViolation) -> FoundViolation {
    let mut shortest = found;
    let mut index = 0;
    while index < shortest.steps.len() {
        let mut steps = shortest.steps.clone();
        steps.remove(index);
        let kind = std::mem::discriminant(&shortest.violation);
        match replay(assumptions, tasks, LONG_RETENTION, &steps) {
            Some(shorter) if std::mem::discriminant(&shorter.violation) == kind => {
                let has_shrunk = shorter.steps.len() < shortest.steps.len();
                shortest = shorter;
                index = if has_shrunk { 0 } else { index + 1 };
            }
            _ => index += 1,
        }
    }
    shortest
}

/// The limits of a random walk.
#[derive(Debug, Clone, Copy)]
pub struct WalkLimits {
    pub steps: usize,
    pub leaders: usize,
    pub crashes: usize,
    pub may_cut: bool,
    pub may_freeze: bool,
}

impl WalkLimits {
    /// All faults but cuts.
    pub const ALL: Self = Self {
        steps: 60,
        leaders: 3,
        crashes: 2,
        may_cut: false,
        may_freeze: true,
    };
}

/// Takes a random walk.
pub fn walk(
    assumptions: Assumptions,
    tasks: u32,
    limits: WalkLimits,
    seed: u64,
) -> Option<FoundViolation> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::open(assumptions, tasks, LONG_RETENTION);
    let mut taken = Vec::new();
    let mut crashes = 0;
    for _ in 0..limits.steps {
        let step = choose(&mut random, &world, limits, crashes);
        if !world.take(step) {
            continue;
        }
        crashes += usize::from(matches!(step, Step::Crash(_)));
        taken.push(step);
        if world.checker.violation.is_some() {
            return found_violation(world, taken);
        }
    }
    None
}

fn choose(random: &mut ChaCha8Rng, world: &World, limits: WalkLimits, crashes: usize) -> Step {
    if random.random_bool(0.35) {
        return if random.random_bool(0.7) {
            Step::Tick
        } else {
            Step::Pass
        };
    }
    let is_led = world.leaders.last().is_some_and(Leader::is_leading);
    let claim_chance = if is_led { 0.03 } else { 0.3 };
    if world.leaders.len() < limits.leaders && random.random_bool(claim_chance) {
        return Step::Claim;
    }
    if limits.may_cut && random.random_bool(0.05) {
        let leader = random.random_range(0..world.leaders.len());
        return if random.random_bool(0.3) {
            Step::CutStore(leader)
        } else {
            Step::Cut(leader, random.random_range(0..2))
        };
    }
    let steps = world.pending_steps();
    let weighted: Vec<(Step, u32)> = steps
        .into_iter()
        .map(|step| (step, weight(step, limits, crashes)))
        .collect();
    let chosen = weighted.choose_weighted(random, |(_, weight)| *weight);
    chosen.map_or(Step::Tick, |(step, _)| *step)
}

fn weight(step: Step, limits: WalkLimits, crashes: usize) -> u32 {
    match step {
        Step::Freeze(_) if !limits.may_freeze => 0,
        Step::Crash(_) if crashes >= limits.crashes => 0,
        Step::Kill(_) | Step::Resign(_) | Step::Cancel(_) | Step::Unlist(_) => 1,
        Step::Freeze(_)
        | Step::Crash(_)
        | Step::Hold(CallChoice::Newest(_, CallKind::Renew, _)) => 2,
        Step::Hold(_) | Step::HoldAppend(_) => 6,
        Step::Finish(..) => 4,
        _ => 5,
    }
}

/// Takes all merges of sequences of steps, each of which keeps its own order.
#[derive(Debug, Clone, Copy)]
pub struct OrderSearch<'a> {
    pub assumptions: Assumptions,
    pub tasks: u32,
    /// The steps after each order.
    pub aftermath: &'a [Step],
}

impl OrderSearch<'_> {
    /// Takes all orders in which each step is possible. Returns their number and the first violation.
    pub fn take_all(self, sequences: &[Vec<Step>]) -> (usize, Option<FoundViolation>) {
        let mut count = 0;
        let positions = vec![0; sequences.len()];
        let found = self.extend(sequences, &positions, &mut Vec::new(), &mut count);
        (count, found)
    }

    fn extend(
        self,
        sequences: &[Vec<Step>],
        positions: &[usize],
        steps: &mut Vec<Step>,
        count: &mut usize,
    ) -> Option<FoundViolation> {
        if !self.is_possible(steps) {
            return None;
        }
        let mut is_complete = true;
        for (index, sequence) in sequences.iter().enumerate() {
            let Some(step) = sequence.get(positions[index]) else {
                continue;
            };
            is_complete = false;
            let mut next = positions.to_vec();
            next[index] += 1;
            steps.push(*step);
            let found = self.extend(sequences, &next, steps, count);
            steps.pop();
            if found.is_some() {
                return found;
            }
        }
        if !is_complete {
            return None;
        }
        *count += 1;
        let all: Vec<Step> = steps.iter().chain(self.aftermath).copied().collect();
        replay(self.assumptions, self.tasks, LONG_RETENTION, &all)
    }

    /// Returns whether each step is possible in its turn.
    fn is_possible(self, steps: &[Step]) -> bool {
        let mut world = World::open(self.assumptions, self.tasks, LONG_RETENTION);
        steps.iter().all(|step| world.take(*step))
    }
}
