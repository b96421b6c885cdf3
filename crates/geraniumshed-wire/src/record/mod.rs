//! Records as operators write them, in YAML of either schema.
