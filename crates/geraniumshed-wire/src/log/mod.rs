//! Entries of the log, in a compact binary encoding.
