//! Selection of an endpoint for a request.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::{
    EndpointEntry, EndpointId, RequestId, TimePoint, VmId, VmPhase, ZoneName,
};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use super::endpoint_state::EndpointState;
use super::event::{AttemptReturn, EndpointIndex};
use super::policy::{DispatchPolicy, RouteRule};
use super::slot_plan::{PlannedEndpoint, SlotPlan};

/// The latency, in multiples of the service's mean, up to which an endpoint has no extra cost.
const FREE_LATENCY_RATIO: f64 = 1.5;

/// The cost of a fully loaded endpoint, as a share of the service's mean latency.
const LOAD_COST: f64 = 0.25;

/// The view of the cluster from which the router works.
#[derive(Debug, Clone)]
pub struct RouteView {
    /// The VM of this daemon.
    pub own: VmId,
    /// The live daemons with their availability zones.
    pub daemons: BTreeMap<VmId, ZoneName>,
    /// The endpoints of the service.
    pub endpoints: Vec<EndpointEntry>,
    /// The phases of the VMs in the platform's list.
    pub vms: BTreeMap<VmId, VmPhase>,
}

/// Chooses endpoints for the requests of one service.
#[derive(Debug, Clone)]
pub struct EndpointRouter {
    states: Vec<Option<EndpointState>>,
    indices: BTreeMap<EndpointId, EndpointIndex>,
    round_robin_count: usize,
}

impl EndpointRouter {
    /// Creates a router without endpoints.
    pub fn new() -> Self {
        Self {
            states: Vec::new(),
            indices: BTreeMap::new(),
            round_robin_count: 0,
        }
    }

    /// Updates the endpoints and the daemon's own slots to a new view of the cluster.
    ///
    /// Endpoints that are added later than the first ones begin with a slow start.
    pub fn update(&mut self, now: TimePoint, policy: &DispatchPolicy, view: &RouteView) {
        let planned: Vec<_> = view.endpoints.iter().map(planned_endpoint).collect();
        let plan = SlotPlan::compute(&view.own, &view.daemons, &planned);
        let daemons = u32::try_from(view.daemons.len()).unwrap_or(u32::MAX);
        let added = (!self.indices.is_empty()).then_some(now);
        self.remove_missing(view);
        for entry in &view.endpoints {
            let owned = plan.owned(&entry.endpoint);
            let is_vm_leaving = matches!(
                view.vms.get(&entry.vm),
                Some(VmPhase::Leaving | VmPhase::Gone)
            );
            let index = self.index_or_insert(entry, policy, added);
            if let Some(state) = &mut self.states[index.0 as usize] {
                state.update(entry.clone(), owned, daemons, is_vm_leaving);
            }
        }
    }

    /// Returns the state of an endpoint, or `None` if it was removed.
    pub fn endpoint(&self, index: EndpointIndex) -> Option<&EndpointState> {
        self.states.get(index.0 as usize)?.as_ref()
    }

