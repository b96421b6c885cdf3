//! Calls between daemons, by tarpc.
