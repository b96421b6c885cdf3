//! The bounded priority queue of a service's waiting requests.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{RequestId, TimePoint, UrgencyClass};

use super::event::QueuedRequest;

/// The urgency classes in the order in which they are served.
const SERVING_ORDER: [UrgencyClass; 3] = [
    UrgencyClass::Urgent,
    UrgencyClass::Normal,
    UrgencyClass::Background,
];

/// The sort key of a request within its class: its deadline and a sequence number.
type QueuePlace = (TimePoint, u64);

/// A bounded queue, ordered by urgency class and then by deadline.
#[derive(Debug, Clone)]
pub struct RequestQueue {
    classes: [BTreeMap<QueuePlace, QueuedRequest>; 3],
    places: BTreeMap<RequestId, (usize, QueuePlace)>,
    limit: usize,
    sequence: u64,
}

impl RequestQueue {
    /// Creates an empty queue that holds up to `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self {
            classes: Default::default(),
            places: BTreeMap::new(),
            limit,
            sequence: 0,
        }
    }

    /// Changes the limit; requests above a lowered limit stay in the queue.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the number of waiting requests of a class and of all more urgent ones.
    pub fn count_ahead(&self, urgency: UrgencyClass) -> usize {
        SERVING_ORDER
            .iter()
            .zip(&self.classes)
            .filter(|(class, _)| **class >= urgency)
            .map(|(_, waiting)| waiting.len())
            .sum()
    }

    /// Adds a request.
    ///
    /// If the queue is full, it evicts a request of a less urgent class. Returns the evicted
    /// request, or the new one if there is none to evict.
    pub fn push(&mut self, request: QueuedRequest) -> Option<QueuedRequest> {
        let evicted = if self.len() < self.limit {
            None
        } else {
            match self.pop_lowest_below(request.urgency) {
                Some(evicted) => Some(evicted),
                None => return Some(request),
            }
        };
        self.insert(request);
        evicted
    }

    /// Adds a request that was in the queue before, even if the queue is full.
    pub fn requeue(&mut self, request: QueuedRequest) {
        self.insert(request);
    }

    /// Removes and returns the request that is served next.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let waiting = self.classes.iter_mut().find(|class| !class.is_empty())?;
        let (_, request) = waiting.pop_first()?;
        self.places.remove(&request.id);
        Some(request)
    }

    /// Returns the request that is served next, without removing it.
    pub fn peek(&self) -> Option<&QueuedRequest> {
        let waiting = self.classes.iter().find(|class| !class.is_empty())?;
        waiting.first_key_value().map(|(_, request)| request)
    }

    /// Removes and returns a request, if it waits.
    pub fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let (class, place) = self.places.remove(&id)?;
        self.classes[class].remove(&place)
    }

    fn insert(&mut self, request: QueuedRequest) {
        self.sequence += 1;
        let place = (request.deadline, self.sequence);
        let class = class_index(request.urgency);
        self.places.insert(request.id, (class, place));
        self.classes[class].insert(place, request);
    }

    /// Removes and returns the last request of the least urgent class that has any, if that class
    /// is less urgent than the given one.
    fn pop_lowest_below(&mut self, urgency: UrgencyClass) -> Option<QueuedRequest> {
        let lowest = self.classes.iter().rposition(|class| !class.is_empty())?;
        if SERVING_ORDER[lowest] >= urgency {
            return None;
        }
        let (_, request) = self.classes[lowest].pop_last()?;
        self.places.remove(&request.id);
        Some(request)
    }
}

/// Returns the index of a class in the serving order.
fn class_index(urgency: UrgencyClass) -> usize {
    match urgency {
        UrgencyClass::Urgent => 0,
        UrgencyClass::Normal => 1,
        UrgencyClass::Background => 2,
    }
}
