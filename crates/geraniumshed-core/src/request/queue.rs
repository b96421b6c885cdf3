//! The bounded queue of a service's requests.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{RequestId, TimePoint, UrgencyClass};

use super::event::QueuedRequest;

/// The classes in the order in which they are served.
const SERVING_ORDER: [UrgencyClass; 3] = [
    UrgencyClass::Urgent,
    UrgencyClass::Normal,
    UrgencyClass::Background,
];

/// The place of a request within its class.
type QueuePlace = (TimePoint, u64);

/// A bounded queue, served by urgency and then by deadline.
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

    /// Changes the number of requests that the queue holds.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the number of requests that are served before a new one of a class.
    pub fn ahead_of(&self, urgency: UrgencyClass) -> usize {
        SERVING_ORDER
            .iter()
            .zip(&self.classes)
            .filter(|(class, _)| **class >= urgency)
            .map(|(_, waiting)| waiting.len())
            .sum()
    }

    /// Adds a request. Returns the one that had to give way, which may be the same.
    pub fn push(&mut self, request: QueuedRequest) -> Option<QueuedRequest> {
        let displaced = if self.len() < self.limit {
            None
        } else {
            match self.pop_lowest_below(request.urgency) {
                Some(displaced) => Some(displaced),
                None => return Some(request),
            }
        };
        self.insert(request);
        displaced
    }

    /// Adds a request that already had a place, whether or not the queue is full.
    pub fn push_again(&mut self, request: QueuedRequest) {
        self.insert(request);
    }

    /// Removes the request that is served next.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let waiting = self.classes.iter_mut().find(|class| !class.is_empty())?;
        let (_, request) = waiting.pop_first()?;
        self.places.remove(&request.id);
        Some(request)
    }

    /// Returns the request that is served next.
    pub fn peek(&self) -> Option<&QueuedRequest> {
        let waiting = self.classes.iter().find(|class| !class.is_empty())?;
        waiting.first_key_value().map(|(_, request)| request)
    }

    /// Removes a request, if it waits.
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

    /// Removes the last request of the lowest class that waits, if it is below a class.
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
