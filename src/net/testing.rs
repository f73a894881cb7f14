//! The helper that the models of the connection and of the pool share: a transport that follows a script.

use super::connection::Transport;
use proptest::test_runner::{Config, RngSeed};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::rc::Rc;

/// What the other end does and has seen.
#[derive(Debug, Default)]
pub struct Wire {
    /// How the dial ended, if it has.
    pub dial: Option<bool>,
    /// Bytes on their way in.
    pub incoming: VecDeque<u8>,
    /// Behind them: an end (`false`) or an error (`true`).
    pub end: Option<bool>,
    /// Bytes that still go out before writing blocks.
    pub room: usize,
    /// Bytes that went out.
    pub taken: Vec<u8>,
    /// Our side was shut, after so many bytes.
    pub shut: Option<usize>,
}

/// A transport whose other end the test holds.
#[derive(Clone, Debug, Default)]
pub struct Script(pub Rc<RefCell<Wire>>);

impl Transport for Script {
    fn connected(&self) -> io::Result<bool> {
        match self.0.borrow().dial {
            Some(false) => Err(ErrorKind::ConnectionRefused.into()),
            dial => Ok(dial.is_some()),
        }
    }

    fn shut(&mut self) -> io::Result<()> {
        let mut wire = self.0.borrow_mut();
        wire.shut = Some(wire.taken.len());
        Ok(())
    }

    fn peek_waiting(&mut self, buffer: &mut [u8]) -> usize {
        let wire = self.0.borrow();
        let waiting = wire.incoming.iter().zip(buffer);
        waiting.map(|(byte, to)| *to = *byte).count()
    }
}

impl Read for Script {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut wire = self.0.borrow_mut();
        match wire.end {
            _ if !wire.incoming.is_empty() => wire.incoming.read(buffer),
            Some(false) => Ok(0),
            Some(true) => Err(ErrorKind::ConnectionReset.into()),
            None => Err(ErrorKind::WouldBlock.into()),
        }
    }
}

impl Write for Script {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut wire = self.0.borrow_mut();
        let count = bytes.len().min(wire.room);
        wire.room -= count;
        wire.taken.extend(&bytes[..count]);
        if count == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Equal cases in every run: CI must always give the same verdict.
pub fn config() -> Config {
    Config { cases: 512, rng_seed: RngSeed::Fixed(20261201), failure_persistence: None, ..Config::default() }
}
