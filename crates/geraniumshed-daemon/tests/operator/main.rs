//! The operators' interface, with a fake daemon behind it.

mod api;
mod certificates;
mod fake;
mod history;
