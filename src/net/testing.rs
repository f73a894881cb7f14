//! Test support for connections and their pool: a scripted transport, and the configuration of property tests.

use super::connection::Transport;
use proptest::test_runner::{Config, RngSeed};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::rc::Rc;

/// Scripted behavior of the peer, and what it has received.
#[derive(Debug, Default)]
pub struct ScriptedPeer {
    /// Whether the dial succeeded; `None` while it has not completed.
    pub dial: Option<bool>,
    /// Bytes that the peer has sent and that are not read yet.
    pub incoming: VecDeque<u8>,
    /// Whether an end of stream (`false`) or an error (`true`) follows these bytes.
    pub end: Option<bool>,
    /// Number of bytes that can be written before writes block.
    pub capacity: usize,
    /// Bytes that were written.
    pub written: Vec<u8>,
    /// Number of written bytes that the peer's machine has acknowledged; `None`: all of them.
    pub acknowledged: Option<u64>,
    /// Number of bytes that had been written when the writing side was shut down, if it was.
    pub shutdown_at: Option<usize>,
}

/// A transport whose peer is scripted by the test.
#[derive(Clone, Debug, Default)]
pub struct ScriptedTransport(pub Rc<RefCell<ScriptedPeer>>);

impl Transport for ScriptedTransport {
    fn connected(&self) -> io::Result<bool> {
        match self.0.borrow().dial {
            Some(false) => Err(ErrorKind::ConnectionRefused.into()),
            dial => Ok(dial.is_some()),
        }
    }

    fn shut_down_writing(&mut self) -> io::Result<()> {
        let mut peer = self.0.borrow_mut();
        peer.shutdown_at = Some(peer.written.len());
        Ok(())
    }

    fn acknowledged_bytes(&self) -> Option<u64> {
        self.0.borrow().acknowledged
    }

    fn unread_len(&self) -> usize {
        self.0.borrow().incoming.len()
    }

    fn peek_unread_bytes(&mut self, buffer: &mut [u8]) -> usize {
        let peer = self.0.borrow();
        let unread = peer.incoming.iter().zip(buffer);
        unread.map(|(byte, to)| *to = *byte).count()
    }
}

impl Read for ScriptedTransport {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut peer = self.0.borrow_mut();
        match peer.end {
            _ if !peer.incoming.is_empty() => peer.incoming.read(buffer),
            Some(false) => Ok(0),
            Some(true) => Err(ErrorKind::ConnectionReset.into()),
            None => Err(ErrorKind::WouldBlock.into()),
        }
    }
}

impl Write for ScriptedTransport {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut peer = self.0.borrow_mut();
        let count = bytes.len().min(peer.capacity);
        peer.capacity -= count;
        peer.written.extend(&bytes[..count]);
        if count == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Configuration of property tests with the same cases in every run, so that CI always gives the same verdict.
pub fn config() -> Config {
    Config { cases: 512, rng_seed: RngSeed::Fixed(20261201), failure_persistence: None, ..Config::default() }
}
