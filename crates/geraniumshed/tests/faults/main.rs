//! Fault injection: real daemons with the stand-ins, judged by the ledger that the stand-ins keep.
//!
//! The daemons of each cluster are processes of this binary, on loopback addresses that no other
//! cluster uses.

mod fault_pairs;
mod harness;
mod owner_faults;
mod request_faults;
mod worker_faults;
