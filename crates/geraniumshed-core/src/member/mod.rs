//! Membership: which daemons are alive and which shards each one should own.
//!
//! Only the `claims` stream determines the owner of a shard. Failure detection is just a hint that
//! makes another daemon claim; a wrong hint costs an unnecessary handover and nothing else.

pub mod claim_table;
pub mod leaving_endpoints;
pub mod owner_map;
pub mod ownership_plan;
pub mod peer_table;
pub mod spread;

pub use self::claim_table::{ClaimTable, ShardClaim};
pub use self::leaving_endpoints::LeavingEndpoints;
pub use self::owner_map::{OwnerMap, ShardOwner};
pub use self::ownership_plan::{OwnershipPlan, OwnershipTiming, PeerView};
pub use self::peer_table::{PeerStatus, PeerTable, PeerTiming};
pub use self::spread::spread_shards;
