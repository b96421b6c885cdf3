//! Tests of the request path over real TCP. The endpoints record which requests they ran.

mod faults;
mod keyed;
mod keys;
mod path;
mod support;
