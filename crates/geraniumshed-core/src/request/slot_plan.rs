//! Division of a service's endpoint slots among the daemons, without communication.
//!
//! Each daemon computes the same plan from the same view of the cluster: every daemon gets an equal
//! number of slots, in its own availability zone as long as there are enough. While views differ,
//! or when a daemon borrows slots of another one, endpoints can get a few requests more than they
//! have slots.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{EndpointId, SlotCount, VmId, ZoneName};

/// An endpoint as input of the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The availability zone of the endpoint.
    pub zone: ZoneName,
    /// The number of requests that the endpoint processes at once.
    pub slots: SlotCount,
}

/// The slots of each endpoint that one daemon owns.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotPlan {
    owned: BTreeMap<EndpointId, u32>,
}

/// Slots of one endpoint that are not assigned to a daemon yet.
struct FreeSlots<'a> {
    endpoint: &'a EndpointId,
    slots: u32,
}

/// A daemon with the slots that are missing from its share.
struct UnfilledShare<'a> {
    daemon: &'a VmId,
    missing: u32,
}

impl SlotPlan {
    /// Computes the slots of the daemon `own`. The order of `endpoints` doesn't matter.
    pub fn compute(
        own: &VmId,
        daemons: &BTreeMap<VmId, ZoneName>,
        endpoints: &[PlannedEndpoint],
    ) -> Self {
        let mut sorted: Vec<_> = endpoints.iter().collect();
        sorted.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        let mut free_by_zone = free_slots_by_zone(&sorted);
        let mut unfilled_by_zone = shares_by_zone(daemons, &sorted);
        let mut plan = Self::default();
        for (zone, shares) in &mut unfilled_by_zone {
            if let Some(free) = free_by_zone.get_mut(zone) {
                let limit = zone_limit(free, shares.len());
                plan.assign(own, free, shares, limit);
            }
        }
        let mut remaining_free: Vec<_> = free_by_zone.into_values().flatten().collect();
        let mut unfilled: Vec<_> = unfilled_by_zone.into_values().flatten().collect();
        plan.assign(own, &mut remaining_free, &mut unfilled, u32::MAX);
        plan
    }

    /// Returns the number of an endpoint's slots that the daemon owns.
    pub fn owned(&self, endpoint: &EndpointId) -> u32 {
        self.owned.get(endpoint).copied().unwrap_or(0)
    }

    /// Assigns up to `limit` free slots to each share, in order, and records those of `own`.
    fn assign(
        &mut self,
        own: &VmId,
        free: &mut [FreeSlots<'_>],
        shares: &mut [UnfilledShare<'_>],
        limit: u32,
    ) {
        let mut position = 0;
        for share in shares {
            let mut wanted = share.missing.min(limit);
            while wanted > 0 && position < free.len() {
                let taken = wanted.min(free[position].slots);
                free[position].slots -= taken;
                share.missing -= taken;
                wanted -= taken;
                if share.daemon == own && taken > 0 {
                    *self
                        .owned
                        .entry(free[position].endpoint.clone())
                        .or_default() += taken;
                }
                if free[position].slots == 0 {
                    position += 1;
                }
            }
        }
    }
}

/// Returns the slots of all endpoints by availability zone.
fn free_slots_by_zone<'a>(
    endpoints: &[&'a PlannedEndpoint],
) -> BTreeMap<&'a ZoneName, Vec<FreeSlots<'a>>> {
    let mut free: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for endpoint in endpoints {
        free.entry(&endpoint.zone).or_default().push(FreeSlots {
            endpoint: &endpoint.endpoint,
            slots: endpoint.slots.0,
        });
    }
    free
}

/// Divides all slots evenly among the daemons; the first ones get one more if there is a remainder.
fn shares_by_zone<'a>(
    daemons: &'a BTreeMap<VmId, ZoneName>,
    endpoints: &[&PlannedEndpoint],
) -> BTreeMap<&'a ZoneName, Vec<UnfilledShare<'a>>> {
    let total: u32 = endpoints.iter().map(|endpoint| endpoint.slots.0).sum();
    let count = u32::try_from(daemons.len().max(1)).unwrap_or(u32::MAX);
    let mut shares: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (index, (daemon, zone)) in (0..).zip(daemons) {
        let extra = u32::from(index < total % count);
        shares.entry(zone).or_default().push(UnfilledShare {
            daemon,
            missing: total / count + extra,
        });
    }
    shares
}

/// Returns the number of a zone's slots that each daemon of the zone may get at first.
fn zone_limit(free: &[FreeSlots<'_>], daemons: usize) -> u32 {
    let total: u32 = free.iter().map(|block| block.slots).sum();
    let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
    total.div_ceil(daemons)
}
