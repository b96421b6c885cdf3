//! The geraniumshed binary.
fn main() {}
