//! The steps of an order of events, and the calls that they name.

/// Which kind of call to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    Start,
    Stop,
    Renew,
}

/// Identifies a call: the how-many-th call of its kind from a leader to a worker, counted from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId {
    pub leader: usize,
    pub kind: CallKind,
    pub worker: usize,
    pub number: usize,
}

/// A call of a leader that a step names, without counting the calls before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallChoice {
    /// The newest call of its kind that isn't carried out.
    Newest(usize, CallKind, usize),
    /// The oldest call of its kind that was held back.
    Late(usize, CallKind, usize),
}

/// How a crashed worker comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReturnKind {
    SameId,
    NewId,
}

/// One step. Leaders, workers and machines are numbered in the order in which they appear.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// 100 ms pass, in which all that isn't held back is carried out and answered.
    Tick,
    /// A second passes in the same way.
    Pass,
    /// The call stays on its way until it is delivered by a step of its own.
    Hold(CallChoice),
    /// The worker carries the call out. The leader gets the answer at the next tick, if it waits.
    Deliver(CallChoice),
    /// The same, but the answer is lost.
    DeliverUnanswered(CallChoice),
    /// The worker carries the call out, and a copy of it stays on its way.
    Double(CallChoice),
    /// The leader gets all answers to its calls that were carried out.
    Answer(usize),
    /// The newest answer to a call of the leader overtakes the others.
    Overtake(usize),
    /// The leader's append stays on its way.
    HoldAppend(usize),
    /// The store carries the leader's append out.
    Store(usize),
    /// The same, but the answer is lost, so that the leader retries.
    StoreUnanswered(usize),
    /// From now on, the store refuses to delete the requests of the jobs that the leader forgets.
    RefuseDeletions(usize),
    Kill(usize),
    Freeze(usize),
    Thaw(usize),
    Resign(usize),
    /// A new leader's claim is stored. At the following ticks it fences, reads and leads.
    Claim,
    Fence(usize),
    Read(usize),
    List(usize),
    /// The task's run on the machine succeeds.
    Finish(usize, u32),
    Crash(usize),
    Return(usize, ReturnKind),
    /// The registration of the machine's worker is removed, although the worker may be up.
    Unlist(usize),
    /// The worker is registered again.
    Relist(usize),
    /// The leader gets the cancellation of the job.
    Cancel(usize),
    /// The calls of the leader don't reach the machine anymore.
    Cut(usize, usize),
    /// They reach it again.
    Mend(usize, usize),
    /// The appends of the leader don't reach the store anymore.
    CutStore(usize),
}
