//! What a peer did that its protocol does not allow. It ends the connection on which it was done; a client is told the
//! text.

use thiserror::Error;

/// A breach of a protocol, by what the peer did. The texts of what clients do are part of their protocol.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Malformed {
    /// A frame is shorter or longer than any of its protocol's.
    #[error("frame length out of range")]
    FrameLength,

    /// A client sent a frame of a type that there is none of.
    #[error("unknown frame type")]
    FrameType,
    /// A client sent a request on the stream that stands for the connection.
    #[error("request on stream 0")]
    StreamZero,
    /// A client used a stream's number a second time, or a lower one.
    #[error("stream used before")]
    StreamReused,
    /// A client has more requests open on its connection than are allowed.
    #[error("too many open requests")]
    TooManyRequests,
    /// A client cancels far more requests than it waits for.
    #[error("requests taken back again and again")]
    TooManyCancels,
    /// A client's message was not whole in time.
    #[error("no whole message in time")]
    MessageTimeout,
    /// The fields of a request are longer than its frame.
    #[error("fields overrun the frame")]
    FieldOverrun,
    /// A field is not UTF-8.
    #[error("field is not text")]
    FieldEncoding,
    /// A field comes a second time.
    #[error("field given twice")]
    DuplicateField,
    /// A field that each request needs is not there.
    #[error("field missing")]
    MissingField,
    /// A field holds what can't be passed on to an endpoint.
    #[error("field not fit to pass on")]
    FieldCharacters,
    /// A number is not one.
    #[error("bad number")]
    Number,
    /// An id is not 16 lower-case hex digits.
    #[error("not 16 hex digits")]
    HexId,
    /// A chunk's number is larger than any object has.
    #[error("no such part")]
    ChunkNumber,
    /// A purge group is none.
    #[error("bad batch")]
    PurgeGroup,
    /// A size is not a number, or negative.
    #[error("bad size")]
    Size,
    /// A body is larger than a request may write.
    #[error("body too large")]
    BodySize,
    /// A request names a class that the settings never had.
    #[error("unknown route")]
    UnknownRoute,
    /// A request's client waits for no time, or longer than its class could mean.
    #[error("patience out of range")]
    TimeoutRange,
    /// A request's size could not be sent in any time that settings may give.
    #[error("size out of range")]
    SizeRange,
    /// A request of a class with idempotency keys has none.
    #[error("a keyed request without its key")]
    MissingIdempotencyKey,

    /// An upstream sent something else than an array of bulk strings.
    #[error("not an array of strings")]
    NotAnArray,
    /// An upstream's response has more or fewer strings than four.
    #[error("not an array of four strings")]
    StringCount,
    /// The length line of an array or a string does not end.
    #[error("endless length line")]
    EndlessLengthLine,
    /// The length line of an array or a string holds no length.
    #[error("bad length line")]
    LengthLine,
    /// A string of a response is longer than any may be.
    #[error("string too long")]
    StringLength,
    /// A string of a response does not end where its length says.
    #[error("string without its end")]
    StringEnd,
    /// A string of a response is not UTF-8.
    #[error("string is not text")]
    StringEncoding,
    /// A response has a status that there is none of.
    #[error("unknown response status")]
    ResponseStatus,
    /// A field of a response has no value.
    #[error("field without a value")]
    ResponseField,
    /// A response says that a copy is current, and its request named none.
    #[error("not modified, but the request named no copy")]
    UnrequestedNotModified,

    /// An event of the command channel has a kind that there is none of, or not its kind's size.
    #[error("unknown kind or size of an event")]
    EventKind,
    /// An event lists an endpoint with a state that there is none of.
    #[error("unknown state of an endpoint")]
    EndpointState,
}
