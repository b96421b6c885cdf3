//! Takes part in leader elections, and supervises the leader task while this node leads.

mod couriers;
mod leading;
mod outage;
mod task;

pub(crate) use task::MemberTask;
