//! How daemons share the slots of a service's endpoints without talking to each other.
//!
//! Every daemon works the same plan out of the same views: each daemon gets an equal number of
//! slots, in its own availability zone as far as that has enough. While views differ, or a daemon
//! borrows slots of another one, endpoints see a few requests more than they have slots.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{EndpointId, SlotCount, VmId, ZoneName};

/// The slots of an endpoint, as the plan sees them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The availability zone.
    pub zone: ZoneName,
    /// The slots.
    pub slots: SlotCount,
}

/// Which slots are a daemon's own.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotPlan {
    owned: BTreeMap<EndpointId, u32>,
}

/// A run of slots of one endpoint that no daemon has yet.
struct FreeRun<'a> {
    endpoint: &'a EndpointId,
    slots: u32,
}

/// A daemon that still lacks slots.
struct OpenShare<'a> {
    daemon: &'a VmId,
    lacks: u32,
}

impl SlotPlan {
    /// Works out the slots of one daemon. Daemons and endpoints are given in any order.
    pub fn of(
        own: &VmId,
        daemons: &BTreeMap<VmId, ZoneName>,
        endpoints: &[PlannedEndpoint],
    ) -> Self {
        let mut sorted: Vec<_> = endpoints.iter().collect();
        sorted.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        let mut free = runs_by_zone(&sorted);
        let mut open = shares_by_zone(daemons, &sorted);
        let mut plan = Self::default();
        for (zone, shares) in &mut open {
            if let Some(runs) = free.get_mut(zone) {
                let limit = even_limit(runs, shares.len());
                plan.assign(own, runs, shares, limit);
            }
        }
        let mut left: Vec<_> = free.into_values().flatten().collect();
        let mut lacking: Vec<_> = open.into_values().flatten().collect();
        plan.assign(own, &mut left, &mut lacking, u32::MAX);
        plan
    }

    /// Returns the slots of an endpoint that are the daemon's own.
    pub fn owned(&self, endpoint: &EndpointId) -> u32 {
        self.owned.get(endpoint).copied().unwrap_or(0)
    }

    /// Gives each share in turn up to `limit` slots out of the runs.
    fn assign(
        &mut self,
        own: &VmId,
        runs: &mut [FreeRun<'_>],
        shares: &mut [OpenShare<'_>],
        limit: u32,
    ) {
        let mut run = 0;
        for share in shares {
            let mut wanted = share.lacks.min(limit);
            while wanted > 0 && run < runs.len() {
                let taken = wanted.min(runs[run].slots);
                runs[run].slots -= taken;
                share.lacks -= taken;
                wanted -= taken;
                if share.daemon == own && taken > 0 {
                    *self.owned.entry(runs[run].endpoint.clone()).or_default() += taken;
                }
                if runs[run].slots == 0 {
                    run += 1;
                }
            }
        }
    }
}

/// Lays out the slots of each availability zone.
fn runs_by_zone<'a>(endpoints: &[&'a PlannedEndpoint]) -> BTreeMap<&'a ZoneName, Vec<FreeRun<'a>>> {
    let mut runs: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for endpoint in endpoints {
        runs.entry(&endpoint.zone).or_default().push(FreeRun {
            endpoint: &endpoint.endpoint,
            slots: endpoint.slots.0,
        });
    }
    runs
}

/// Divides all slots evenly among the daemons, the first ones getting what is left over.
fn shares_by_zone<'a>(
    daemons: &'a BTreeMap<VmId, ZoneName>,
    endpoints: &[&PlannedEndpoint],
) -> BTreeMap<&'a ZoneName, Vec<OpenShare<'a>>> {
    let total: u32 = endpoints.iter().map(|endpoint| endpoint.slots.0).sum();
    let count = u32::try_from(daemons.len().max(1)).unwrap_or(u32::MAX);
    let mut shares: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (index, (daemon, zone)) in (0..).zip(daemons) {
        let extra = u32::from(index < total % count);
        shares.entry(zone).or_default().push(OpenShare {
            daemon,
            lacks: total / count + extra,
        });
    }
    shares
}

/// Returns the slots that each of a zone's daemons may take out of the zone.
fn even_limit(runs: &[FreeRun<'_>], daemons: usize) -> u32 {
    let total: u32 = runs.iter().map(|run| run.slots).sum();
    let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
    total.div_ceil(daemons)
}
