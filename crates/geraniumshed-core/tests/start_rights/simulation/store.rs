//! The requests to the store that change it or read much of it.

use std::time::Duration;

use geraniumshed_core::leadership::{LeaderRecord, LeaderTerm};

use super::fault::{Passage, Place};
use super::{Event, Simulation};
use crate::store::{AppendResult, SentAppend, StoreModel};

/// A request to the store.
#[derive(Debug, Clone)]
pub struct StoreRequest {
    pub node: usize,
    pub process: u64,
    /// Tells the answers to the requests of a process apart.
    pub operation: u64,
    pub body: StoreRequestBody,
    is_answered: bool,
}

#[derive(Debug, Clone)]
pub enum StoreRequestBody {
    /// Claim to lead, if there are this many claims.
    Claim(usize),
    Fence(LeaderTerm),
    Read,
    Append(SentAppend),
}

/// An answer of the store.
#[derive(Debug, Clone)]
pub enum StoreAnswer {
    Claimed(Option<LeaderRecord>),
    Fenced(AppendResult),
    State(Box<StoreModel>),
    Appended(u64, AppendResult),
    /// No answer came in time.
    None,
}

impl Simulation {
    /// Sends a request. If no answer comes in time, the node is told so.
    pub(super) fn ask_store(
        &mut self,
        node: usize,
        operation: u64,
        body: StoreRequestBody,
        timeout: Duration,
    ) {
        let process = self.nodes[node].process;
        let unanswered = Event::StoreAnswer(node, process, operation, StoreAnswer::None);
        self.push_in(timeout, unanswered);
        self.message_count += 1;
        let (from, number) = (Place::Node(node), self.message_count);
        let passage = self.plan.passage(from, Place::Store, self.now, number);
        let Passage::Arrives(mut at) = passage else {
            return;
        };
        let late_ms = match body {
            StoreRequestBody::Append(_) => self.plan.late_append(self.now),
            _ => None,
        };
        if let Some(late_ms) = late_ms {
            at = at + Duration::from_millis(late_ms);
        }
        let request = StoreRequest {
            node,
            process,
            operation,
            body,
            is_answered: late_ms.is_none(),
        };
        self.push(at, Event::StoreRequest(request));
    }

    pub(super) fn carry_out_at_store(&mut self, request: StoreRequest) {
        let node = request.node;
        let answer = match request.body {
            StoreRequestBody::Claim(end) => {
                let is_next = self.claims.len() == end;
                let record = is_next.then(|| LeaderRecord {
                    term: LeaderTerm(end as u64 + 1),
                    member: self.nodes[node].identity(request.process),
                });
                self.claims.extend(record.clone());
                StoreAnswer::Claimed(record)
            }
            StoreRequestBody::Fence(term) => {
                let result = self.store.fence(term);
                self.log(|| format!("store: fence of term {term} by node {node}: {result:?}"));
                StoreAnswer::Fenced(result)
            }
            StoreRequestBody::Read => StoreAnswer::State(Box::new(self.store.clone())),
            StoreRequestBody::Append(append) => {
                let result = self.store.append(&append);
                StoreAnswer::Appended(append.batch.number, result)
            }
        };
        if !request.is_answered {
            return;
        }
        self.message_count += 1;
        let (to, number) = (Place::Node(node), self.message_count);
        let passage = self.plan.passage(Place::Store, to, self.now, number);
        if let Passage::Arrives(at) = passage {
            let event = Event::StoreAnswer(node, request.process, request.operation, answer);
            self.push(at, event);
        }
    }
}
