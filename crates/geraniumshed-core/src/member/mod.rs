//! Membership: which daemons are alive and which shards each should own.
