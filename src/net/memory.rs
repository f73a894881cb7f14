//! One budget for the memory that peers make this process hold: partly received messages, requests, responses of
//! upstreams, and output that clients have not read.
//!
//! Each holder has a [`Reservation`] and resizes it as soon as its memory grows or shrinks, so that the bound holds at any
//! moment. The uses have different shares of the budget: what costs least to give up is refused first. The module does no
//! I/O and reads no clock.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;

/// The budget is divided into so many parts for the shares of its uses.
const PARTS: usize = 12;

/// A use of memory, in the order in which uses are refused as the budget fills up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryUse {
    /// Messages of clients that are not complete, and input of clients that leave output unread.
    PartialMessage,
    /// Complete requests that await their response.
    Request,
    /// Responses of upstreams. One that has begun to arrive is counted with its whole size and read to its end.
    Response,
}

impl MemoryUse {
    /// Returns the part of a budget of `limit` bytes up to which this use may fill it.
    fn share(self, limit: usize) -> usize {
        let parts = match self {
            MemoryUse::PartialMessage => 8,
            MemoryUse::Request => 10,
            MemoryUse::Response => 11,
        };
        limit / PARTS * parts
    }
}

#[derive(Debug)]
struct Account {
    used: Cell<usize>,
    limit: Cell<usize>,
}

/// A bound on memory, shared by all its reservations.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    account: Rc<Account>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        MemoryBudget { account: Rc::new(Account { used: Cell::new(0), limit: Cell::new(limit) }) }
    }

    /// Changes the bound; what is reserved stays reserved.
    pub fn set_limit(&self, limit: usize) {
        self.account.limit.set(limit);
    }

    /// Returns the number of reserved bytes.
    pub fn used(&self) -> usize {
        self.account.used.get()
    }

    /// Returns the bound in bytes.
    pub fn limit(&self) -> usize {
        self.account.limit.get()
    }

    /// Returns whether `bytes` more fit into the share of this use.
    pub fn allows(&self, memory_use: MemoryUse, bytes: usize) -> bool {
        self.used().saturating_add(bytes) <= memory_use.share(self.limit())
    }

    /// Reserves `bytes`, also beyond the bound: the caller asks [`MemoryBudget::allows`] first where it can refuse.
    pub fn reserve(&self, bytes: usize) -> Reservation {
        let mut reservation = Reservation { account: Rc::clone(&self.account), bytes: 0 };
        reservation.resize(bytes);
        reservation
    }
}

/// Reserved bytes of a budget, released when this is dropped. The default one belongs to no bound.
#[derive(Debug)]
pub struct Reservation {
    account: Rc<Account>,
    bytes: usize,
}

impl Default for Reservation {
    fn default() -> Self {
        MemoryBudget::new(usize::MAX).reserve(0)
    }
}

impl Reservation {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of reserved bytes.
    pub fn resize(&mut self, bytes: usize) {
        let others = self.account.used.get() - self.bytes;
        self.account.used.set(others.saturating_add(bytes));
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
