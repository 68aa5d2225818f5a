//! Names of HTTP headers that dockgate reads and writes.

/// The id of a request, on every response.
pub const REQUEST_ID: &str = "dockgate-request-id";
/// The kind of a request, as declared by operators.
pub const KIND: &str = "dockgate-kind";
/// The priority inside the workspace, 0 to 9.
pub const PRIORITY: &str = "dockgate-priority";
/// The maximum time that the caller waits for a slot, in milliseconds.
pub const DEADLINE_MS: &str = "dockgate-deadline-ms";
/// The idempotency key of a request that must not be repeated.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The id of an attempt, sent to endpoints.
pub const ATTEMPT_ID: &str = "dockgate-attempt-id";
/// The workspace of a request, sent to endpoints.
pub const WORKSPACE: &str = "dockgate-workspace";
/// The name of the calling box, sent to peers.
pub const PEER_BOX: &str = "dockgate-box";
/// The incarnation of the calling daemon, sent to peers.
pub const PEER_INCARNATION: &str = "dockgate-incarnation";
