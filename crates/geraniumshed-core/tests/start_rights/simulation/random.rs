//! Random faults, and the search for those that lead to a violation.

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fault::{Fault, FaultKind, Place, PlaceSet};
use super::{FoundFault, Setup, simulate};

/// Which faults a search plays.
#[derive(Debug, Clone, Copy)]
pub struct FaultRange {
    /// Whether workers crash.
    pub has_crashes: bool,
    /// The largest number of faults.
    pub limit: usize,
}

/// Returns the faults of a seed.
pub fn draw_faults(setup: &Setup, range: FaultRange, seed: u64) -> Vec<Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let count = random.random_range(2..=range.limit);
    let first = random.random_range(3_000..18_000);
    let second = first + random.random_range(0..12_000);
    let mut faults = Vec::new();
    for _ in 0..count {
        let base = if random.random_bool(0.6) {
            first
        } else {
            second
        };
        let at_ms = base + random.random_range(0..3_000);
        let for_ms = match random.random_range(0..3) {
            0 => random.random_range(50..1_000),
            1 => random.random_range(500..4_000),
            _ => random.random_range(2_000..14_000),
        };
        let kind = draw_kind(&mut random, setup, range);
        faults.push(Fault {
            at_ms,
            for_ms,
            kind,
        });
    }
    faults
}

fn draw_kind(random: &mut ChaCha8Rng, setup: &Setup, range: FaultRange) -> FaultKind {
    // The first node leads at first.
    let node = if random.random_bool(0.4) {
        0
    } else {
        random.random_range(0..setup.nodes)
    };
    let machine = random.random_range(0..setup.machines);
    let (a, b) = match random.random_range(0..10) {
        0..4 => (Place::Node(node), Place::Machine(machine)),
        4..8 => (Place::Node(node), Place::Store),
        _ => (Place::Node(node), Place::Node((node + 1) % setup.nodes)),
    };
    let (from, to) = if random.random_bool(0.5) {
        (a, b)
    } else {
        (b, a)
    };
    let own = PlaceSet::new(&[node as u64], &[machine as u64]);
    let others =
        random.random_range(0..1 << setup.nodes) & random.random_range(0..1 << setup.nodes);
    let set = PlaceSet {
        nodes: own.nodes | others,
        machines: own.machines | random.random_range(0..1 << setup.machines),
    };
    let kinds = [
        FaultKind::Partition(set),
        FaultKind::Partition(set),
        FaultKind::Cut(a, b),
        FaultKind::Cut(a, b),
        FaultKind::Cut(a, b),
        FaultKind::CutOneWay(from, to),
        FaultKind::CutOneWay(from, to),
        FaultKind::Stall(from, to),
        FaultKind::Jitter(from, to, random.random_range(10..3_000)),
        FaultKind::LateCalls(node, machine, random.random_range(500..12_000)),
        FaultKind::LateCalls(node, machine, random.random_range(500..12_000)),
        FaultKind::LateAppends(random.random_range(100..6_000)),
        FaultKind::Freeze(node),
        FaultKind::Freeze(node),
        FaultKind::Starve(node, random.random_range(50..690)),
        FaultKind::Kill(node),
        FaultKind::Kill(node),
        FaultKind::Resign(node),
        FaultKind::Unlist(machine),
        FaultKind::Crash(machine),
    ];
    let kind = *kinds.choose(random).unwrap_or(&kinds[0]);
    match kind {
        FaultKind::Crash(_) if !range.has_crashes => FaultKind::Freeze(node),
        kind => kind,
    }
}

/// Removes and shortens faults for as long as there is a violation of the same kind.
pub fn shrink(setup: &Setup, faults: &[Fault]) -> Option<(Vec<Fault>, FoundFault)> {
    let kind = std::mem::discriminant(&simulate(setup, faults, false)?.violation);
    let breaks = |faults: &[Fault]| {
        let found = simulate(setup, faults, false);
        found.is_some_and(|one| std::mem::discriminant(&one.violation) == kind)
    };
    let mut shortest = faults.to_vec();
    let mut index = 0;
    while index < shortest.len() {
        let mut fewer = shortest.clone();
        fewer.remove(index);
        if breaks(&fewer) {
            shortest = fewer;
            index = 0;
        } else {
            index += 1;
        }
    }
    for index in 0..shortest.len() {
        for unit in [4_000, 1_000, 500, 100] {
            let mut rounder = shortest.clone();
            let one = &mut rounder[index];
            one.at_ms = one.at_ms / unit * unit;
            if breaks(&rounder) {
                shortest = rounder;
                break;
            }
        }
        for unit in [4_000, 1_000, 500, 100] {
            let mut rounder = shortest.clone();
            let one = &mut rounder[index];
            one.for_ms = one.for_ms.div_ceil(unit) * unit;
            if breaks(&rounder) {
                shortest = rounder;
                break;
            }
        }
    }
    let found = simulate(setup, &shortest, true)?;
    Some((shortest, found))
}
