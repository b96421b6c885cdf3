//! Request routing: endpoint selection, queueing, admission, retries, hedging and idempotency keys.

pub mod answer_cache;
pub mod breaker;
pub mod budget;
pub mod concurrency;
pub mod digest;
pub mod dispatcher;
pub mod endpoint_state;
pub mod event;
pub mod key_table;
pub mod latency;
pub mod policy;
pub mod queue;
pub mod rate;
pub mod router;
pub mod slot_plan;
pub mod ticket;

pub use self::answer_cache::{AnswerCache, AnswerLookup};
pub use self::breaker::CircuitBreaker;
pub use self::budget::AttemptBudget;
pub use self::concurrency::ConcurrencyLimit;
pub use self::digest::{key_digest, key_shard, request_digest};
pub use self::dispatcher::ServiceDispatcher;
pub use self::endpoint_state::EndpointState;
pub use self::event::{
    AttemptResult, AttemptReturn, DispatchAction, DispatchEvent, EndpointIndex, QueuedRequest,
};
pub use self::key_table::{KeyTable, KeyVerdict};
pub use self::latency::LatencyEstimate;
pub use self::policy::{DispatchPolicy, RouteRule};
pub use self::queue::RequestQueue;
pub use self::rate::TeamRates;
pub use self::router::EndpointRouter;
pub use self::slot_plan::SlotPlan;
pub use self::ticket::{RequestTicket, TicketLedger, TicketVerdict};
