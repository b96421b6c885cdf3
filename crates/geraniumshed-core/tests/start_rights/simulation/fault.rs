//! The faults of a simulation.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

/// One end of a network path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    Node(usize),
    Machine(usize),
    Store,
}

/// Some nodes and machines, each as a bit of its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceSet {
    pub nodes: u64,
    pub machines: u64,
}

impl PlaceSet {
    /// Creates the set of the nodes and machines with the given numbers.
    pub const fn new(nodes: &[u64], machines: &[u64]) -> Self {
        Self {
            nodes: bits(nodes),
            machines: bits(machines),
        }
    }

    fn contains(self, place: Place) -> bool {
        match place {
            Place::Node(node) => self.nodes >> node & 1 == 1,
            Place::Machine(machine) => self.machines >> machine & 1 == 1,
            Place::Store => false,
        }
    }
}

const fn bits(numbers: &[u64]) -> u64 {
    let mut bits = 0;
    let mut index = 0;
    while index < numbers.len() {
        bits |= 1 << numbers[index];
        index += 1;
    }
    bits
}

/// What a fault does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// Nothing arrives in either direction.
    Cut(Place, Place),
    /// Nothing passes between some nodes and machines and all other places, nor the store.
    Partition(PlaceSet),
    /// Nothing arrives in one direction.
    CutOneWay(Place, Place),
    /// What is sent in one direction arrives when the fault ends.
    Stall(Place, Place),
    /// What is sent in one direction arrives later, by up to this many milliseconds.
    Jitter(Place, Place, u64),
    /// The machine carries the node's calls out this many milliseconds later, without an answer.
    LateCalls(usize, usize, u64),
    /// The store carries appends out this many milliseconds later, without an answer.
    LateAppends(u64),
    /// The node stands still, while its clock goes on.
    Freeze(usize),
    /// The node only runs for a moment in each interval of this many milliseconds.
    Starve(usize, u64),
    /// The node's process is killed, and a new one starts when the fault ends.
    Kill(usize),
    /// The node is asked to resign if it leads.
    Resign(usize),
    /// The registration of the machine's worker is removed.
    Unlist(usize),
    /// The machine's worker crashes, and starts again under its id when the fault ends.
    Crash(usize),
}

/// A fault, with its time from the start of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    pub at_ms: u64,
    pub for_ms: u64,
    pub kind: FaultKind,
}

impl Fault {
    pub fn begins_at(&self, start: TimePoint) -> TimePoint {
        start + Duration::from_millis(self.at_ms)
    }

    pub fn ends_at(&self, start: TimePoint) -> TimePoint {
        self.begins_at(start) + Duration::from_millis(self.for_ms)
    }

    pub fn is_active(&self, start: TimePoint, now: TimePoint) -> bool {
        self.begins_at(start) <= now && now < self.ends_at(start)
    }
}

/// Creates a fault. Keeps the lists of tests short.
pub const fn fault(at_ms: u64, for_ms: u64, kind: FaultKind) -> Fault {
    Fault {
        at_ms,
        for_ms,
        kind,
    }
}

/// How a message passes a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Passage {
    Lost,
    Arrives(TimePoint),
}

/// The faults of a simulation.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    pub start: TimePoint,
    pub faults: Vec<Fault>,
}

/// The time that a message takes on a sound path.
const PATH_TIME: Duration = Duration::from_millis(1);
/// The time for which a starved node runs in each interval.
const STARVED_RUN_TIME: Duration = Duration::from_millis(10);

impl FaultPlan {
    pub fn active(&self, now: TimePoint) -> impl Iterator<Item = &Fault> {
        let faults = self.faults.iter();
        faults.filter(move |fault| fault.is_active(self.start, now))
    }

    /// Returns how a message passes that is sent now. The number tells messages apart.
    pub fn passage(&self, from: Place, to: Place, now: TimePoint, number: u64) -> Passage {
        let mut arrives_at = now + PATH_TIME;
        for fault in self.active(now) {
            match fault.kind {
                FaultKind::Cut(a, b) if (a, b) == (from, to) || (b, a) == (from, to) => {
                    return Passage::Lost;
                }
                FaultKind::Partition(set) if set.contains(from) != set.contains(to) => {
                    return Passage::Lost;
                }
                FaultKind::CutOneWay(a, b) if (a, b) == (from, to) => return Passage::Lost,
                FaultKind::Stall(a, b) if (a, b) == (from, to) => {
                    arrives_at = arrives_at.max(fault.ends_at(self.start) + PATH_TIME);
                }
                FaultKind::Jitter(a, b, limit) if (a, b) == (from, to) => {
                    let jitter = scatter(number) % limit.max(1);
                    arrives_at = arrives_at.max(now + PATH_TIME + Duration::from_millis(jitter));
                }
                _ => {}
            }
        }
        Passage::Arrives(arrives_at)
    }

    /// Returns whether a short exchange from one place to another and back succeeds now.
    pub fn reaches(&self, from: Place, to: Place, now: TimePoint) -> bool {
        let limit = now + Duration::from_millis(50);
        [(from, to), (to, from)].into_iter().all(
            |(a, b)| matches!(self.passage(a, b, now, now.0), Passage::Arrives(at) if at <= limit),
        )
    }

    /// Returns when a node runs that has something to do now.
    pub fn awake_at(&self, node: usize, now: TimePoint) -> TimePoint {
        let mut at = now;
        loop {
            let mut next = at;
            for fault in self.active(at) {
                let begun = fault.begins_at(self.start);
                match fault.kind {
                    FaultKind::Freeze(one) if one == node => {
                        next = next.max(fault.ends_at(self.start));
                    }
                    FaultKind::Starve(one, interval_ms) if one == node => {
                        let interval = Duration::from_millis(interval_ms.max(1));
                        let passed = at.since(begun).as_micros() % interval.as_micros();
                        if passed >= STARVED_RUN_TIME.as_micros() {
                            let rest = interval.as_micros() - passed;
                            let rest = u64::try_from(rest).unwrap_or_default();
                            next = next.max(at + Duration::from_micros(rest));
                        }
                    }
                    _ => {}
                }
            }
            if next == at {
                return at;
            }
            at = next;
        }
    }

    /// Returns by how many milliseconds a machine carries out calls of a node late.
    pub fn late_call(&self, node: usize, machine: usize, now: TimePoint) -> Option<u64> {
        self.active(now).find_map(|fault| match fault.kind {
            FaultKind::LateCalls(from, to, by) if (from, to) == (node, machine) => Some(by),
            _ => None,
        })
    }

    /// Returns by how many milliseconds the store carries out appends late.
    pub fn late_append(&self, now: TimePoint) -> Option<u64> {
        self.active(now).find_map(|fault| match fault.kind {
            FaultKind::LateAppends(by) => Some(by),
            _ => None,
        })
    }

    pub fn is_listed(&self, machine: usize, now: TimePoint) -> bool {
        let unlisted = FaultKind::Unlist(machine);
        !self.active(now).any(|fault| fault.kind == unlisted)
    }
}

/// Returns a number that differs without order from that of the next message.
fn scatter(number: u64) -> u64 {
    number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33
}
