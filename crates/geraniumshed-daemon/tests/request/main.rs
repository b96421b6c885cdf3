//! The request path over real TCP, judged on the endpoints' own records.

mod path;
mod support;
