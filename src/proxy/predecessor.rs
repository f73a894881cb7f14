//! The successor's side of a takeover: at its start a process looks for a running process of the same
//! instance and asks it for its listener. If a step fails, the process starts without a predecessor.

use super::takeover_files::TakeoverFiles;
use crate::lifecycle::startup::Cause;
use crate::net::startup::cause;
use crate::takeover::{encode_line, hello, FromPredecessor, MAX_LINE_BYTES};
use mio::net::{TcpListener, UnixStream};
use rustix::net::{recvmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use slog::{debug, warn, Logger};
use std::io::{self, ErrorKind, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream as BlockingStream;
use std::time::Duration;

/// Maximum time that a starting process waits for the predecessor's answer; the predecessor answers within
/// one turn of its event loop.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// A running process of this instance that was found at the start.
pub(super) struct Predecessor {
    pub stream: UnixStream,
    /// Bytes received after the answer.
    pub received: Vec<u8>,
    /// Listener that the predecessor handed over.
    pub listener: Option<TcpListener>,
}

/// Answer of the predecessor.
struct Answer {
    line: FromPredecessor,
    /// Bytes after the line.
    rest: Vec<u8>,
    listener: Option<std::net::TcpListener>,
}

/// Looks for a process of this instance that serves clients, and asks it for its listener.
///
/// # Errors
/// The predecessor has a successor already, or the system lacks a resource for a moment.
pub(super) fn find(files: &TakeoverFiles, log: &Logger) -> io::Result<Option<Predecessor>> {
    let Some(mut stream) = connect(files, log)? else { return Ok(None) };
    match greet(&mut stream, files) {
        Ok(Answer { line: FromPredecessor::Offer, rest, listener }) => {
            let (stream, listener) = (UnixStream::from_std(stream), listener.map(TcpListener::from_std));
            Ok(Some(Predecessor { stream, received: rest, listener }))
        }
        Ok(Answer { line: FromPredecessor::Busy, .. }) => {
            Err(io::Error::other("another process is taking over already; start one at a time"))
        }
        Ok(Answer { line: FromPredecessor::Refused(reason), .. }) => {
            warn!(log, "takeover refused by the predecessor"; "reason" => reason);
            Ok(None)
        }
        Ok(Answer { line: FromPredecessor::Executed(_), .. }) => {
            warn!(log, "no answer from the predecessor"; "error" => "it sent another line first");
            Ok(None)
        }
        Err(error) => {
            warn!(log, "no answer from the predecessor"; "error" => %error);
            Ok(None)
        }
    }
}

fn connect(files: &TakeoverFiles, log: &Logger) -> io::Result<Option<BlockingStream>> {
    // The connect does not block, because a connect to a hanging process whose queue is full would wait
    // forever.
    match UnixStream::connect(files.socket()) {
        Ok(stream) => Ok(Some(stream.into())),
        Err(error) if error.kind() == ErrorKind::WouldBlock => {
            warn!(log, "predecessor accepts no connections"; "error" => %error);
            Ok(None)
        }
        // An error that may be temporary is returned, so that the start is retried: otherwise two processes
        // would run without knowing of each other.
        Err(error) if cause(&error) == Cause::Resource => Err(error),
        Err(error) => {
            // No process ran before this one, or it left its socket file behind.
            debug!(log, "no predecessor"; "error" => %error);
            Ok(None)
        }
    }
}

/// Identifies this process to the predecessor, and receives the answer with the listener.
fn greet(stream: &mut BlockingStream, files: &TakeoverFiles) -> io::Result<Answer> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.set_write_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(&encode_line(&hello(files.identity.clone())))?;
    let answer = receive(stream, files.identity.listen)?;
    stream.set_nonblocking(true)?;
    Ok(answer)
}

/// Receives one line; a descriptor sent with it is used if it is a listener bound to `address`.
fn receive(stream: &BlockingStream, address: SocketAddr) -> io::Result<Answer> {
    let mut text = [0; MAX_LINE_BYTES];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut buffers = [IoSliceMut::new(&mut text)];
    let length = recvmsg(stream, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?.bytes;
    let mut descriptor = None;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(descriptors) = message {
            descriptor = descriptors.last().or(descriptor);
        }
    }
    let listener = descriptor.map(std::net::TcpListener::from);
    let listener = listener.filter(|listener| listener.local_addr().ok() == Some(address));
    if let Some(listener) = &listener {
        listener.set_nonblocking(true)?;
    }
    let line_end = text[..length].iter().position(|&byte| byte == b'\n').map_or(length, |end| end + 1);
    let (line, rest) = text[..length].split_at(line_end);
    Ok(Answer { line: serde_json::from_slice(line)?, rest: rest.to_vec(), listener })
}
