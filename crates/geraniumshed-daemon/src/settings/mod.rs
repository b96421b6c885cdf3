//! The daemon's settings, checked whole before anything starts.
