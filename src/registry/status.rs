//! The gRPC status with which a call to the registry ends. The transport in [`super::grpc`] creates the status, and the
//! state machines decide by its code.

use std::fmt;

/// The gRPC status codes that the registry client uses.
pub mod code {
    /// The call succeeded.
    pub const OK: u32 = 0;
    /// An error that no other code describes.
    pub const UNKNOWN: u32 = 2;
    /// The request is invalid.
    pub const INVALID_ARGUMENT: u32 = 3;
    /// The call did not finish within its deadline.
    pub const DEADLINE_EXCEEDED: u32 = 4;
    /// The requested entity does not exist.
    pub const NOT_FOUND: u32 = 5;
    /// The caller lacks the permission for the request.
    pub const PERMISSION_DENIED: u32 = 7;
    /// A quota or a limit on message size is exceeded.
    pub const RESOURCE_EXHAUSTED: u32 = 8;
    /// The state of the registry does not allow the request.
    pub const FAILED_PRECONDITION: u32 = 9;
    /// The requested revision is compacted or not committed yet.
    pub const OUT_OF_RANGE: u32 = 11;
    /// The method is not implemented.
    pub const UNIMPLEMENTED: u32 = 12;
    /// A message violates the protocol.
    pub const INTERNAL: u32 = 13;
    /// The member can't be reached, or the connection was lost.
    pub const UNAVAILABLE: u32 = 14;
    /// The caller has no valid credentials.
    pub const UNAUTHENTICATED: u32 = 16;
}

/// The final status of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Status code: one of the constants in [`code`], or another code that gRPC defines.
    pub code: u32,
    /// Description of the status.
    pub message: String,
}

impl Status {
    /// Creates a status with this code and description.
    pub fn new(code: u32, message: impl Into<String>) -> Self {
        Status { code, message: message.into() }
    }

    /// Returns whether the call succeeded.
    pub fn is_ok(&self) -> bool {
        self.code == code::OK
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "status {}: {}", self.code, self.message)
    }
}
