//! Names of the HTTP headers that dockgate reads and writes.

/// The id of a request, on every response.
pub const REQUEST_ID: &str = "dockgate-request-id";
/// The kind of a request, as declared by operators.
pub const KIND: &str = "dockgate-kind";
/// The priority inside the workspace, 0 to 9.
pub const PRIORITY: &str = "dockgate-priority";
/// How long the caller is ready to wait for a slot, in milliseconds.
pub const DEADLINE_MS: &str = "dockgate-deadline-ms";
/// The key under which a request that may not be repeated is claimed.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The id of an attempt, sent to endpoints.
pub const ATTEMPT_ID: &str = "dockgate-attempt-id";
/// The workspace on whose behalf an endpoint is called, sent to endpoints.
pub const WORKSPACE: &str = "dockgate-workspace";
/// The name of the box that calls a peer.
pub const PEER_BOX: &str = "dockgate-box";
/// The incarnation of the daemon that calls a peer.
pub const PEER_INCARNATION: &str = "dockgate-incarnation";
