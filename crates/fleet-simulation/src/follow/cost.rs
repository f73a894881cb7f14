//! What a message costs on the wire, in bytes: its own exact length, and constants for what stands round it. Heads of
//! TCP and IP, acknowledgements and what is sent again are not counted; windows of HTTP/2 (1 MiB, half of which must
//! be taken before one is opened) are not either.

/// A frame's head.
const FRAME: u64 = 9;
/// A message's head in gRPC.
const GRPC: u64 = 5;
/// Fields of a request the first time on a connection: method, scheme, authority, path, type, trailers.
const FIRST_FIELDS: u64 = 110;
/// The same once the tables of HPACK know them.
const FIELDS: u64 = 7;
/// Fields of an answer.
const ANSWER_FIELDS: u64 = 3;
/// Fields after an answer: status and message.
const TRAILERS: u64 = 4;

/// What a connection costs until the first call: preface, settings, their acknowledgement, a window.
pub const HANDSHAKE_UP: u64 = 24 + (FRAME + 18) + FRAME + (FRAME + 4);
/// The same from the other end.
pub const HANDSHAKE_DOWN: u64 = (FRAME + 12) + FRAME + (FRAME + 4);

/// A message of so many bytes on an open call.
pub fn message(bytes: usize) -> u64 {
    FRAME + GRPC + bytes as u64
}

/// A call's begin with its first message; `first`: of its path on the connection.
pub fn begin(bytes: usize, first: bool) -> u64 {
    FRAME + if first { FIRST_FIELDS } else { FIELDS } + message(bytes)
}

/// An answer that ends its call.
pub fn answer(bytes: usize) -> u64 {
    FRAME + ANSWER_FIELDS + message(bytes) + FRAME + TRAILERS
}

/// The end of a call without an answer.
pub fn refusal() -> u64 {
    FRAME + ANSWER_FIELDS + TRAILERS
}
