//! The request path over real TCP, judged on the endpoints' own records.

mod faults;
mod keyed;
mod keys;
mod path;
mod support;
