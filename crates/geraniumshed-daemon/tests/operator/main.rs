//! The operators' interface with a fake daemon as its backend.

mod api;
mod certificates;
mod fake;
mod history;
