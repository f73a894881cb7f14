//! Protocol violations of a peer. A violation closes the connection on which it occurs; a client is sent its text.

use thiserror::Error;

/// A protocol violation by a peer. The texts of violations by clients are part of the client protocol.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Malformed {
    /// The length of a frame is out of the protocol's range.
    #[error("frame length out of range")]
    FrameLength,

    /// A client sent a frame of an unknown type.
    #[error("unknown frame type")]
    FrameType,
    /// A client sent a request on stream 0, which stands for the connection.
    #[error("request on stream 0")]
    StreamZero,
    /// A client sent a request on a stream whose number is not higher than all earlier ones.
    #[error("stream used before")]
    StreamReused,
    /// A client exceeded the maximum number of open requests on a connection.
    #[error("too many open requests")]
    TooManyRequests,
    /// A client's message was not complete in time.
    #[error("no whole message in time")]
    MessageTimeout,
    /// The fields of a request extend beyond its frame.
    #[error("fields overrun the frame")]
    FieldOverrun,
    /// A field of a request is not valid UTF-8.
    #[error("field is not text")]
    FieldEncoding,
    /// A request has the same field twice.
    #[error("field given twice")]
    DuplicateField,
    /// A required field of a request is missing.
    #[error("field missing")]
    MissingField,
    /// A field of a request has characters or a length that can't be forwarded to an endpoint.
    #[error("field not fit to pass on")]
    FieldCharacters,
    /// A number in a request is not decimal or too large.
    #[error("bad number")]
    Number,
    /// An id does not consist of 16 lower-case hex digits.
    #[error("not 16 hex digits")]
    HexId,
    /// A chunk number is out of range.
    #[error("no such part")]
    ChunkNumber,
    /// A purge group is out of range.
    #[error("bad batch")]
    PurgeGroup,
    /// A size is not a finite number, or negative.
    #[error("bad size")]
    Size,
    /// A request body exceeds the maximum size.
    #[error("body too large")]
    BodySize,
    /// A request has a class that the settings never defined.
    #[error("unknown route")]
    UnknownRoute,
    /// The timeout of a request is 0 or exceeds the maximum of its class.
    #[error("patience out of range")]
    TimeoutRange,
    /// The size of a request exceeds what can be sent within any configurable time.
    #[error("size out of range")]
    SizeRange,
    /// A request lacks the idempotency key that its class requires.
    #[error("a keyed request without its key")]
    MissingIdempotencyKey,

    /// A response of an upstream is not an array of bulk strings.
    #[error("response is not an array of bulk strings")]
    NotAnArray,
    /// A response does not have four strings.
    #[error("response does not have four strings")]
    StringCount,
    /// The length line of an array or a string exceeds the maximum length.
    #[error("length line too long")]
    EndlessLengthLine,
    /// The length line of an array or a string has no valid length.
    #[error("invalid length line")]
    LengthLine,
    /// A string of a response exceeds its maximum length.
    #[error("string too long")]
    StringLength,
    /// A string of a response is not terminated after its length.
    #[error("string is not terminated after its length")]
    StringEnd,
    /// A string of a response is not valid UTF-8.
    #[error("string is not valid UTF-8")]
    StringEncoding,
    /// A response has an unknown status.
    #[error("unknown response status")]
    ResponseStatus,
    /// A field of a response lacks a value.
    #[error("field without a value")]
    ResponseField,
    /// A response says that a copy is current, but its request named none.
    #[error("response is 'not modified', but the request named no copy")]
    UnrequestedNotModified,

    /// An event of the command channel has an unknown kind, or a size that does not fit its kind.
    #[error("unknown kind or size of an event")]
    EventKind,
    /// An event lists an endpoint with an unknown state.
    #[error("unknown state of an endpoint")]
    EndpointState,
}