    /// Returns all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointIndex, &EndpointState)> {
        (0..)
            .zip(&self.states)
            .filter_map(|(index, state)| Some((EndpointIndex(index), state.as_ref()?)))
    }

    /// Returns the number of the daemon's own slots at endpoints that are usable now.
    pub fn own_capacity(&self, now: TimePoint) -> u32 {
        self.endpoints()
            .filter(|(_, state)| state.is_usable(now))
            .map(|(_, state)| state.own_capacity(now))
            .sum()
    }

    /// Returns the time until the first breaker of an endpoint lets requests through.
    ///
    /// Returns `None` if there is no endpoint, or if all of them are leaving.
    pub fn breaker_delay(&self, now: TimePoint) -> Option<Duration> {
        self.endpoints()
            .filter(|(_, state)| !state.is_leaving(now))
            .map(|(_, state)| state.breaker_delay(now))
            .min()
    }

    /// Returns whether an endpoint that was not tried may take a request before its deadline.
    pub fn has_untried(
        &self,
        now: TimePoint,
        tried: &[EndpointIndex],
        deadline: TimePoint,
    ) -> bool {
        self.candidates(tried, |state| !state.is_leaving(now))
            .any(|(_, state)| now + state.breaker_delay(now) < deadline)
    }

    /// Chooses one of the endpoints that may get one more request under the policy's rule.
    ///
    /// `service_mean` is the mean latency of the service. For [`RouteRule::Planned`], only the
    /// daemon's own slots count.
    pub fn choose(
        &mut self,
        now: TimePoint,
        policy: &DispatchPolicy,
        service_mean: Duration,
        tried: &[EndpointIndex],
        rng: &mut ChaCha8Rng,
    ) -> Option<EndpointIndex> {
        let cost = |state: &EndpointState| route_cost(now, policy, service_mean, state);
        match policy.rule {
            RouteRule::Planned => self
                .candidates(tried, |state| state.has_own_slot(now))
                .min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)))
                .map(|(index, _)| index),
            RouteRule::TwoChoices => {
                self.best_of_two(tried, rng, |state| state.has_any_slot(now), cost)
            }
            RouteRule::Random => {
                let all = self.indices_of(tried, |state| !state.is_leaving(now));
                pick_random(&all, rng)
            }
            RouteRule::RoundRobin => {
                let all = self.indices_of(tried, |state| !state.is_leaving(now));
                self.round_robin_count += 1;
                (!all.is_empty()).then(|| all[self.round_robin_count % all.len()])
            }
            RouteRule::LeastInFlight => self
                .candidates(tried, |state| !state.is_leaving(now))
                .min_by(|(_, a), (_, b)| a.load().total_cmp(&b.load()))
                .map(|(index, _)| index),
        }
    }

    /// Chooses an endpoint with a free slot of another daemon, by power of two choices.
    pub fn choose_borrowed(
        &self,
        now: TimePoint,
        policy: &DispatchPolicy,
        service_mean: Duration,
        tried: &[EndpointIndex],
        rng: &mut ChaCha8Rng,
    ) -> Option<EndpointIndex> {
        let cost = |state: &EndpointState| route_cost(now, policy, service_mean, state);
        self.best_of_two(tried, rng, |state| state.has_borrowable_slot(now), cost)
    }

    /// Records that a request was sent.
    pub fn on_sent(&mut self, now: TimePoint, index: EndpointIndex, request: RequestId) {
        if let Some(Some(state)) = self.states.get_mut(index.0 as usize) {
            state.on_sent(now, request);
        }
    }

    /// Records the end of an attempt. Returns its duration.
    pub fn on_returned(
        &mut self,
        now: TimePoint,
        ended: &AttemptReturn,
        service_mean: Duration,
    ) -> Option<Duration> {
        let state = self.states.get_mut(ended.endpoint.0 as usize)?.as_mut()?;
        state.on_returned(now, ended, service_mean)
    }

    fn candidates<'a>(
        &'a self,
        tried: &'a [EndpointIndex],
        usable: impl Fn(&EndpointState) -> bool + 'a,
    ) -> impl Iterator<Item = (EndpointIndex, &'a EndpointState)> {
        self.endpoints()
            .filter(move |(index, state)| !tried.contains(index) && usable(state))
    }

    fn indices_of(
        &self,
        tried: &[EndpointIndex],
        usable: impl Fn(&EndpointState) -> bool,
    ) -> Vec<EndpointIndex> {
        self.candidates(tried, usable)
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the cheaper one of two random candidates, which may be the same.
    fn best_of_two(
        &self,
        tried: &[EndpointIndex],
        rng: &mut ChaCha8Rng,
        usable: impl Fn(&EndpointState) -> bool,
        cost: impl Fn(&EndpointState) -> f64,
    ) -> Option<EndpointIndex> {
        let all = self.indices_of(tried, usable);
        let first = pick_random(&all, rng)?;
        let second = pick_random(&all, rng)?;
        let cost_of = |index| self.endpoint(index).map_or(f64::INFINITY, &cost);
        Some(if cost_of(second) < cost_of(first) {
            second
        } else {
            first
        })
    }

    fn index_or_insert(
        &mut self,
        entry: &EndpointEntry,
        policy: &DispatchPolicy,
        added: Option<TimePoint>,
    ) -> EndpointIndex {
        if let Some(index) = self.indices.get(&entry.endpoint) {
            return *index;
        }
        let index = EndpointIndex(u32::try_from(self.states.len()).unwrap_or(u32::MAX));
        let is_local = entry.zone == policy.zone;
        let state = EndpointState::new(entry.clone(), is_local, added);
        self.states.push(Some(state));
        self.indices.insert(entry.endpoint.clone(), index);
        index
    }

    fn remove_missing(&mut self, view: &RouteView) {
        let kept: std::collections::BTreeSet<_> =
            view.endpoints.iter().map(|entry| &entry.endpoint).collect();
        let states = &mut self.states;
        self.indices.retain(|endpoint, index| {
            let keep = kept.contains(endpoint);
            if !keep {
                states[index.0 as usize] = None;
            }
            keep
        });
    }
}

impl Default for EndpointRouter {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the cost of sending a request to an endpoint, in microseconds.
fn route_cost(
    now: TimePoint,
    policy: &DispatchPolicy,
    service_mean: Duration,
    state: &EndpointState,
) -> f64 {
    let distance = if state.is_local() {
        Duration::ZERO
    } else {
        policy.zone_distance
    };
    let mean_micros = service_mean.as_secs_f64() * 1e6;
    let expected = state.expected_latency(now, service_mean).as_secs_f64() * 1e6;
    let slowness = (expected - mean_micros * FREE_LATENCY_RATIO).max(0.0);
    let load = state.load() * mean_micros * LOAD_COST;
    distance.as_secs_f64() * 1e6 + slowness + load
}

fn pick_random(all: &[EndpointIndex], rng: &mut ChaCha8Rng) -> Option<EndpointIndex> {
    if all.is_empty() {
        return None;
    }
    Some(all[rng.random_range(0..all.len())])
}

fn planned_endpoint(entry: &EndpointEntry) -> PlannedEndpoint {
    PlannedEndpoint {
        endpoint: entry.endpoint.clone(),
        zone: entry.zone.clone(),
        slots: entry.slots,
    }
}
