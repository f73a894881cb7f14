//! The account of a budget and the order in which its uses are refused.

use super::*;

const MIB: usize = 1 << 20;

#[test]
fn a_reservation_counts_from_when_it_grows_until_it_is_dropped() {
    let budget = MemoryBudget::new(12 * MIB);
    let mut first = budget.reserve(MIB);
    let second = budget.reserve(2 * MIB);
    first.resize(3 * MIB);
    assert_eq!((budget.used(), first.bytes()), (5 * MIB, 3 * MIB));
    first.resize(MIB);
    drop(second);
    assert_eq!(budget.used(), MIB);
    drop(first);
    assert_eq!(budget.used(), 0);
}

/// Guards against incomplete messages that take the memory which accepted requests and their responses need.
#[test]
fn a_full_budget_refuses_partial_messages_before_requests_and_requests_before_responses() {
    let budget = MemoryBudget::new(12 * MIB);
    let refused_at = |memory_use| (0..=12).find(|used| !budget.allows(memory_use, used * MIB + 1)).unwrap();
    let uses = [MemoryUse::PartialMessage, MemoryUse::Request, MemoryUse::Response];
    assert!(uses.is_sorted());
    assert_eq!(uses.map(refused_at), [8, 10, 11]);
}

#[test]
fn a_lowered_bound_refuses_until_enough_is_released() {
    let budget = MemoryBudget::new(24 * MIB);
    let mut held = budget.reserve(10 * MIB);
    assert!(budget.allows(MemoryUse::Request, MIB));
    budget.set_limit(12 * MIB);
    assert!(!budget.allows(MemoryUse::Request, 1));
    held.resize(9 * MIB);
    assert!(budget.allows(MemoryUse::Request, MIB));
}
