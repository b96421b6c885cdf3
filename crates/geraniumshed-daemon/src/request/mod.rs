//! The callers' HTTP interface and the dispatch of requests to endpoints.
