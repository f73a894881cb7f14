//! What a world's servers and clients note of themselves. Times are microseconds since the world began.

/// How a server met what came to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// From what it keeps; at the archive: it ran.
    Hit,
    /// It asked a source.
    Filled,
    /// It had it not and was named no source.
    Nothing,
    /// It was full.
    Refused,
    /// It says nothing at all; never noted.
    Silent,
    /// There is no process; never noted.
    Dead,
}

/// One request or fill that came to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When.
    pub at: u64,
    /// Where, by number.
    pub server: usize,
    /// The server that it is a fill for; absent: it came from an instance.
    pub from: Option<usize>,
    /// The request.
    pub id: String,
    /// Its class.
    pub class: String,
    /// The object.
    pub object: u64,
    /// Microseconds of one transfer at full pace.
    pub work: f64,
    /// The source that the instance named.
    pub via: Option<usize>,
    /// The source gives only what it holds.
    pub held_only: bool,
    /// How it was met.
    pub end: End,
    /// Where it was met from what is kept: the Unix millisecond at which that copy was made.
    pub minted: Option<u64>,
}

impl Arrival {
    /// The instance that the request was sent to.
    pub fn instance(&self) -> Option<usize> {
        u64::from_str_radix(&self.id, 16).ok().map(|t| (t >> INSTANCE_AT) as usize)
    }
}

/// Traces carry their instance's number above this bit.
pub const INSTANCE_AT: u32 = 48;

/// What the servers noted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Notes {
    /// All that came, by time.
    pub arrivals: Vec<Arrival>,
    /// Servers that fell over, and when.
    pub falls: Vec<(u64, usize)>,
}

/// One answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// When.
    pub at: u64,
    /// The code: 20 served, 50 refused, 51 failed.
    pub code: u8,
    /// Milliseconds that the client is to stay away.
    pub pause_ms: Option<u64>,
}

/// One request of a client's.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its trace, new with every request.
    pub trace: u64,
    /// Its class.
    pub class: String,
    /// The instance that it was sent to.
    pub instance: usize,
    /// When its last byte was written.
    pub sent: u64,
    /// All answers that came.
    pub answers: Vec<Answer>,
    /// When its connection ended without an answer.
    pub lost: Option<u64>,
    /// When its client stopped waiting, and said so or closed its connection.
    pub left: Option<u64>,
    /// When its client closed the connection, for another request's sake, after it had stopped waiting without a word.
    pub closed: Option<u64>,
}

/// Served.
pub const SERVED: u8 = 20;
/// Refused.
pub const REFUSED: u8 = 50;
