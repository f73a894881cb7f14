//! Bytes on the heap, by role, as JSON. A program of its own: counting them takes an allocator that would slow down what
//! `measure-capacity` times. It starts this one.

use larchdale_fleet_simulation::slopes::{Effort, HEAPS};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::process::ExitCode;

#[global_allocator]
static COUNTED: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    let quick = std::env::args().any(|a| a == "--quick");
    let rows: Vec<_> = HEAPS.iter().flat_map(|(_, rows)| rows(Effort { quick })).collect();
    match serde_json::to_string(&rows) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("measure-memory: {e}");
            ExitCode::FAILURE
        }
    }
}
