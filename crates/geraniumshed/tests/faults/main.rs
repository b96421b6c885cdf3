//! Real daemons against the stand-ins, with faults, judged on the stand-ins' own records.
//!
//! Each cluster has processes of this program's own binary and loopback addresses of its own.

mod fault_pairs;
mod harness;
mod owner_faults;
mod request_faults;
mod worker_faults;
