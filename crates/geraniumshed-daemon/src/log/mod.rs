//! Followers and writers of the log's streams.
