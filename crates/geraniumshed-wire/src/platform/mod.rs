//! The platform's HTTP interfaces, in JSON.
