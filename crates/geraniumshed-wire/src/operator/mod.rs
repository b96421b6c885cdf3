//! The operators' HTTP interface, in JSON.
