//! A non-blocking stream with the interface that h2 polls, a limit on the bytes read in one turn, and the flag by
//! which h2 requests another poll.

use std::cell::Cell;
use std::io::{self, ErrorKind, Read, Write};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Wake};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes read from one connection in one turn, so that other connections get their turn.
const READ_BUDGET_BYTES: usize = 128 * 1024;

/// The number of bytes that may still be read in this turn. The owner of the connection and its stream share it.
#[derive(Debug, Default)]
pub struct ReadBudget {
    remaining_bytes: Cell<usize>,
    exhausted: Cell<bool>,
}

impl ReadBudget {
    /// Restores the full budget at the beginning of a turn.
    pub fn refill(&self) {
        self.remaining_bytes.set(READ_BUDGET_BYTES);
        self.exhausted.set(false);
    }

    /// Returns whether this turn may have left data or other work because of its limits.
    pub fn is_exhausted(&self) -> bool {
        self.exhausted.get()
    }

    /// Records that this turn ended at one of its limits.
    pub fn mark_exhausted(&self) {
        self.exhausted.set(true);
    }
}

/// A non-blocking stream with a read budget, for polling by h2. The stream wakes no task: the owner of the connection
/// polls when the event loop reports the socket as ready.
#[derive(Debug)]
pub struct BudgetedStream<T> {
    stream: T,
    budget: Rc<ReadBudget>,
}

impl<T> BudgetedStream<T> {
    /// Wraps a stream; `budget` is shared with the owner of the connection.
    pub fn new(stream: T, budget: Rc<ReadBudget>) -> Self {
        BudgetedStream { stream, budget }
    }
}

/// Performs an operation, repeated while signals interrupt it; `Pending` if the operation would block.
fn poll_io<R>(mut operation: impl FnMut() -> io::Result<R>) -> Poll<io::Result<R>> {
    loop {
        match operation() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Poll::Pending,
            result => return Poll::Ready(result),
        }
    }
}

impl<T: Read + Unpin> AsyncRead for BudgetedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let remaining_bytes = self.budget.remaining_bytes.get();
        if remaining_bytes == 0 {
            self.budget.mark_exhausted();
            return Poll::Pending;
        }
        let length = buffer.remaining().min(remaining_bytes);
        let read = poll_io(|| self.stream.read(buffer.initialize_unfilled_to(length)));
        read.map_ok(|count| {
            buffer.advance(count);
            self.budget.remaining_bytes.set(remaining_bytes - count);
        })
    }
}

impl<T: Write + Unpin> AsyncWrite for BudgetedStream<T> {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_io(|| self.stream.write(bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.stream.flush() {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Poll::Pending,
            result => Poll::Ready(result),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Records that h2 has requested another poll.
#[derive(Debug, Default)]
pub struct WakeFlag(AtomicBool);

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl WakeFlag {
    /// Clears the flag and returns whether h2 has requested a poll since the flag was last cleared.
    pub fn clear(&self) -> bool {
        self.0.swap(false, Ordering::Relaxed)
    }
}
