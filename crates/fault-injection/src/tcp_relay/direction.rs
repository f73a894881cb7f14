//! One direction of a relayed connection: the segments in flight from its sender to its receiver.

use mio::net::TcpStream;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Most bytes in flight in one direction; beyond, the sender has to wait.
const MAX_IN_FLIGHT_BYTES: usize = 256 * 1024;
/// Most bytes that share one fault.
const MAX_SEGMENT_BYTES: usize = 16 * 1024;

/// Bytes that were read together.
struct Segment {
    due: Instant,
    bytes: Vec<u8>,
}

/// One direction of a connection.
#[derive(Default)]
pub(super) struct Direction {
    /// In the order in which they were read.
    segments: VecDeque<Segment>,
    in_flight_bytes: usize,
    /// Bytes of the first segment that are written.
    first_written: usize,
    /// When the last segment is due: none overtakes it.
    last_due: Option<Instant>,
    sender_readable: bool,
    receiver_writable: bool,
    sender_closed: bool,
    close_forwarded: bool,
}

impl Direction {
    pub(super) fn set_readable(&mut self) {
        self.sender_readable = true;
    }

    pub(super) fn set_writable(&mut self) {
        self.receiver_writable = true;
    }

    /// Whether the sender can be read from at once.
    pub(super) fn can_read(&self) -> bool {
        self.sender_readable && !self.sender_closed && self.in_flight_bytes < MAX_IN_FLIGHT_BYTES
    }

    /// Whether the sender's close has been forwarded after all of its bytes.
    pub(super) fn is_finished(&self) -> bool {
        self.close_forwarded
    }

    /// How long until the first segment is due, if it is not yet.
    pub(super) fn until_due(&self, now: Instant) -> Option<Duration> {
        let first = self.segments.front()?;
        first.due.checked_duration_since(now).filter(|wait| !wait.is_zero())
    }

    /// Reads all that has come; `due` says when a segment read now may arrive.
    pub(super) fn read(
        &mut self,
        mut sender: &TcpStream,
        mut due: impl FnMut() -> Instant,
    ) -> io::Result<()> {
        let mut buffer = [0; MAX_SEGMENT_BYTES];
        while self.can_read() {
            match sender.read(&mut buffer) {
                Ok(0) => self.sender_closed = true,
                Ok(length) => {
                    let due = due().max(self.last_due.unwrap_or_else(Instant::now));
                    self.last_due = Some(due);
                    self.in_flight_bytes += length;
                    self.segments.push_back(Segment { due, bytes: buffer[..length].to_vec() });
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.sender_readable = false,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Writes what is due by now; returns the number of bytes.
    pub(super) fn write(&mut self, receiver: &TcpStream, now: Instant) -> io::Result<u64> {
        let mut written = 0;
        while self.receiver_writable && self.segments.front().is_some_and(|first| first.due <= now) {
            written += self.write_first(receiver)?;
        }
        let all_written = self.segments.is_empty() && self.receiver_writable;
        if self.sender_closed && !self.close_forwarded && all_written {
            receiver.shutdown(Shutdown::Write)?;
            self.close_forwarded = true;
        }
        Ok(written)
    }

    fn write_first(&mut self, mut receiver: &TcpStream) -> io::Result<u64> {
        let Some(first) = self.segments.front() else { return Ok(0) };
        match receiver.write(&first.bytes[self.first_written..]) {
            Ok(length) => {
                self.first_written += length;
                self.in_flight_bytes -= length;
                if self.first_written == first.bytes.len() {
                    self.segments.pop_front();
                    self.first_written = 0;
                }
                Ok(length as u64)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.receiver_writable = false;
                Ok(0)
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(0),
            Err(error) => Err(error),
        }
    }
}
