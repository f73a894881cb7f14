//! Regression tests of the decisions of the state machines that do no input or output.
//!
//! Each module simulates one state machine: a seeded generator draws its events, and all its actions and answers are
//! hashed and compared with a constant in the test. Any change of a decision, intended or not, changes the hash. A
//! commit with an intended change updates the hashes and says so in its message.
//!
//! Renaming code must not change a hash: each kind of action has a fixed number here, and its fields are hashed one by
//! one as bytes ([`digest::Digest`]). Debug output, derived hashes and message texts are not hashed. Entries of a hash
//! map are sorted before they are hashed.

mod digest;
mod documents;
mod growth;
mod lease;
mod lifecycle;
mod membership;
mod placement;
mod purges;
mod session;
mod site_plans;
mod sites;
