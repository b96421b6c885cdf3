//! The records that the tests publish.

/// A team with a quota that no test exhausts.
pub const TEAM: &str = "\
schema: 2
kind: team
name: bookings
spec: {quota: {processors: 1000, memory: 4TB}}";

/// A service whose requests are not idempotent.
pub const BOOKING: &str = "\
schema: 2
kind: service
name: booking
spec:
  team: bookings
  replicas: 3
  processors: 1
  memory: 1GB
  command: simulate serve=20ms
  slots: 8
  connections: 60
  deadline: 2s
  urgency: urgent";

/// Returns the record of a batch job.
pub fn job(name: &str, tasks: u32, command: &str, idempotent: bool) -> String {
    format!(
        "schema: 2\nkind: job\nname: {name}\nspec:\n  team: bookings\n  tasks: {tasks}\n  \
         processors: 1\n  memory: 1GB\n  command: {command}\n  idempotent: {idempotent}\n"
    )
}
